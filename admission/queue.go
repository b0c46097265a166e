package admission

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// usageHalfLife is the time in which served work loses half its weight.
	usageHalfLife = 10 * time.Second
	// creditLimit bounds a rank's floor credit, in seconds of its floor, and
	// creditBase in slot-seconds on top.
	creditLimit = 10.0
	creditBase  = 10.0
	// idleCredit bounds the credit of a rank without waiting work, in
	// slot-seconds.
	idleCredit = 0.5
	// smoothing weighs a new measurement against the mean so far.
	smoothing = 0.05
	// shareSmoothing is the time constant of the ranks' measured shares.
	shareSmoothing = 2 * time.Second
	minRetryWait   = time.Second
	maxRetryWait   = 30 * time.Second
	noCapacityWait = 2 * time.Second
	// renormaliseAt bounds the inflated usage before it is scaled down.
	renormaliseAt = 64
	// forgetBelow is the usage at which an organisation is no longer active.
	forgetBelow = 0.5
	// firstSecondsPerCost is assumed until requests have ended.
	firstSecondsPerCost = 0.02
)

// Queue decides for one pool. It is not safe for concurrent use.
type Queue struct {
	ranks    []*rankQueue
	capacity Slots
	maxWait  int
	running  int
	waiting  int
	at       time.Time
	epoch    time.Time
	// secondsPerCost is the measured time that a unit of cost holds a slot.
	secondsPerCost float64
	// fleetCapacity is the pool's slots for all entries, until fleetUntil.
	fleetCapacity Slots
	fleetUntil    time.Time
	// dither is added to limits before they are rounded down, until ditherUntil.
	dither      float64
	ditherUntil time.Time
}

// rankQueue is the state of one rank.
type rankQueue struct {
	Rank
	running int
	waiting int
	queued  Cost
	// credit is the slot-seconds that the rank may still claim of its floor.
	credit float64
	levels [levelsPerRank]level
	orgs   map[policy.OrganisationID]*orgQueue
	ready  orgHeap
	// shares adds up the weights of the organisations that wait, activeShares
	// of all that are known.
	shares       float64
	activeShares float64
	// usage adds up the organisations' usage.
	usage float64
}

// orgQueue is one organisation's state within a rank. Usage is inflated by
// the time since the epoch in place of being decayed, which keeps the order of
// organisations as time passes.
type orgQueue struct {
	id     policy.OrganisationID
	share  float64
	used   float64
	remote float64
	queued Cost
	wait   []*Ticket
	index  int
}

func (or *orgQueue) score() float64 { return (or.used + or.remote) / or.share }

// NewQueue gives an empty queue without capacity. maxWaiting bounds the
// requests that wait.
//
// A limit that is not a whole number is rounded up and down in turn, so that
// it holds on average; dither, from 0 to 1, sets the queues of several entries
// apart in that.
func NewQueue(now time.Time, maxWaiting int, dither float64) *Queue {
	return &Queue{
		at: now, epoch: now, maxWait: maxWaiting, secondsPerCost: firstSecondsPerCost,
		dither: dither, ditherUntil: now.Add(ditherInterval),
	}
}

// SetRanks sets the ranks. Those that stay keep their state.
func (qu *Queue) SetRanks(ras []Rank) {
	var next []*rankQueue
	for _, ra := range ras {
		rq := qu.rank(ra.ID)
		if rq == nil {
			rq = &rankQueue{orgs: map[policy.OrganisationID]*orgQueue{}}
		}
		rq.Rank = ra
		next = append(next, rq)
	}
	for _, rq := range qu.ranks {
		if rq.running+rq.waiting > 0 && !slices.Contains(next, rq) {
			next = append(next, rq)
		}
	}
	slices.SortFunc(next, func(a, b *rankQueue) int { return int(a.Order - b.Order) })
	qu.ranks = next
}

// SetCapacity sets the slots of this queue.
func (qu *Queue) SetCapacity(now time.Time, slots Slots) {
	qu.advance(now)
	qu.capacity = slots
}

// Load gives the requests in service and waiting.
func (qu *Queue) Load() (running, waiting int) { return qu.running, qu.waiting }

// Capacity gives the slots of this queue.
func (qu *Queue) Capacity() Slots { return qu.capacity }

func (qu *Queue) rank(id policy.RankID) *rankQueue {
	for _, rq := range qu.ranks {
		if rq.ID == id {
			return rq
		}
	}
	return nil
}

