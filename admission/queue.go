package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// usageHalfLife is the half-life of served cost in an organisation's usage.
	usageHalfLife = 10 * time.Second
	// A rank's floor credit is bounded by maxCreditSeconds times its floor in slots
	// plus maxCreditBase, in slot-seconds.
	maxCreditSeconds = 10.0
	maxCreditBase    = 10.0
	// maxIdleCredit bounds the floor credit of a rank without waiting requests,
	// in slot-seconds.
	maxIdleCredit = 0.5
	// serviceTimeSmoothing is the weight of a new measurement in the moving
	// average of the service time per unit of cost.
	serviceTimeSmoothing = 0.05
	// levelSmoothing is the time constant of the moving average of each level's
	// used slots.
	levelSmoothing = 2 * time.Second
	// minRetryWait and maxRetryWait bound how long after its refusal a request
	// may be retried, and noCapacityRetryWait is that time in a pool without slots.
	minRetryWait        = time.Second
	maxRetryWait        = 30 * time.Second
	noCapacityRetryWait = 2 * time.Second
	// maxInflation is the inflation above which all usage is scaled down and the
	// epoch moved; see orgQueue.
	maxInflation = 64
	// minActiveScore is the usage per unit of weight below which an organisation
	// without waiting requests is dropped.
	minActiveScore = 0.5
	// initialSecondsPerCost is the value of secondsPerCost before any request has
	// ended.
	initialSecondsPerCost = 0.02
)

// Queue schedules the requests of one pool. It is not safe for concurrent use.
type Queue struct {
	ranks      []*rankQueue
	capacity   Slots
	maxWaiting int
	running    int
	waiting    int
	updatedAt  time.Time
	// epoch is the time relative to which usage is inflated; see orgQueue.
	epoch time.Time
	// secondsPerCost is the moving average of the measured time for which a unit of
	// cost occupies a slot.
	secondsPerCost float64
	// fleetCapacity is the pool's slots for all entries, until fleetUntil.
	fleetCapacity Slots
	fleetUntil    time.Time
	// dither, from 0 to 1, is added to fractional limits before they are rounded
	// down; it changes at ditherUntil.
	dither      float64
	ditherUntil time.Time
}

// rankQueue is the state of one rank.
type rankQueue struct {
	Rank
	running    int
	waiting    int
	queuedCost Cost
	// credit is the sum over time of the rank's floor less the slots that it used,
	// in slot-seconds. While it is above 0, the rank comes before
	// those without credit.
	credit float64
	levels [levelsPerRank]level
	orgs   map[policy.OrganisationID]*orgQueue
	ready  orgHeap
	// waitingWeight is the sum of the weights of the organisations with waiting
	// requests, totalWeight that of all organisations in orgs.
	waitingWeight float64
	totalWeight   float64
	// usage is the sum of the organisations' local and peer usage.
	usage float64
}

// orgQueue is one organisation's state within a rank. Its usage decays without
// being updated: new usage is instead inflated by a factor that grows with the
// time since the epoch, so that the order of the organisations does not change as
// time passes.
type orgQueue struct {
	id         policy.OrganisationID
	weight     float64
	localUsage float64
	peerUsage  float64
	queuedCost Cost
	tickets    []*Ticket
	index      int
}

// score returns the usage per unit of weight.
func (or *orgQueue) score() float64 { return (or.localUsage + or.peerUsage) / or.weight }

// NewQueue returns an empty queue without capacity, in which at most maxWaiting
// requests wait.
//
// A fractional limit is rounded up or down in turn, so that it holds on
// average. dither, from 0 to 1, is where this sequence starts; it should differ
// between entries, so that they do not round up at the same time.
func NewQueue(now time.Time, maxWaiting int, dither float64) *Queue {
	return &Queue{
		updatedAt: now, epoch: now, maxWaiting: maxWaiting, secondsPerCost: initialSecondsPerCost,
		dither: dither, ditherUntil: now.Add(ditherInterval),
	}
}

// SetRanks replaces the ranks. Ranks that were there before keep their state,
// and removed ones are kept while they have running or waiting requests.
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
	slices.SortFunc(next, func(a, b *rankQueue) int { return cmp.Compare(a.Order, b.Order) })
	qu.ranks = next
}

