package measure

import (
	"slices"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

// job is one request of a simulation.
type job struct {
	org   policy.OrganisationID
	share float64
	rank  policy.RankID
	// order is that of the rank: 0 is the most urgent.
	order int64
	// tokens is the length of the answer.
	tokens float64
	// expectedTokens is the mean length of the stream's answers, which the scheduler
	// goes by.
	expectedTokens float64
	arrived        time.Time
	deadline       time.Time
	ticket         admission.Ticket
	entry          int
	replica        *replica
	// firstToken and ended are the times when the caller gets the first token and the
	// end of the answer; zero before the start and the end.
	firstToken time.Time
	ended      time.Time
	refused    bool
	sent       int
}

// inTime reports whether the answer ended by the deadline.
func (jo *job) inTime() bool { return !jo.ended.IsZero() && !jo.ended.After(jo.deadline) }

// scheduler is one entry's queue.
type scheduler interface {
	// offer adds a job to the queue, or refuses it.
	offer(now time.Time, jo *job)
	// next returns the jobs that start now.
	next(now time.Time) []*job
	// done tells the queue that a job that it started has ended.
	done(now time.Time, jo *job)
	// setCapacity sets the number of slots that the queue may use.
	setCapacity(now time.Time, slots float64)
	// demand returns the number of jobs running or waiting.
	demand() float64
}

// productionQueue is the queue that the entries use in production.
type productionQueue struct {
	queue *admission.Queue
	jobs  map[*admission.Ticket]*job
	// refused is called for each request that is refused.
	refused func(jo *job)
}

// newProductionQueue returns a queue with the ranks of the example policy. dither is
// that of admission.NewQueue, from 0 to 1.
func newProductionQueue(now time.Time, dither float64, refused func(jo *job)) *productionQueue {
	qu := admission.NewQueue(now, 1024, dither)
	qu.SetRanks(ranks())
	return &productionQueue{queue: qu, jobs: map[*admission.Ticket]*job{}, refused: refused}
}

// ranks returns the ranks of the example policy.
func ranks() []admission.Rank {
	return []admission.Rank{
		{ID: "urgent", Order: 0, Floor: 0.2},
		{ID: "standard", Order: 1, Floor: 0.2, Headroom: 0.2},
		{ID: "bulk", Order: 2, Floor: 0.1, Headroom: 0.35},
	}
}

func (pq *productionQueue) offer(now time.Time, jo *job) {
	jo.ticket = admission.Ticket{
		Organisation: jo.org, Share: jo.share, Rank: jo.rank, Cost: admission.Cost(jo.expectedTokens),
		LatestStart: admission.LatestStart(jo.arrived, jo.deadline, serviceTime(jo.expectedTokens)),
	}
	pq.jobs[&jo.ticket] = jo
	pq.refuse(pq.queue.Offer(now, &jo.ticket))
}

// refuse marks the jobs of refused tickets.
func (pq *productionQueue) refuse(res []*admission.Refusal) {
	for _, re := range res {
		jo := pq.jobs[re.Ticket]
		delete(pq.jobs, re.Ticket)
		jo.refused = true
		pq.refused(jo)
	}
}

func (pq *productionQueue) next(now time.Time) []*job {
	pq.refuse(pq.queue.Expire(now))
	started, refused := pq.queue.Dispatch(now)
	pq.refuse(refused)
	out := make([]*job, len(started))
	for i, ti := range started {
		out[i] = pq.jobs[ti]
	}
	return out
}

func (pq *productionQueue) done(now time.Time, jo *job) {
	delete(pq.jobs, &jo.ticket)
	pq.queue.Done(now, &jo.ticket, admission.Cost(jo.tokens))
}

func (pq *productionQueue) setCapacity(now time.Time, slots float64) {
	pq.queue.SetCapacity(now, admission.Slots(slots))
}

func (pq *productionQueue) demand() float64 {
	running, waiting := pq.queue.Load()
	return float64(running + waiting)
}

// baselineQueue is a simpler queue to compare with: a list of waiting jobs in the order
// of less.
type baselineQueue struct {
	less func(a, b *job) bool
	// maxWaiting bounds the waiting jobs, maxOrgShare the part of the capacity that
	// one organisation may use; 0 sets no limit.
	maxWaiting   int
	maxOrgShare  float64
	capacity     float64
	running      int
	runningByOrg map[policy.OrganisationID]int
	waiting      []*job
	refused      func(jo *job)
}

func byArrival(a, b *job) bool { return a.arrived.Before(b.arrived) }

func byRank(a, b *job) bool {
	if a.order != b.order {
		return a.order < b.order
	}
	return byArrival(a, b)
}

func (bq *baselineQueue) offer(_ time.Time, jo *job) {
	if bq.maxWaiting > 0 && len(bq.waiting) >= bq.maxWaiting {
		jo.refused = true
		bq.refused(jo)
		return
	}
	i, _ := slices.BinarySearchFunc(bq.waiting, jo, func(a, b *job) int {
		if bq.less(b, a) {
			return 1
		}
		return -1
	})
	bq.waiting = slices.Insert(bq.waiting, i, jo)
}

func (bq *baselineQueue) next(time.Time) []*job {
	var out []*job
	for i := 0; i < len(bq.waiting) && float64(bq.running) < bq.capacity; {
		jo := bq.waiting[i]
		if bq.maxOrgShare > 0 && float64(bq.runningByOrg[jo.org]) >= bq.maxOrgShare*bq.capacity {
			i++
			continue
		}
		bq.waiting = slices.Delete(bq.waiting, i, i+1)
		bq.running++
		bq.runningByOrg[jo.org]++
		out = append(out, jo)
	}
	return out
}

func (bq *baselineQueue) done(_ time.Time, jo *job) {
	bq.running--
	bq.runningByOrg[jo.org]--
}

func (bq *baselineQueue) setCapacity(_ time.Time, slots float64) { bq.capacity = slots }

func (bq *baselineQueue) demand() float64 { return float64(bq.running + len(bq.waiting)) }
