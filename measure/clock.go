// Package measure runs the decision code of production in simulations with virtual
// time, fixed seeds and the sizes of the two deployments, and compares it with simpler
// baselines. The clock, the requests and the replicas are simulated; a replica has a
// number of slots, each of which runs one request at a time.
package measure

import (
	"container/heap"
	"time"
)

// eventLoop runs events in virtual time, in the order of their times and, at one
// time, in the order in which they were added.
type eventLoop struct {
	now      time.Time
	events   eventHeap
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func newEventLoop() *eventLoop {
	return &eventLoop{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// after runs fn once, when wait has passed.
func (el *eventLoop) after(wait time.Duration, fn func()) {
	el.sequence++
	heap.Push(&el.events, event{at: el.now.Add(wait), sequence: el.sequence, run: fn})
}

// every runs fn at the end of each interval, without end.
func (el *eventLoop) every(interval time.Duration, fn func()) {
	el.after(interval, func() {
		fn()
		el.every(interval, fn)
	})
}

// run runs the events of the given length of time, and sets the clock to its end.
func (el *eventLoop) run(length time.Duration) {
	end := el.now.Add(length)
	for len(el.events) > 0 && !el.events[0].at.After(end) {
		ev := heap.Pop(&el.events).(event)
		el.now = ev.at
		ev.run()
	}
	el.now = end
}

type eventHeap []event

func (eh eventHeap) Len() int { return len(eh) }
func (eh eventHeap) Less(i, j int) bool {
	if !eh[i].at.Equal(eh[j].at) {
		return eh[i].at.Before(eh[j].at)
	}
	return eh[i].sequence < eh[j].sequence
}
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }

// Push implements heap.Interface.
func (eh *eventHeap) Push(va any) { *eh = append(*eh, va.(event)) }

// Pop implements heap.Interface.
func (eh *eventHeap) Pop() any {
	old := *eh
	last := old[len(old)-1]
	*eh = old[:len(old)-1]
	return last
}