// SetCapacity sets this entry's slots.
func (qu *Queue) SetCapacity(now time.Time, slots Slots) {
	qu.advance(now)
	qu.capacity = slots
}

// Load returns the number of running and of waiting requests.
func (qu *Queue) Load() (running, waiting int) { return qu.running, qu.waiting }

// Capacity returns this entry's slots.
func (qu *Queue) Capacity() Slots { return qu.capacity }

func (qu *Queue) rank(id policy.RankID) *rankQueue {
	for _, rq := range qu.ranks {
		if rq.ID == id {
			return rq
		}
	}
	return nil
}

// Offer adds a request to the queue, or refuses it; Dispatch starts it later.
// When the queue is full, Offer refuses the newest waiting request of the
// organisation with the most queued cost per unit of weight in the least urgent
// rank with waiting requests, so the refusal may be of another ticket than ti.
func (qu *Queue) Offer(now time.Time, ti *Ticket) []*Refusal {
	qu.advance(now)
	rq := qu.rank(ti.Rank)
	if rq == nil {
		return []*Refusal{{Ticket: ti, Reason: ReasonUnknownRank, RetryAt: now.Add(minRetryWait)}}
	}
	if qu.capacity <= 0 {
		return []*Refusal{{Ticket: ti, Reason: ReasonNoCapacity, RetryAt: now.Add(noCapacityRetryWait)}}
	}
	or := rq.org(ti.Organisation, ti.Share)
	startAt := qu.expectedStart(now, rq, or, ti.Cost)
	if startAt.After(ti.LatestStart) {
		return []*Refusal{qu.refuse(now, ti, ReasonDeadlineUnreachable, startAt.Sub(ti.LatestStart))}
	}
	var out []*Refusal
	if qu.waiting >= qu.maxWaiting {
		victim := qu.chooseVictim(rq, or)
		if victim == nil {
			return []*Refusal{qu.refuse(now, ti, ReasonQueueFull, startAt.Sub(now))}
		}
		qu.dequeue(victim)
		out = append(out, qu.refuse(now, victim, ReasonQueueFull, startAt.Sub(now)))
	}
	ti.rank, ti.org, ti.state = rq, or, stateWaiting
	qu.enqueue(ti)
	return out
}

// refuse ends a ticket and returns its refusal, with wait brought within the
// bounds for a retry.
func (qu *Queue) refuse(now time.Time, ti *Ticket, re Reason, wait time.Duration) *Refusal {
	ti.state = stateEnded
	wait = min(maxRetryWait, max(minRetryWait, wait))
	return &Refusal{Ticket: ti, Reason: re, RetryAt: now.Add(wait)}
}

// expectedStart estimates when a request would start. Under fair sharing the
// cost served before it is at most the organisation's own queued cost times the
// sum of the waiting organisations' weights, divided by its own weight.
func (qu *Queue) expectedStart(now time.Time, rq *rankQueue, or *orgQueue, co Cost) time.Time {
	if qu.waiting == 0 && float64(qu.running) < float64(qu.capacity) {
		return now
	}
	total := rq.waitingWeight
	if len(or.tickets) == 0 {
		total += or.weight
	}
	ahead := min(float64(rq.queuedCost), float64(or.queuedCost+co)*total/or.weight)
	rate := qu.availableShare(rq) * float64(qu.capacity) / qu.secondsPerCost
	return now.Add(time.Duration(ahead / rate * float64(time.Second)))
}

