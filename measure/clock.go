// Package measure drives the decision code in virtual time, from fixed seeds
// and at the sizes of the two deployments, against simpler baselines. The fakes
// beside it are an event loop and replicas with a number of slots each.
package measure

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their times.
type loop struct {
	now    time.Time
	events eventHeap
	order  int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

func newLoop() *loop {
	return &loop{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// after runs fn when a time has passed.
func (lo *loop) after(wait time.Duration, fn func()) {
	lo.order++
	heap.Push(&lo.events, event{at: lo.now.Add(wait), order: lo.order, run: fn})
}

// every runs fn again and again.
func (lo *loop) every(interval time.Duration, fn func()) {
	lo.after(interval, func() {
		fn()
		lo.every(interval, fn)
	})
}

// run goes on for a time.
func (lo *loop) run(length time.Duration) {
	end := lo.now.Add(length)
	for len(lo.events) > 0 && !lo.events[0].at.After(end) {
		ev := heap.Pop(&lo.events).(event)
		lo.now = ev.at
		ev.run()
	}
	lo.now = end
}

type eventHeap []event

func (eh eventHeap) Len() int { return len(eh) }
func (eh eventHeap) Less(i, j int) bool {
	if !eh[i].at.Equal(eh[j].at) {
		return eh[i].at.Before(eh[j].at)
	}
	return eh[i].order < eh[j].order
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
