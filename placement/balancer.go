package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// runningCost is what each running stream delays a new prompt.
	runningCost = Work(0.006)
	// overflowCost is what each request beyond an endpoint's slots waits.
	overflowCost = Work(0.3)
	// failureCost is what a certain failure costs, in seconds.
	failureCost = 1.5
	// farCost is what an endpoint in another failure domain costs, in seconds:
	// the bytes on the way are paid for.
	farCost = 0.3
	// failureSmoothing and speedSmoothing weigh a new outcome.
	failureSmoothing = 0.2
	speedSmoothing   = 0.25
	// slowest and fastest bound an endpoint's measured factor.
	slowest = 32.0
	fastest = 0.5
	// overdueFactor times its estimate is when an answer is overdue.
	overdueFactor = 3.0
	// jitter spreads choices that are about as good.
	jitter = 0.1
)

// Work is an amount of work, in seconds of an idle endpoint.
type Work float64

// Job is what a request asks of an endpoint.
type Job struct {
	// Prefix names the shared start of its prompt, 0 when there is none.
	Prefix Prefix
	// Work is what it takes until the answer begins, and Cached the part of it
	// that a cached start saves.
	Work        Work
	CacheSaving Work
}

// Load is what one entry has at an endpoint.
type Load struct {
	Running int
	// Backlog is the work that has not begun to be answered.
	Backlog Work
}

// node is what is known of one endpoint.
type node struct {
	suspension
	own    Load
	others Load
	// reported is what the endpoint said that it has, ownThen this entry's part.
	reported      int
	ownThen       int
	reportedUntil time.Time
	// pending are this entry's jobs whose answer has not begun.
	pending map[JobID]pending
	// speed is the measured time against the expected.
	speed float64
	// failing is the smoothed share of failures.
	failing float64
}

// JobID names a job that was placed.
type JobID uint64

// pending is a job whose answer has not begun.
type pending struct {
	work Work
	// dueAt is when the answer should have begun.
	dueAt time.Time
}

// overdue is how late the answers of an endpoint are to begin, in seconds: the
// sign of one that is stuck, long before any answer of it says so.
func (no *node) overdue(now time.Time) float64 {
	late := 0.0
	for _, pe := range no.pending {
		late = max(late, now.Sub(pe.dueAt).Seconds())
	}
	return late
}

// Assignment is where a job goes.
type Assignment struct {
	Endpoint policy.Endpoint
	JobID    JobID
	Job      Job
	// Estimate is the work that is done before the job's answer begins, its own
	// included.
	Estimate Work
}

// Balancer chooses endpoints by the time until they would answer, in one scale:
// work before it, the batch beside it, what is cached, how fast and how
// reliable the endpoint has been. It answers two loads: long prompts that crowd
// on the endpoint that has their start cached, and endpoints that are slow or
// fail while they look idle.
//
// mu guards all fields. No other lock is taken while it is held.
type Balancer struct {
	mu          sync.Mutex
	rng         *rand.Rand
	nodes       map[policy.EndpointID]*node
	sent        map[remembered]time.Time
	domain      policy.FailureDomain
	othersUntil time.Time
	last        JobID
}

// NewBalancer gives a balancer that knows nothing, for an entry in a failure
// domain; seed drives its chances.
func NewBalancer(seed uint64, domain policy.FailureDomain) *Balancer {
	return &Balancer{
		domain: domain,
		rng:    rand.New(rand.NewPCG(seed, mix(seed))),
		nodes:  map[policy.EndpointID]*node{}, sent: map[remembered]time.Time{},
	}
}

