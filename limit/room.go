package limit

import (
	"math"
	"time"
)

const (
	// roomGrowth is the part of an endpoint's slots by which the room known of it grows in a
	// second in which it reports that nothing waits.
	roomGrowth = 0.05
	// refusedShare is the part of the known room that one refusal leaves at least: a request
	// may be refused because it is larger than all memory of an idle endpoint.
	refusedShare = 0.8
	// startingShare is the part of an endpoint's slots up to which requests that wait may only
	// be about to run.
	startingShare = 0.25
)

// Occupancy is what an endpoint reports of its load.
type Occupancy struct {
	Running, Waiting int
	// Slots is the number of requests that it runs at once, 0 if it does not say.
	Slots int
}

// Room is how many requests an endpoint is known to hold at once. That is its slots at most, as it
// reports them: a brittle endpoint may let none wait.
type Room struct {
	slots float64
	known float64
	at    time.Time
}

// NewRoom returns the room of an endpoint of which only its slots are known.
func NewRoom(now time.Time, slots int) Room {
	return Room{slots: float64(slots), known: float64(slots), at: now}
}

// Reported returns the room after an endpoint has reported its load. If many requests wait
// while slots are free, it lacks something else than slots, such as memory.
func (rm Room) Reported(now time.Time, oc Occupancy) Room {
	if oc.Slots > 0 {
		rm.slots = float64(oc.Slots)
		rm.known = min(rm.known, rm.slots)
	}
	starting := startingShare * rm.slots
	if float64(oc.Waiting) > starting {
		return rm.atMost(now, float64(oc.Running)+starting)
	}
	grown := rm.known + roomGrowth*rm.slots*max(0, now.Sub(rm.at).Seconds())
	rm.known, rm.at = min(rm.slots, max(grown, float64(oc.Running))), now
	return rm
}

// Refused returns the room after an endpoint has refused a request for want of room. oc is its
// load, nil if it reported none.
func (rm Room) Refused(now time.Time, oc *Occupancy) Room {
	if oc == nil {
		return rm.atMost(now, refusedShare*rm.known)
	}
	return rm.atMost(now, max(refusedShare*rm.known, float64(oc.Running+oc.Waiting)))
}

// atMost returns the room bounded by a number of requests, but for one.
func (rm Room) atMost(now time.Time, requests float64) Room {
	rm.known, rm.at = max(1, min(rm.known, requests)), now
	return rm
}

// Places returns the number of requests that the endpoint may have.
func (rm Room) Places() int { return int(math.Floor(rm.known)) }
