package admission

import (
	"slices"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// Urgency is the priority of a request at a router; 0 is the most urgent.
type Urgency int64

// Waiter is a request for which no endpoint has a place.
type Waiter struct {
	Organisation policy.OrganisationID
	Urgency      Urgency
	// Since is when it arrived.
	Since time.Time
	// Target is the time by which its answer must begin to count as in time.
	Target time.Time
	// Work is the work until its answer begins.
	Work placement.Work
	// Until is when it stops to wait.
	Until time.Time
	// MinPlaces is the number of places that are to be expected while it waits, beyond those for
	// the requests before it.
	MinPlaces float64
	// Unbounded makes it wait whatever is to be expected.
	Unbounded bool
	// Turn gets a value when the request may look for a place.
	Turn chan struct{}

	// lookedAt is when it last found no place.
	lookedAt time.Time
	// number counts the requests that joined, this one included; 0 before it joins.
	number int
}

// TurnAway is why a request does not wait.
type TurnAway string

// The values of TurnAway.
const (
	// NotTurnedAway: it waits.
	NotTurnedAway TurnAway = ""
	// TurnNotExpected: its turn is not to be expected before it stops to wait.
	TurnNotExpected TurnAway = "turn_not_expected"
	// Displaced: since it joined, others came before it, so that its turn is not to be expected
	// any more.
	Displaced TurnAway = "displaced"
	// PlacesVanished: places become free so much more slowly than when it joined that its turn
	// is not to be expected any more.
	PlacesVanished TurnAway = "places_vanished"
	// WaitedInVain: it has waited as long as it may.
	WaitedInVain TurnAway = "waited_in_vain"
)

const (
	// lookInterval is how long a request that found no place does not keep others from looking:
	// the place that they find may be at an endpoint that it may not use.
	lookInterval = 100 * time.Millisecond
	// vanishedFactor times the time for which a request still waits is the expected time until
	// its turn above which places count as vanished. The rate at which they become free varies.
	vanishedFactor = 2
)

// Shortage decides for the requests of one service, at one router, who gets the next place at an
// endpoint, who may wait for one, and whom to turn away when more wait than will be served in
// time: what costs callers least. It has no clock, no lock and no I/O, and is not safe for
// concurrent use.
type Shortage struct {
	waiting []*Waiter
	joined  int
	// freed is the rate at which places become free, taken that at which requests of each
	// urgency take one.
	freed rate
	taken map[Urgency]rate
	// credit is, by urgency, the part of a place that its requests are owed; see floorShare.
	credit map[Urgency]float64
	usage  *usageByOrganisation
	// promisedAt is the latest time at which a refused request was told to come back.
	promisedAt time.Time
}

// NewShortage returns a Shortage in which nobody waits.
func NewShortage() *Shortage {
	return &Shortage{taken: map[Urgency]rate{}, credit: map[Urgency]float64{}, usage: newUsage()}
}

// Offer adds a request, unless its turn is not to be expected before it stops to wait. It returns
// the requests that were displaced: their turn was to be expected until then.
func (sh *Shortage) Offer(now time.Time, wa *Waiter) (turnedAway TurnAway, displaced []*Waiter) {
	if !wa.Unbounded && !sh.inTime(now, wa, 1) {
		return TurnNotExpected, nil
	}
	sh.joined++
	wa.lookedAt, wa.number = now, sh.joined
	sh.waiting = append(sh.waiting, wa)
	for {
		last := sh.last(now, wa)
		if last == nil || sh.inTime(now, last, 1) {
			return NotTurnedAway, displaced
		}
		displaced = append(displaced, last)
		sh.Leave(last)
	}
}

// last returns the waiting request that is served last among those that newcomer precedes, nil if
// there is none.
func (sh *Shortage) last(now time.Time, newcomer *Waiter) *Waiter {
	var last *Waiter
	for _, other := range sh.waiting {
		if !other.Unbounded && sh.before(now, newcomer, other) && (last == nil || sh.before(now, last, other)) {
			last = other
		}
	}
	return last
}

// inTime reports whether the turn of a request is to be expected before it stops to wait, or at
// most a multiple of that time from now.
func (sh *Shortage) inTime(now time.Time, wa *Waiter, factor float64) bool {
	ahead := float64(sh.ahead(now, wa))
	return ahead+wa.MinPlaces < factor*sh.rateFor(now, wa.Urgency)*wa.Until.Sub(now).Seconds()
}

// Check returns why a request is not to wait any longer, if so.
func (sh *Shortage) Check(now time.Time, wa *Waiter) TurnAway {
	switch {
	case !slices.Contains(sh.waiting, wa):
		return Displaced
	case !now.Before(wa.Until):
		return WaitedInVain
	case !wa.Unbounded && sh.ahead(now, wa) > 0 && !sh.inTime(now, wa, vanishedFactor):
		return PlacesVanished
	}
	return NotTurnedAway
}

// MayLook reports whether a request, which need not wait, may look for a place: all who come
// before it have looked a moment ago. With strict true nobody may come before it.
func (sh *Shortage) MayLook(now time.Time, wa *Waiter, strict bool) bool {
	return !slices.ContainsFunc(sh.waiting, func(other *Waiter) bool {
		return other != wa && sh.before(now, other, wa) && (strict || now.Sub(other.lookedAt) >= lookInterval)
	})
}

// Looked records that a request found no place.
func (sh *Shortage) Looked(now time.Time, wa *Waiter) { wa.lookedAt = now }

// Took records that a request got a place. It need not have waited.
func (sh *Shortage) Took(now time.Time, id policy.OrganisationID, ur Urgency, wo placement.Work) {
	sh.taken[ur] = sh.taken[ur].add(now)
	sh.usage.add(now, id, wo)
	sh.addCredit(ur)
}

// Leave removes a request.
func (sh *Shortage) Leave(wa *Waiter) {
	sh.waiting = slices.DeleteFunc(sh.waiting, func(other *Waiter) bool { return other == wa })
}

// Freed records that a place became free.
func (sh *Shortage) Freed(now time.Time) { sh.freed = sh.freed.add(now) }

// Next returns the request that gets the next place, nil if nobody waits. Until it has looked,
// nobody after it may.
func (sh *Shortage) Next(now time.Time) *Waiter {
	var next *Waiter
	for _, wa := range sh.waiting {
		if next == nil || sh.before(now, wa, next) {
			next = wa
		}
	}
	if next != nil {
		next.lookedAt = time.Time{}
	}
	return next
}

// Waiting returns the number of requests that wait, by urgency.
func (sh *Shortage) Waiting() map[Urgency]int {
	out := map[Urgency]int{}
	for _, wa := range sh.waiting {
		out[wa.Urgency]++
	}
	return out
}

// FreedPerSecond returns the rate at which places become free.
func (sh *Shortage) FreedPerSecond(now time.Time) float64 { return sh.freed.perSecond(now) }