// Choose picks an endpoint and counts the job there; Answered and Done must
// follow. tried are endpoints that failed this request.
func (ba *Balancer) Choose(now time.Time, ens []policy.Endpoint, jo Job, tried []policy.EndpointID, usable func(en policy.Endpoint, ru Running) bool) (Assignment, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ens = slices.DeleteFunc(slices.Clone(ens), func(en policy.Endpoint) bool {
		return slices.Contains(tried, en.ID) || !usable(en, ba.running(now, en.ID)) || !ba.node(en.ID).open(now)
	})
	if len(ens) == 0 {
		return Assignment{}, false
	}
	credits := ba.credits(now, ens, jo)
	best, bestScore := 0, 0.0
	for i, en := range ens {
		score := ba.score(now, en, jo, credits[i]) * (1 + jitter*ba.rng.Float64())
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	en := ens[best]
	no := ba.node(en.ID)
	estimate := ba.wait(now, en, jo, credits[best])
	no.own.Running++
	no.own.Backlog += jo.Work
	no.probe()
	ba.last++
	dueAt := now.Add(time.Duration(overdueFactor * float64(estimate) * float64(time.Second)))
	no.pending[ba.last] = pending{work: jo.Work, dueAt: dueAt}
	ba.remember(now, jo.Prefix, en.ID)
	return Assignment{Endpoint: en, JobID: ba.last, Job: jo, Estimate: estimate}, true
}

// score estimates the seconds until an endpoint would answer, in view of how it
// has been.
func (ba *Balancer) score(now time.Time, en policy.Endpoint, jo Job, credit float64) float64 {
	no := ba.node(en.ID)
	score := no.speed*float64(ba.wait(now, en, jo, credit)) + no.failing*failureCost + no.overdue(now)
	if policy.FailureDomain(en.FailureDomain) != ba.domain {
		score += farCost
	}
	return score
}

// wait estimates the work that is done at an endpoint before a job's answer
// begins.
func (ba *Balancer) wait(now time.Time, en policy.Endpoint, jo Job, credit float64) Work {
	no := ba.node(en.ID)
	load := no.own
	if now.Before(ba.othersUntil) {
		load.Running += no.others.Running
		load.Backlog += no.others.Backlog
	} else if now.Before(no.reportedUntil) {
		load.Running = max(load.Running, no.reported+no.own.Running-no.ownThen)
	}
	wait := load.Backlog + Work(load.Running)*runningCost
	if over := load.Running + 1 - int(en.Slots); over > 0 {
		wait += Work(over) * max(overflowCost, jo.Work)
	}
	return wait + jo.Work - Work(credit)*jo.CacheSaving
}

// AnswerStarted tells that an endpoint began to answer a job after a time.
func (ba *Balancer) AnswerStarted(pl Assignment, took time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	no := ba.node(pl.Endpoint.ID)
	no.settle(pl.JobID)
	if pl.Estimate > 0 {
		factor := min(slowest, max(fastest, took.Seconds()/float64(pl.Estimate)))
		no.speed += speedSmoothing * (factor - no.speed)
	}
}

// settle takes a job off the backlog, once.
func (no *node) settle(ti JobID) {
	pe, ok := no.pending[ti]
	if !ok {
		return
	}
	delete(no.pending, ti)
	no.own.Backlog = max(0, no.own.Backlog-pe.work)
}

// Done ends a job, and tells whether the endpoint was suspended or taken back.
func (ba *Balancer) Done(now time.Time, pl Assignment, re Result) (suspended, resumed bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	no := ba.node(pl.Endpoint.ID)
	no.settle(pl.JobID)
	no.own.Running--
	switch re {
	case Succeeded:
		no.failing -= failureSmoothing * no.failing
	case Failed, AnsweredWithError:
		no.failing += failureSmoothing * (1 - no.failing)
	}
	return no.note(now, re, ba.rng.Float64())
}

// RecordLoad takes in the requests that an endpoint says it has. It counts while
// the other entries tell nothing.
func (ba *Balancer) RecordLoad(now time.Time, id policy.EndpointID, requests int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	no := ba.node(id)
	no.reported, no.ownThen, no.reportedUntil = requests, no.own.Running, now.Add(reportLifetime)
}

// MeanBacklog gives the work that waits at the mean endpoint.
func (ba *Balancer) MeanBacklog(now time.Time, ens []policy.Endpoint) Work {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if len(ens) == 0 {
		return 0
	}
	sum := Work(0)
	for _, en := range ens {
		no := ba.node(en.ID)
		sum += no.own.Backlog
		if now.Before(ba.othersUntil) {
			sum += no.others.Backlog
		}
	}
	return sum / Work(len(ens))
}

// SetPeerLoads takes in what the other entries have at each endpoint. It counts
// for a few seconds.
func (ba *Balancer) SetPeerLoads(now time.Time, others map[policy.EndpointID]Load) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.othersUntil = now.Add(othersLifetime)
	for _, no := range ba.nodes {
		no.others = Load{}
	}
	for id, lo := range others {
		ba.node(id).others = lo
	}
}

// Loads gives what this entry has at each endpoint.
func (ba *Balancer) Loads() map[policy.EndpointID]Load {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	out := map[policy.EndpointID]Load{}
	for id, no := range ba.nodes {
		if no.own.Running > 0 {
			out[id] = no.own
		}
	}
	return out
}

// Running is the requests in flight at an endpoint.
type Running struct {
	// Own are this entry's, All those of every entry.
	Own, All int
}

// running gives the requests in flight at an endpoint.
func (ba *Balancer) running(now time.Time, id policy.EndpointID) Running {
	no := ba.node(id)
	ru := Running{Own: no.own.Running, All: no.own.Running}
	if now.Before(ba.othersUntil) {
		ru.All += no.others.Running
	}
	return ru
}

// Healthy tells whether an endpoint is not suspended.
func (ba *Balancer) Healthy(id policy.EndpointID) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.node(id).healthy()
}

// Prune forgets endpoints that are gone and have nothing in flight.
func (ba *Balancer) Prune(known func(id policy.EndpointID) bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for id, no := range ba.nodes {
		if no.own.Running <= 0 && !known(id) {
			delete(ba.nodes, id)
		}
	}
}

func (ba *Balancer) node(id policy.EndpointID) *node {
	no, ok := ba.nodes[id]
	if !ok {
		no = &node{speed: 1, pending: map[JobID]pending{}}
		ba.nodes[id] = no
	}
	return no
}
