package limit

import (
	"math"
	"time"
)

const (
	// roomGrowth is the part of an endpoint's slots by which the room known of it grows in a
	// second in which it reports that nothing waits.
	roomGrowth = 0.05
	// roomDecay is the part of an endpoint's slots by which the room known of it shrinks in a
	// second in which requests wait while slots are free.
	roomDecay = 0.5
	// growthDelay is the time from the last report of such requests until the room known grows.
	growthDelay = 2 * time.Second
	// unreportedDelay is the time without a report or a refusal after which the room known grows
	// at a router that sends no requests there.
	unreportedDelay = 10 * time.Second
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
	// ran is how many requests the endpoint ran at once lately.
	ran recentMax
	at  time.Time
	// lackedAt is when requests last waited while slots were free.
	lackedAt time.Time
}

// NewRoom returns the room of an endpoint of which only its slots are known.
func NewRoom(now time.Time, slots int) Room {
	return Room{slots: float64(slots), known: float64(slots), at: now}
}

// Reported returns the room after an endpoint has reported its load. If requests wait while slots
// are free, it lacks something else than slots, such as memory. If only a few do, they may be about
// to run: the room shrinks slowly then, to what ran at once lately.
func (rm Room) Reported(now time.Time, oc Occupancy) Room {
	if oc.Slots > 0 {
		rm.slots = float64(oc.Slots)
		rm.known = min(rm.known, rm.slots)
	}
	starting := startingShare * rm.slots
	running, waiting := float64(oc.Running), float64(oc.Waiting)
	elapsed := max(0, now.Sub(rm.at).Seconds())
	rm.ran = rm.ran.add(now, running)
	if waiting > 0 && running < rm.slots && running+waiting >= rm.known-starting {
		rm.lackedAt = now
	}
	if waiting > starting {
		rm = rm.atMost(now, running+starting)
	}
	if now.Sub(rm.lackedAt) < growthDelay {
		shrunk := rm.known - roomDecay*rm.slots*min(elapsed, growthDelay.Seconds())
		return rm.atMost(now, max(rm.ran.value(), shrunk))
	}
	grown := rm.known + roomGrowth*rm.slots*elapsed
	rm.known, rm.at = min(rm.slots, max(grown, running)), now
	return rm
}

// Unreported returns the room of an endpoint that gets no request of this router, and so reports it
// nothing. It grows when neither a report nor a refusal has shown less for a while.
func (rm Room) Unreported(now time.Time) Room {
	quiet := now.Sub(rm.at) - unreportedDelay
	if quiet <= 0 {
		return rm
	}
	rm.known = min(rm.slots, rm.known+roomGrowth*rm.slots*quiet.Seconds())
	rm.at = now.Add(-unreportedDelay)
	return rm
}

// SiblingLacked returns the room when another endpoint of the service let requests wait while
// slots were free at a time: this one may lack the same, and shrinks to what ran at once lately.
func (rm Room) SiblingLacked(at time.Time) Room {
	if at.After(rm.lackedAt) {
		rm.lackedAt = at
	}
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

// Overfull returns the part of the requests that the endpoint reports for which it lacks the room.
func (rm Room) Overfull(oc Occupancy) float64 {
	requests := oc.Running + oc.Waiting
	excess := requests - rm.Places()
	if excess <= 0 {
		return 0
	}
	return float64(excess) / float64(requests)
}

// Places returns the number of requests that the endpoint may have.
func (rm Room) Places() int { return int(math.Floor(rm.known)) }
