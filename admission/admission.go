// Package admission decides which requests run, wait, or are refused.
//
// Queue decides for one pool of endpoints. It has no clock, no lock and no
// I/O; Controller adds those and blocks callers until their request starts.
//
// Ranks are priority classes; more urgent ranks start first. A rank's floor is
// the share of the slots that it is guaranteed while other ranks are
// overloaded. Its headroom is the share of the slots that it leaves free for
// more urgent ranks. Within a rank, scheduling is weighted fair sharing between
// organisations: by cost served, with exponential decay, summed over all
// entries. A request that cannot start in time is refused at once.
package admission

import (
	"time"

	"tanagerpoint.example/tanager/policy"
)

// Cost is an amount of work, in tokens for models and in calls for plain services.
type Cost float64

// Slots is a number of concurrent requests. It is fractional because a pool's
// slots are divided between entries.
type Slots float64

// Rank is a priority class.
type Rank struct {
	ID policy.RankID
	// Order sorts the ranks, the most urgent first.
	Order int64
	// Floor and Headroom are shares of the slots, from 0 to 1.
	Floor    float64
	Headroom float64
}

// minEqualShare is the fraction of an equal share of a pool that an entry keeps
// without demand, so that its first requests need not wait.
const minEqualShare = 0.5

// CapacityShare returns the fraction of a pool's slots that one of several
// entries may use. Half is divided equally, half in proportion to demand; mine
// is this entry's demand and others that of all other entries together.
func CapacityShare(entries int, mine, others float64) float64 {
	equal := 1 / float64(entries)
	if mine+others <= 0 {
		return equal
	}
	return minEqualShare*equal + (1-minEqualShare)*mine/(mine+others)
}

const (
	// serviceTimeP97Factor times the expected service time is the time reserved
	// for an answer: if service times are distributed exponentially, 97 of 100 are
	// shorter.
	serviceTimeP97Factor = 3.5
	// maxStartDelay bounds the wait of a request whose deadline is too close to
	// reserve that much time.
	maxStartDelay = 250 * time.Millisecond
)

// LatestStart returns the time after which a request is refused instead of
// started; expected is its mean service time. The request may wait until only
// serviceTimeP97Factor times expected is left before the deadline. If that leaves
// less than maxStartDelay after its arrival, it may still wait for maxStartDelay,
// but not beyond the time when only expected is left.
func LatestStart(arrived, deadline time.Time, expected time.Duration) time.Time {
	safe := deadline.Add(-time.Duration(serviceTimeP97Factor * float64(expected)))
	likely := deadline.Add(-expected)
	if soon := arrived.Add(maxStartDelay); soon.Before(likely) {
		likely = soon
	}
	if safe.After(likely) {
		return safe
	}
	return likely
}

// Ticket is one request's place in the queue.
type Ticket struct {
	Organisation policy.OrganisationID
	// Share is the organisation's weight in fair sharing.
	Share float64
	Rank  policy.RankID
	// Cost is the expected cost; the actual cost is known when the request ends.
	Cost Cost
	// LatestStart is the time after which the request is refused instead of started.
	LatestStart time.Time

	state state
	// tier is withinShare or overShare, as it was when the request started.
	tier      int
	startedAt time.Time
	rank      *rankQueue
	org       *orgQueue
	// wake receives the refusal, or nil when the request starts.
	wake chan *Refusal
}

type state int

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateEnded
)

// Reason is why a request was refused. Its text is the error code that the
// caller gets.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonQueueFull           Reason = "queue_full"
	ReasonNoCapacity          Reason = "no_capacity"
	ReasonUnknownRank         Reason = "unknown_rank"
	ReasonOrganisationLimit   Reason = "organisation_limit"
)

// Refusal is a request that was refused and not run. RetryAt is the earliest
// time at which a retry makes sense.
type Refusal struct {
	Ticket  *Ticket
	Reason  Reason
	RetryAt time.Time
}

func (re *Refusal) Error() string { return "admission: " + string(re.Reason) }