// Offer puts a request into the queue, or refuses it. Next tells when it may
// run. A full queue makes room by refusing the newest request of the
// organisation that waits for most beyond its share.
func (qu *Queue) Offer(now time.Time, ti *Ticket) []*Refusal {
	qu.advance(now)
	rq := qu.rank(ti.Rank)
	if rq == nil {
		return []*Refusal{{Ticket: ti, Reason: ReasonUnknownRank, RetryAt: now.Add(minRetryWait)}}
	}
	if qu.capacity <= 0 {
		return []*Refusal{{Ticket: ti, Reason: ReasonNoCapacity, RetryAt: now.Add(noCapacityWait)}}
	}
	or := rq.org(ti.Organisation, ti.Share)
	startAt := qu.expectedStart(now, rq, or, ti.Cost)
	if startAt.After(ti.LatestStart) {
		return []*Refusal{qu.refusal(now, ti, ReasonDeadlineUnreachable, startAt.Sub(ti.LatestStart))}
	}
	var out []*Refusal
	if qu.waiting >= qu.maxWait {
		victim := qu.victim(rq, or)
		if victim == nil {
			return []*Refusal{qu.refusal(now, ti, ReasonQueueFull, startAt.Sub(now))}
		}
		qu.remove(victim)
		out = append(out, qu.refusal(now, victim, ReasonQueueFull, startAt.Sub(now)))
	}
	ti.rank, ti.org, ti.state = rq, or, stateWaiting
	qu.push(ti)
	return out
}

func (qu *Queue) refusal(now time.Time, ti *Ticket, re Reason, wait time.Duration) *Refusal {
	ti.state = stateEnded
	wait = min(maxRetryWait, max(minRetryWait, wait))
	return &Refusal{Ticket: ti, Reason: re, RetryAt: now.Add(wait)}
}

// expectedStart estimates when a request would start. Fair sharing puts at
// most the organisation's own work, scaled by all waiting weights, before it.
func (qu *Queue) expectedStart(now time.Time, rq *rankQueue, or *orgQueue, co Cost) time.Time {
	if qu.waiting == 0 && float64(qu.running) < float64(qu.capacity) {
		return now
	}
	shares := rq.shares
	if len(or.wait) == 0 {
		shares += or.share
	}
	ahead := min(float64(rq.queued), float64(or.queued+co)*shares/or.share)
	rate := qu.available(rq) * float64(qu.capacity) / qu.secondsPerCost
	return now.Add(time.Duration(ahead / rate * float64(time.Second)))
}

// available is the share of the capacity that a rank can count on.
func (qu *Queue) available(rq *rankQueue) float64 {
	left := 1.0
	for _, other := range qu.ranks {
		switch {
		case other.Order < rq.Order:
			left -= (other.levels[withinShare].used + other.levels[overShare].used) / float64(qu.capacity)
		case other.Order > rq.Order && other.waiting > 0:
			left -= other.Floor
		}
	}
	const least = 0.01
	return max(left, rq.Floor, least)
}

// victim chooses whom to refuse in a full queue, nil for the newcomer itself.
func (qu *Queue) victim(rq *rankQueue, or *orgQueue) *Ticket {
	for i := len(qu.ranks) - 1; i >= 0 && qu.ranks[i].Order >= rq.Order; i-- {
		worst := qu.ranks[i].heaviest()
		if worst == nil {
			continue
		}
		mine := float64(or.queued) / or.share
		if qu.ranks[i] == rq && float64(worst.queued)/worst.share <= mine {
			return nil
		}
		return worst.wait[len(worst.wait)-1]
	}
	return nil
}

func (rq *rankQueue) heaviest() *orgQueue {
	var worst *orgQueue
	for _, or := range rq.ready {
		if worst == nil || float64(or.queued)/or.share > float64(worst.queued)/worst.share {
			worst = or
		}
	}
	return worst
}

// Dispatch gives the requests that start now, and those that can no longer be
// answered in time and are refused.
func (qu *Queue) Dispatch(now time.Time) (started []*Ticket, refused []*Refusal) {
	qu.advance(now)
	for qu.waiting > 0 && qu.capacity > 0 {
		rq := qu.nextRank()
		if rq == nil {
			return started, refused
		}
		ti := rq.ready[0].wait[0]
		qu.remove(ti)
		if now.After(ti.LatestStart) {
			refused = append(refused, qu.refusal(now, ti, ReasonDeadlineUnreachable, minRetryWait))
			continue
		}
		qu.start(now, ti)
		started = append(started, ti)
	}
	return started, refused
}

