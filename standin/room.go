package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// brittleGrace is the time from the begin of brittleness until a replica lets fewer
	// requests wait and can fall over.
	brittleGrace = 3 * time.Second
	// refusalWindow is the time over which a brittle replica counts its refusals.
	refusalWindow = time.Second
)

// Brittleness makes a replica fall over when it refuses too much.
type Brittleness struct {
	// Refusals is the value of the header Server-Brittle: a replica that refuses more
	// requests within a second, for want of room, falls over.
	Refusals int
	// Queue is the number of requests that wait at most.
	Queue int
}

// room is the occupancy of a replica whose slots are limited. Replica.mu guards it.
type room struct {
	running int
	// waiting holds a channel for each request that waits, in the order of arrival. It is
	// closed when the request gets a slot.
	waiting []chan struct{}
	// brittleSince is when brittleness began, zero without it.
	brittleSince time.Time
	// refused holds the times of the refusals within refusalWindow.
	refused []time.Time
	falls   []time.Time
}

// Falls returns the times at which the replica fell over because it refused too much.
func (re *Replica) Falls() []time.Time {
	re.mu.Lock()
	defer re.mu.Unlock()
	return slices.Clone(re.room.falls)
}

// enter takes a slot, and blocks until there is one. It returns false if there is no room to
// wait, or the client disconnects.
func (re *Replica) enter(rq *http.Request) bool {
	re.mu.Lock()
	if re.opt.Slots == 0 {
		re.mu.Unlock()
		return true
	}
	if re.room.running < re.opt.Slots {
		re.room.running++
		re.mu.Unlock()
		return true
	}
	if len(re.room.waiting) >= re.queueLimit() {
		re.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	re.room.waiting = append(re.room.waiting, turn)
	re.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-rq.Context().Done():
		re.stopWaiting(turn)
		panic(http.ErrAbortHandler)
	}
}

// queueLimit returns how many requests may wait. The caller holds mu.
func (re *Replica) queueLimit() int {
	if br := re.faults.Brittle; br != nil && re.fragile() {
		return br.Queue
	}
	return re.opt.Queue
}

// fragile reports whether refusals can make the replica fall over. The caller holds mu.
func (re *Replica) fragile() bool {
	return re.faults.Brittle != nil && time.Since(re.room.brittleSince) >= brittleGrace
}

// stopWaiting ends the wait of a request whose client has disconnected.
func (re *Replica) stopWaiting(turn chan struct{}) {
	re.mu.Lock()
	n := slices.Index(re.room.waiting, turn)
	if n >= 0 {
		re.room.waiting = slices.Delete(re.room.waiting, n, n+1)
	}
	re.mu.Unlock()
	if n < 0 {
		re.exit()
	}
}

// exit gives a slot back, to the request that has waited longest.
func (re *Replica) exit() {
	re.mu.Lock()
	defer re.mu.Unlock()
	switch {
	case re.opt.Slots == 0:
	case len(re.room.waiting) > 0:
		close(re.room.waiting[0])
		re.room.waiting = re.room.waiting[1:]
	default:
		re.room.running--
	}
}

// refuseFull refuses a request for want of room. The replica falls over if it has refused too
// much.
func (re *Replica) refuseFull(wr http.ResponseWriter) {
	re.setRefused()
	if re.overRefused() && re.setCrashed() {
		re.opt.OnCrash()
		panic(http.ErrAbortHandler)
	}
	re.setLoad(wr.Header())
	wr.Header().Set("Not-Executed", "full")
	wr.WriteHeader(http.StatusServiceUnavailable)
}

// overRefused counts a refusal, and reports whether the replica falls over.
func (re *Replica) overRefused() bool {
	now := time.Now()
	re.mu.Lock()
	defer re.mu.Unlock()
	if !re.fragile() {
		return false
	}
	re.room.refused = slices.DeleteFunc(re.room.refused, func(at time.Time) bool { return now.Sub(at) > refusalWindow })
	re.room.refused = append(re.room.refused, now)
	if len(re.room.refused) <= re.faults.Brittle.Refusals || re.down {
		return false
	}
	re.room.falls, re.room.refused = append(re.room.falls, now), nil
	return true
}

// setLoad adds the header Server-Load if the replica's slots are limited.
func (re *Replica) setLoad(he http.Header) {
	if re.opt.Slots == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	he.Set("Server-Load", fmt.Sprintf("%d,%d,%d", re.room.running, len(re.room.waiting), cmp.Or(re.opt.ReportedSlots, re.opt.Slots)))
}
