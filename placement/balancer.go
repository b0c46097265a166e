package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

const (
	// streamDelay is how much each running stream delays the answer to a new prompt.
	streamDelay = Work(0.006)
	// overflowDelay is the least wait for each request beyond an endpoint's slots.
	overflowDelay = Work(0.3)
	// failurePenalty is added to the score of an endpoint that always fails, in
	// seconds.
	failurePenalty = 1.5
	// crossDomainPenalty is added to the score of an endpoint in another failure
	// domain, in seconds, since traffic between failure domains is paid for.
	crossDomainPenalty = 0.3
	// failureSmoothing and slowdownSmoothing are the weights of a new outcome in
	// the moving averages of an endpoint's failure rate and slowdown.
	failureSmoothing  = 0.2
	slowdownSmoothing = 0.25
	// maxSlowdown and minSlowdown bound a measurement of an endpoint's slowdown.
	maxSlowdown = 32.0
	minSlowdown = 0.5
	// overdueFactor times its estimate is the time after which an answer that has
	// not begun is overdue.
	overdueFactor = 3.0
	// longestPause is how long an endpoint may answer nothing before its silence counts as
	// a failure. Sound ones pause for a second or so.
	longestPause = 1500 * time.Millisecond
	// jitter is the largest random increase of a score, as a part of the score. It
	// spreads the choice over endpoints that are nearly equal.
	jitter = 0.1
)

// Work is an amount of work, in seconds on an idle endpoint.
type Work float64

// Job is the work of a request on an endpoint.
type Job struct {
	// Prefix is the hash of the prompt's shared prefix, 0 when there is none.
	Prefix Prefix
	// Work is the work until the answer begins, and CacheSaving the part of it
	// that a cached prefix saves.
	Work        Work
	CacheSaving Work
}

// Load is the load that one router, or several together, have placed on an
// endpoint.
type Load struct {
	// Running is the number of requests in flight.
	Running int
	// Backlog is the work of those requests whose answer has not begun.
	Backlog Work
}

// endpointState is what the balancer knows of one endpoint.
type endpointState struct {
	suspension
	// own is the load from this router, peers the sum of the loads that the other
	// routers reported.
	own   Load
	peers Load
	// reported is the number of requests that the endpoint last reported, and
	// ownAtReport this router's requests in flight there at that time.
	reported        int
	ownAtReport     int
	reportExpiresAt time.Time
	// probe is the job that probes the suspended endpoint, 0 if there is none.
	probe JobID
	// pending holds this router's jobs whose answer has not begun.
	pending map[JobID]pendingJob
	// slowdown is the moving average of the measured time until an answer begins
	// relative to the estimate.
	slowdown float64
	// failureRate is the moving average of the share of failures, from 0 to 1.
	failureRate float64
	// unheardSince is when the first job was sent since the endpoint last answered one, zero
	// if there was none.
	unheardSince time.Time
}

// judgeSilence returns what it means that a job was not answered in time.
func (es *endpointState) judgeSilence(now time.Time) Result {
	if now.Sub(es.unheardSince) < longestPause {
		return Neutral
	}
	return Failed
}

// JobID identifies a placed job within its balancer.
type JobID uint64

// pendingJob is a job whose answer has not begun.
type pendingJob struct {
	work Work
	// dueAt is when the answer should have begun.
	dueAt time.Time
}

// maxOverdue returns by how many seconds the most overdue answer of an endpoint
// is late to begin. This shows that an endpoint is stuck long before a late or
// failed answer does.
func (es *endpointState) maxOverdue(now time.Time) float64 {
	late := 0.0
	for _, pj := range es.pending {
		late = max(late, now.Sub(pj.dueAt).Seconds())
	}
	return late
}

// Assignment is a job together with the endpoint chosen for it.
type Assignment struct {
	Endpoint policy.Endpoint
	JobID    JobID
	Job      Job
	// Estimate is the work that the endpoint does before the job's answer
	// begins, including the job's own.
	Estimate Work
}

// Balancer chooses the endpoint with the lowest estimated time until its answer
// begins. The estimate combines, in seconds, the queued work, the requests
// batched with it, the cached prefix, and the endpoint's measured slowdown and
// failure rate. It is made for two cases: many long prompts with a shared
// prefix, which must not all queue at the endpoint that has it cached, and
// endpoints that are slow or fail although they look idle.
//
// mu guards all fields. No other lock is taken while it is held.
type Balancer struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states map[policy.EndpointID]*endpointState
	// sentAt is when each prefix was last sent to each endpoint.
	sentAt map[endpointPrefix]time.Time
	// domain is the failure domain of the router.
	domain policy.FailureDomain
	// peersUntil is when the other routers' reports expire.
	peersUntil time.Time
	lastJob    JobID
}