// Expire refuses the waiting requests whose latest start has passed.
func (qu *Queue) Expire(now time.Time) []*Refusal {
	qu.advance(now)
	var late []*Ticket
	for _, rq := range qu.ranks {
		for _, or := range rq.ready {
			for _, ti := range or.wait {
				if now.After(ti.LatestStart) {
					late = append(late, ti)
				}
			}
		}
	}
	var out []*Refusal
	for _, ti := range late {
		qu.remove(ti)
		out = append(out, qu.refusal(now, ti, ReasonDeadlineUnreachable, minRetryWait))
	}
	return out
}

// nextRank chooses the rank that gets a free slot: first one that is below
// its floor, then the most urgent that may have another slot.
func (qu *Queue) nextRank() *rankQueue {
	if float64(qu.running+1) <= math.Floor(float64(qu.capacity)+qu.dither) {
		for _, rq := range qu.ranks {
			if rq.waiting > 0 && rq.Floor > 0 && rq.credit > 0 {
				return rq
			}
		}
	}
	for i, rq := range qu.ranks {
		if rq.waiting > 0 && qu.mayStart(i, rq.tier(rq.ready[0])) {
			return rq
		}
	}
	return nil
}

func (qu *Queue) start(now time.Time, ti *Ticket) {
	ti.state, ti.startedAt, ti.tier = stateRunning, now, ti.rank.tier(ti.org)
	ti.rank.running++
	ti.rank.levels[ti.tier].running++
	qu.running++
	qu.charge(now, ti, ti.Cost)
}

// charge adds served cost to an organisation's usage.
func (qu *Queue) charge(now time.Time, ti *Ticket, co Cost) {
	inflated := float64(co) * qu.inflation(now)
	ti.org.used += inflated
	ti.rank.usage += inflated
	if ti.org.index >= 0 {
		heap.Fix(&ti.rank.ready, ti.org.index)
	}
}

// inflation is the weight of work at a time against work at the epoch.
func (qu *Queue) inflation(now time.Time) float64 {
	return math.Exp2(now.Sub(qu.epoch).Seconds() / usageHalfLife.Seconds())
}

// Done ends a request in service; actual is what it cost.
func (qu *Queue) Done(now time.Time, ti *Ticket, actual Cost) {
	if ti.state != stateRunning {
		return
	}
	qu.advance(now)
	ti.state = stateEnded
	ti.rank.running--
	ti.rank.levels[ti.tier].running--
	qu.running--
	qu.charge(now, ti, actual-ti.Cost)
	if actual > 0 {
		seconds := now.Sub(ti.startedAt).Seconds() / float64(actual)
		qu.secondsPerCost += smoothing * (seconds - qu.secondsPerCost)
	}
}

// Cancel takes a request out of the queue when its caller has gone. False when
// it was not waiting.
func (qu *Queue) Cancel(now time.Time, ti *Ticket) bool {
	if ti.state != stateWaiting {
		return false
	}
	qu.advance(now)
	qu.remove(ti)
	ti.state = stateEnded
	return true
}

func (qu *Queue) push(ti *Ticket) {
	rq, or := ti.rank, ti.org
	or.wait = append(or.wait, ti)
	or.queued += ti.Cost
	rq.queued += ti.Cost
	rq.waiting++
	qu.waiting++
	if len(or.wait) == 1 {
		heap.Push(&rq.ready, or)
		rq.shares += or.share
	}
}

func (qu *Queue) remove(ti *Ticket) {
	rq, or := ti.rank, ti.org
	i := slices.Index(or.wait, ti)
	or.wait = slices.Delete(or.wait, i, i+1)
	or.queued -= ti.Cost
	rq.queued -= ti.Cost
	rq.waiting--
	qu.waiting--
	if len(or.wait) == 0 {
		heap.Remove(&rq.ready, or.index)
		rq.shares -= or.share
	}
}

func (rq *rankQueue) org(id policy.OrganisationID, share float64) *orgQueue {
	or, ok := rq.orgs[id]
	if !ok {
		or = &orgQueue{id: id, share: share, index: -1}
		rq.orgs[id] = or
		rq.activeShares += share
	}
	if len(or.wait) == 0 {
		rq.activeShares += share - or.share
		or.share = share
	}
	return or
}
