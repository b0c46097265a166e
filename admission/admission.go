// Package admission decides which requests run, wait, or are refused.
//
// Queue is the decision code for one pool of endpoints: it has no clock, no
// lock and no I/O. Gate puts it behind blocking calls.
//
// Urgent ranks go first. Each rank has a floor, a share of the slots that it
// keeps while others flood, and a headroom, a share that it leaves free for
// more urgent work. Within a rank, organisations share by cost in proportion
// to their weights, over the fleet and with decay. A request that cannot start
// in time is refused at once.
package admission

import (
	"time"

	"tanagerpoint.example/tanager/policy"
)

// Cost is work in tokens, or in calls for plain services.
type Cost float64

// Slots is a number of requests in service at once; shares make it fractional.
type Slots float64

// Rank is what the queue needs to know of a rank.
type Rank struct {
	ID       policy.RankID
	Order    int64
	Floor    float64
	Headroom float64
}

// leastShare is the least part of an equal share of a pool that an entry
// without demand keeps, so that its first requests need not wait.
const leastShare = 0.5

// CapacityShare gives the part of a pool's slots for one of several entries: by its
// part of the demand, and at least a part of an equal share.
func CapacityShare(entries int, mine, others float64) float64 {
	equal := 1 / float64(entries)
	if mine+others <= 0 {
		return equal
	}
	return leastShare*equal + (1-leastShare)*mine/(mine+others)
}

const (
	// longAnswer times the expected service is what a request is kept time
	// for: 97 of 100 answers of exponential length are shorter.
	longAnswer = 3.5
	// promptly is within what a request that has no such time must start.
	promptly = 250 * time.Millisecond
)

// LatestStart gives when a request must start to be answered in time.
func LatestStart(arrived, deadline time.Time, expected time.Duration) time.Time {
	safe := deadline.Add(-time.Duration(longAnswer * float64(expected)))
	likely := deadline.Add(-expected)
	if prompt := arrived.Add(promptly); prompt.Before(likely) {
		likely = prompt
	}
	if safe.After(likely) {
		return safe
	}
	return likely
}

// Ticket is one request before the queue.
type Ticket struct {
	Organisation policy.OrganisationID
	// Share is the organisation's weight.
	Share float64
	Rank  policy.RankID
	// Cost is the expected cost.
	Cost Cost
	// LatestStart is when the request must start to be answered in time.
	LatestStart time.Time

	state     state
	tier      int
	startedAt time.Time
	rank      *rankQueue
	org       *orgQueue
	wake      chan *Refusal
}

type state int

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateEnded
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonQueueFull           Reason = "queue_full"
	ReasonNoCapacity          Reason = "no_capacity"
	ReasonUnknownRank         Reason = "unknown_rank"
	ReasonOrganisationLimit   Reason = "organisation_limit"
)

// Refusal is a request that was not run. RetryAt is when to come back.
type Refusal struct {
	Ticket  *Ticket
	Reason  Reason
	RetryAt time.Time
}

// Error gives the reason.
func (re *Refusal) Error() string { return "admission: " + string(re.Reason) }