// NewBalancer returns a balancer without any load, for a router in the given
// failure domain. seed seeds its random choices.
func NewBalancer(seed uint64, domain policy.FailureDomain) *Balancer {
	return &Balancer{
		domain: domain,
		rng:    rand.New(rand.NewPCG(seed, mix(seed))),
		states: map[policy.EndpointID]*endpointState{}, sentAt: map[endpointPrefix]time.Time{},
	}
}

// Choose chooses one of the endpoints ens for a job and counts the job there.
// It reports false when none may be used. Otherwise the caller must call
// AnswerStarted when the answer begins, and Done when the job ends. tried lists
// the endpoints that already failed this request; usable reports whether the
// caller allows an endpoint in the given condition.
func (ba *Balancer) Choose(now time.Time, ens []policy.Endpoint, jo Job, tried []policy.EndpointID, usable func(en policy.Endpoint, cn Condition) bool) (Assignment, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	unusable := func(en policy.Endpoint) bool {
		return slices.Contains(tried, en.ID) || !usable(en, ba.condition(now, en.ID))
	}
	ens, home := ba.compared(ens, jo, unusable)
	if len(ens) == 0 {
		return Assignment{}, false
	}
	shares := ba.cachedShares(now, ens, home, jo)
	best, bestScore := 0, 0.0
	for i, en := range ens {
		score := ba.score(now, en, jo, shares[i]) * (1 + jitter*ba.rng.Float64())
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	en := ens[best]
	es := ba.state(en.ID)
	estimate := ba.estimateWait(now, en, jo, shares[best])
	es.own.Running++
	es.own.Backlog += jo.Work
	probe := es.recordSend()
	if es.unheardSince.IsZero() {
		es.unheardSince = now
	}
	ba.lastJob++
	if probe {
		es.probe = ba.lastJob
	}
	dueAt := now.Add(quantity.Seconds(overdueFactor * float64(estimate)))
	es.pending[ba.lastJob] = pendingJob{work: jo.Work, dueAt: dueAt}
	ba.recordSent(now, jo.Prefix, en.ID)
	return Assignment{Endpoint: en, JobID: ba.lastJob, Job: jo, Estimate: estimate}, true
}

// score estimates the seconds until an endpoint would begin to answer, adjusted
// for its slowdown, failures, overdue answers and failure domain. Lower is
// better.
func (ba *Balancer) score(now time.Time, en policy.Endpoint, jo Job, cachedShare float64) float64 {
	es := ba.state(en.ID)
	score := es.slowdown*float64(ba.estimateWait(now, en, jo, cachedShare)) + es.failureRate*failurePenalty + es.maxOverdue(now)
	if policy.FailureDomain(en.FailureDomain) != ba.domain {
		score += crossDomainPenalty
	}
	return score
}

// estimateWait estimates the work that an endpoint does before a job's answer
// begins. cachedShare is the part of the job's prefix expected in its cache.
func (ba *Balancer) estimateWait(now time.Time, en policy.Endpoint, jo Job, cachedShare float64) Work {
	es := ba.state(en.ID)
	load := es.own
	if now.Before(ba.peersUntil) {
		load.Running += es.peers.Running
		load.Backlog += es.peers.Backlog
	} else if now.Before(es.reportExpiresAt) {
		load.Running = max(load.Running, es.reported+es.own.Running-es.ownAtReport)
	}
	wait := load.Backlog + Work(load.Running)*streamDelay
	if over := load.Running + 1 - int(en.Slots); over > 0 {
		wait += Work(over) * max(overflowDelay, jo.Work)
	}
	return wait + jo.Work - Work(cachedShare)*jo.CacheSaving
}

// AnswerStarted records that an endpoint began to answer a job, and how long
// after the job was sent. It reports whether that ended the endpoint's suspension: the
// answer itself may be a stream of many seconds.
func (ba *Balancer) AnswerStarted(as Assignment, took time.Duration) (resumed bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	es := ba.state(as.Endpoint.ID)
	es.removePending(as.JobID)
	es.unheardSince = time.Time{}
	if as.Estimate > 0 {
		factor := min(maxSlowdown, max(minSlowdown, took.Seconds()/float64(as.Estimate)))
		es.slowdown += slowdownSmoothing * (factor - es.slowdown)
	}
	if !es.flooded && es.endProbe(as.JobID) {
		resumed = es.answered()
	}
	return resumed
}

// endProbe reports whether a job is the probe of the endpoint's suspension, and makes it an
// ordinary job: it decides only on the suspension in which it was sent.
func (es *endpointState) endProbe(id JobID) bool {
	if es.probe != id {
		return false
	}
	es.probe = 0
	return true
}

// removePending removes a job from the backlog. It does nothing when the job was
// removed before.
func (es *endpointState) removePending(id JobID) {
	pj, ok := es.pending[id]
	if !ok {
		return
	}
	delete(es.pending, id)
	es.own.Backlog = max(0, es.own.Backlog-pj.work)
}

// Done ends a job with its result, and reports whether that suspended the
// endpoint or ended its suspension.
func (ba *Balancer) Done(now time.Time, as Assignment, re Result) (suspended, resumed bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	es := ba.state(as.Endpoint.ID)
	es.removePending(as.JobID)
	es.own.Running--
	switch re {
	case Succeeded:
		es.failureRate -= failureSmoothing * es.failureRate
	case Failed, AnsweredWithError, Silent, Flooded:
		es.failureRate += failureSmoothing * (1 - es.failureRate)
	}
	switch re {
	case Succeeded, AnsweredWithError:
		es.unheardSince = time.Time{}
	case Silent:
		re = es.judgeSilence(now)
	}
	return es.recordResult(now, re, es.endProbe(as.JobID), ba.rng.Float64())
}

// RecordLoad records the number of requests that an endpoint reported. It is
// used only while there are no valid reports of the other routers.
func (ba *Balancer) RecordLoad(now time.Time, id policy.EndpointID, requests int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	es := ba.state(id)
	es.reported, es.ownAtReport, es.reportExpiresAt = requests, es.own.Running, now.Add(endpointReportLifetime)
}

// MeanBacklog returns the mean backlog of the endpoints.
func (ba *Balancer) MeanBacklog(now time.Time, ens []policy.Endpoint) Work {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if len(ens) == 0 {
		return 0
	}
	sum := Work(0)
	for _, en := range ens {
		es := ba.state(en.ID)
		sum += es.own.Backlog
		if now.Before(ba.peersUntil) {
			sum += es.peers.Backlog
		}
	}
	return sum / Work(len(ens))
}

// KnowsPeers reports whether there are valid reports of the other routers.
func (ba *Balancer) KnowsPeers(now time.Time) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return now.Before(ba.peersUntil)
}