// availableShare returns the share of the capacity that a rank can expect: the
// part that more urgent ranks do not use, less the floors of less urgent ranks
// with waiting requests, but at least its own floor.
func (qu *Queue) availableShare(rq *rankQueue) float64 {
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

// chooseVictim returns the waiting request to refuse when the queue is full, or
// nil when the new request itself, of rank rq and organisation or, is to be
// refused. It begins with the least urgent rank and goes up to rq.
func (qu *Queue) chooseVictim(rq *rankQueue, or *orgQueue) *Ticket {
	for i := len(qu.ranks) - 1; i >= 0 && qu.ranks[i].Order >= rq.Order; i-- {
		worst := qu.ranks[i].mostQueued()
		if worst == nil {
			continue
		}
		mine := float64(or.queuedCost) / or.weight
		if qu.ranks[i] == rq && float64(worst.queuedCost)/worst.weight <= mine {
			return nil
		}
		return worst.tickets[len(worst.tickets)-1]
	}
	return nil
}

// mostQueued returns the organisation with the most queued cost per unit of
// weight, or nil when none has waiting requests.
func (rq *rankQueue) mostQueued() *orgQueue {
	var worst *orgQueue
	for _, or := range rq.ready {
		if worst == nil || float64(or.queuedCost)/or.weight > float64(worst.queuedCost)/worst.weight {
			worst = or
		}
	}
	return worst
}

// Dispatch starts the requests that may run now, and refuses those that it
// would have started but whose latest start has passed.
func (qu *Queue) Dispatch(now time.Time) (started []*Ticket, refused []*Refusal) {
	qu.advance(now)
	for qu.waiting > 0 && qu.capacity > 0 {
		rq := qu.nextRank()
		if rq == nil {
			return started, refused
		}
		ti := rq.ready[0].tickets[0]
		qu.dequeue(ti)
		if now.After(ti.LatestStart) {
			refused = append(refused, qu.refuse(now, ti, ReasonDeadlineUnreachable, minRetryWait))
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
			for _, ti := range or.tickets {
				if now.After(ti.LatestStart) {
					late = append(late, ti)
				}
			}
		}
	}
	var out []*Refusal
	for _, ti := range late {
		qu.dequeue(ti)
		out = append(out, qu.refuse(now, ti, ReasonDeadlineUnreachable, minRetryWait))
	}
	return out
}

// nextRank returns the rank that gets the next slot, or nil: the most urgent
// one with floor credit left, or else the most urgent one that may use another
// slot.
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

// charge adds a cost, which may be negative, to an organisation's usage.
func (qu *Queue) charge(now time.Time, ti *Ticket, co Cost) {
	inflated := float64(co) * qu.inflation(now)
	ti.org.localUsage += inflated
	ti.rank.usage += inflated
	if ti.org.index >= 0 {
		heap.Fix(&ti.rank.ready, ti.org.index)
	}
}

// inflation returns the weight of cost served now relative to cost served at
// the epoch.
func (qu *Queue) inflation(now time.Time) float64 {
	return math.Exp2(now.Sub(qu.epoch).Seconds() / usageHalfLife.Seconds())
}

// Done ends a running request and replaces its expected cost by the actual
// one. It does nothing when the request is not running.
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
		qu.secondsPerCost += serviceTimeSmoothing * (seconds - qu.secondsPerCost)
	}
}

// Cancel removes a waiting request from the queue, and reports whether it was
// waiting.
func (qu *Queue) Cancel(now time.Time, ti *Ticket) bool {
	if ti.state != stateWaiting {
		return false
	}
	qu.advance(now)
	qu.dequeue(ti)
	ti.state = stateEnded
	return true
}

func (qu *Queue) enqueue(ti *Ticket) {
	rq, or := ti.rank, ti.org
	or.tickets = append(or.tickets, ti)
	or.queuedCost += ti.Cost
	rq.queuedCost += ti.Cost
	rq.waiting++
	qu.waiting++
	if len(or.tickets) == 1 {
		heap.Push(&rq.ready, or)
		rq.waitingWeight += or.weight
	}
}

func (qu *Queue) dequeue(ti *Ticket) {
	rq, or := ti.rank, ti.org
	i := slices.Index(or.tickets, ti)
	or.tickets = slices.Delete(or.tickets, i, i+1)
	or.queuedCost -= ti.Cost
	rq.queuedCost -= ti.Cost
	rq.waiting--
	qu.waiting--
	if len(or.tickets) == 0 {
		heap.Remove(&rq.ready, or.index)
		rq.waitingWeight -= or.weight
	}
}

// org returns an organisation's state within the rank, which it creates when
// there is none. A changed weight takes effect once none of the organisation's
// requests is waiting.
func (rq *rankQueue) org(id policy.OrganisationID, weight float64) *orgQueue {
	or, ok := rq.orgs[id]
	if !ok {
		or = &orgQueue{id: id, weight: weight, index: -1}
		rq.orgs[id] = or
		rq.totalWeight += weight
	}
	if len(or.tickets) == 0 {
		rq.totalWeight += weight - or.weight
		or.weight = weight
	}
	return or
}
