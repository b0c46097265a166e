package measure

import (
	"slices"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

// job is one request of a measurement.
type job struct {
	org    policy.OrganisationID
	share  float64
	rank   policy.RankID
	order  int64
	tokens float64
	// expected is the mean length of the rank's answers.
	expected float64
	arrived  time.Time
	deadline time.Time
	ticket   admission.Ticket
	entry    int
	replica  *replica
	// firstToken and ended are zero while they have not come.
	firstToken time.Time
	ended      time.Time
	refused    bool
	sent       int
}

func (jo *job) inTime() bool { return !jo.ended.IsZero() && !jo.ended.After(jo.deadline) }

// scheduler is one entry's queue.
type scheduler interface {
	offer(now time.Time, jo *job)
	next(now time.Time) []*job
	done(now time.Time, jo *job)
	setCapacity(now time.Time, slots float64)
	demand() float64
}

// ours is the queue that serves.
type ours struct {
	queue *admission.Queue
	jobs  map[*admission.Ticket]*job
	// refused is called for each request that is refused.
	refused func(jo *job)
}

func newOurs(now time.Time, dither float64, refused func(jo *job)) *ours {
	qu := admission.NewQueue(now, 1024, dither)
	qu.SetRanks(ranks())
	return &ours{queue: qu, jobs: map[*admission.Ticket]*job{}, refused: refused}
}

// ranks are those of the examples.
func ranks() []admission.Rank {
	return []admission.Rank{
		{ID: "urgent", Order: 0, Floor: 0.2},
		{ID: "standard", Order: 1, Floor: 0.2, Headroom: 0.2},
		{ID: "bulk", Order: 2, Floor: 0.1, Headroom: 0.35},
	}
}

func (ou *ours) offer(now time.Time, jo *job) {
	jo.ticket = admission.Ticket{
		Organisation: jo.org, Share: jo.share, Rank: jo.rank, Cost: admission.Cost(jo.expected),
		LatestStart: admission.LatestStart(jo.arrived, jo.deadline, service(jo.expected)),
	}
	ou.jobs[&jo.ticket] = jo
	ou.refuse(ou.queue.Offer(now, &jo.ticket))
}

func (ou *ours) refuse(res []*admission.Refusal) {
	for _, re := range res {
		jo := ou.jobs[re.Ticket]
		delete(ou.jobs, re.Ticket)
		jo.refused = true
		ou.refused(jo)
	}
}

func (ou *ours) next(now time.Time) []*job {
	ou.refuse(ou.queue.Expire(now))
	started, refused := ou.queue.Dispatch(now)
	ou.refuse(refused)
	out := make([]*job, len(started))
	for i, ti := range started {
		out[i] = ou.jobs[ti]
	}
	return out
}

func (ou *ours) done(now time.Time, jo *job) {
	delete(ou.jobs, &jo.ticket)
	ou.queue.Done(now, &jo.ticket, admission.Cost(jo.tokens))
}

func (ou *ours) setCapacity(now time.Time, slots float64) {
	ou.queue.SetCapacity(now, admission.Slots(slots))
}

func (ou *ours) demand() float64 {
	running, waiting := ou.queue.Load()
	return float64(running + waiting)
}

// simple is a baseline: one list, ordered by less, with a longest length.
type simple struct {
	less     func(a, b *job) bool
	limit    int
	perOrg   float64
	capacity float64
	running  int
	byOrg    map[policy.OrganisationID]int
	waiting  []*job
	refused  func(jo *job)
}

func byArrival(a, b *job) bool { return a.arrived.Before(b.arrived) }

func byRank(a, b *job) bool {
	if a.order != b.order {
		return a.order < b.order
	}
	return byArrival(a, b)
}

func (si *simple) offer(_ time.Time, jo *job) {
	if si.limit > 0 && len(si.waiting) >= si.limit {
		jo.refused = true
		si.refused(jo)
		return
	}
	i, _ := slices.BinarySearchFunc(si.waiting, jo, func(a, b *job) int {
		if si.less(b, a) {
			return 1
		}
		return -1
	})
	si.waiting = slices.Insert(si.waiting, i, jo)
}

func (si *simple) next(time.Time) []*job {
	var out []*job
	for i := 0; i < len(si.waiting) && float64(si.running) < si.capacity; {
		jo := si.waiting[i]
		if si.perOrg > 0 && float64(si.byOrg[jo.org]) >= si.perOrg*si.capacity {
			i++
			continue
		}
		si.waiting = slices.Delete(si.waiting, i, i+1)
		si.running++
		si.byOrg[jo.org]++
		out = append(out, jo)
	}
	return out
}

func (si *simple) done(_ time.Time, jo *job) {
	si.running--
	si.byOrg[jo.org]--
}

func (si *simple) setCapacity(_ time.Time, slots float64) { si.capacity = slots }

func (si *simple) demand() float64 { return float64(si.running + len(si.waiting)) }