// SetPeerLoads replaces the sums of the loads that the other routers have placed
// on each endpoint. They expire after peerReportLifetime.
func (ba *Balancer) SetPeerLoads(now time.Time, peers map[policy.EndpointID]Load) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.peersUntil = now.Add(peerReportLifetime)
	for _, es := range ba.states {
		es.peers = Load{}
	}
	for id, lo := range peers {
		ba.state(id).peers = lo
	}
}

// Loads returns this router's load on each endpoint where it has requests in
// flight.
func (ba *Balancer) Loads() map[policy.EndpointID]Load {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	out := map[policy.EndpointID]Load{}
	for id, es := range ba.states {
		if es.own.Running > 0 {
			out[id] = es.own
		}
	}
	return out
}

// PeerLoads returns the load of the other routers on each endpoint, as far as there are valid
// reports.
func (ba *Balancer) PeerLoads(now time.Time) map[policy.EndpointID]Load {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	out := map[policy.EndpointID]Load{}
	for id, es := range ba.states {
		if now.Before(ba.peersUntil) && es.peers.Running > 0 {
			out[id] = es.peers
		}
	}
	return out
}

// Condition is what is known of an endpoint before a choice.
type Condition struct {
	// Own counts this router's requests in flight, All those of every router. While there
	// are no valid reports of the other routers, All is equal to Own.
	Own, All int
	// Suspended reports whether the endpoint gets no request after failures, and
	// SuspendedUntil until when at least.
	Suspended      bool
	SuspendedUntil time.Time
}

// Condition returns the condition of an endpoint.
func (ba *Balancer) Condition(now time.Time, id policy.EndpointID) Condition {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.condition(now, id)
}

func (ba *Balancer) condition(now time.Time, id policy.EndpointID) Condition {
	es := ba.state(id)
	cn := Condition{Own: es.own.Running, All: es.own.Running, Suspended: !es.allows(now), SuspendedUntil: es.SuspendedUntil}
	if now.Before(ba.peersUntil) {
		cn.All += es.peers.Running
	}
	return cn
}

// Prune removes the state of endpoints that are not known any more and have no
// requests in flight.
func (ba *Balancer) Prune(known func(id policy.EndpointID) bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for id, es := range ba.states {
		if es.own.Running <= 0 && !known(id) {
			delete(ba.states, id)
		}
	}
}

// state returns the state of an endpoint, which it creates when there is none.
func (ba *Balancer) state(id policy.EndpointID) *endpointState {
	es, ok := ba.states[id]
	if !ok {
		es = &endpointState{slowdown: 1, pending: map[JobID]pendingJob{}}
		ba.states[id] = es
	}
	return es
}
