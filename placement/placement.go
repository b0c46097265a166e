// Package placement chooses the endpoint for a request. Tracker does so for an
// entry, Balancer for a router.
//
// Tracker sends a request where its prompt's prefix is likely to be cached.
// Prefixes are assigned to endpoints by consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2016); a prefix that more requests ask
// for gets more endpoints. When all endpoints of the prefix are loaded, the
// request goes to the least loaded of a few chosen at random (Mitzenmacher,
// 2001). Load is measured by the entries' requests in flight rather than by the
// endpoints' own reports, since entries that decide by the same old reports
// would all choose the same endpoint.
//
// Balancer estimates the time until each endpoint would answer and chooses the
// lowest.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// minCandidates is the number of endpoints tried for the rarest prefix.
	minCandidates = 2
	// extraCandidates is the number of endpoints tried beyond minCandidates, for
	// each endpoint's worth of requests with the prefix: a prefix that a quarter of
	// all requests ask for could keep a quarter of the endpoints busy on its own.
	// Trying several times as many finds one with a free slot.
	extraCandidates = 3.0
	// ringStepPenalty is added to an endpoint's load for each candidate before it
	// on the ring.
	ringStepPenalty = 0.1
	// maxAffinityLoad is the load, in requests per slot, from which an endpoint is
	// no longer chosen by prefix. It is above 1 since ownWeight counts
	// the entry's own requests several times.
	maxAffinityLoad = 1.2
	// ownWeight and peerWeight are the weights of this entry's requests in flight
	// and of those that the other entries reported. The own count is exact, and
	// also stands for the requests that entries in the same situation have sent
	// since their reports.
	ownWeight  = 4.0
	peerWeight = 0.75
	// randomChoices is how many endpoints chosen at random are compared by load.
	randomChoices = 8
	// peerReportLifetime is how long the reports of other entries and routers are
	// valid.
	peerReportLifetime = 4 * time.Second
	// endpointReportLifetime is how long an endpoint's report of its load is valid.
	endpointReportLifetime = 5 * time.Second
	// failuresToSuspend is how many failures in a row suspend an endpoint.
	failuresToSuspend = 2
	// firstSuspension is the mean length of the first suspension. It doubles with
	// each probe that fails, up to maxSuspension.
	firstSuspension = 500 * time.Millisecond
	maxSuspension   = 8 * time.Second
)

// Prefix is the hash of the start of a prompt.
type Prefix uint64

// HashPrefix returns the hash of the organisation, the version and the first
// bytes of the prompt, which requests that can share a cached prefix have in
// common.
func HashPrefix(organisation policy.OrganisationID, version policy.VersionID, prompt []byte) Prefix {
	const prefixBytes = 256
	di := xxhash.New()
	_, _ = di.WriteString(string(organisation) + "\x00" + string(version) + "\x00")
	_, _ = di.Write(prompt[:min(len(prompt), prefixBytes)])
	return Prefix(di.Sum64())
}

// Tracker keeps the state of each endpoint as this entry knows it, and chooses
// endpoints by it.
//
// mu guards the fields below it. No other lock is taken while it is held.
type Tracker struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states map[policy.EndpointID]*State
	// peersUntil is when the other entries' reports expire.
	peersUntil time.Time
	popularity popularity
}

// State is what is known of one endpoint. State dumps encode it under its field
// names.
type State struct {
	// InFlight is the number of this entry's requests in flight.
	InFlight int
	// Others is the number of the other entries' requests in flight.
	Others int
	// Reported is the number of running requests that the endpoint reported.
	Reported float64
	// ReportedInFlight is InFlight at the time of that report.
	ReportedInFlight int
	ReportExpiresAt  time.Time
	suspension
}

// NewTracker returns an empty tracker. seed seeds its random choices.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{rng: rand.New(rand.NewPCG(seed, mix(seed))), states: map[policy.EndpointID]*State{}}
}

// Usable reports whether an endpoint may get new work. The tracker's own
// suspensions apply in addition.
type Usable func(en policy.Endpoint) bool

// Choose chooses an endpoint and counts the request as in flight there. It
// reports false when none may be used; otherwise the caller must call Done.
// tried lists the endpoints that already failed this request. A zero prefix
// means that the request has none.
func (tr *Tracker) Choose(now time.Time, po *Pool, pr Prefix, tried []policy.EndpointID, usable Usable) (policy.Endpoint, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	allowed := func(en policy.Endpoint) bool {
		return !slices.Contains(tried, en.ID) && usable(en) && tr.available(now, en.ID)
	}
	i := tr.chooseByPrefix(now, po, pr, allowed)
	if i < 0 {
		i = tr.chooseByLoad(now, po, allowed)
	}
	if i < 0 {
		return policy.Endpoint{}, false
	}
	en := po.Endpoints[i]
	st := tr.state(en.ID)
	st.InFlight++
	st.recordSend()
	return en, true
}

// chooseByPrefix returns the index of the least loaded of the first endpoints on
// the ring after a prefix, or -1 when none of these is both allowed and loaded
// below maxAffinityLoad. Earlier ones are preferred, and a popular prefix has more
// candidates.
func (tr *Tracker) chooseByPrefix(now time.Time, po *Pool, pr Prefix, allowed Usable) int {
	if pr == 0 || len(po.points) == 0 {
		return -1
	}
	limit := minCandidates + int(extraCandidates*tr.popularity.record(pr)*float64(len(po.Endpoints)))
	first := sort.Search(len(po.points), func(i int) bool { return po.points[i].hash >= uint64(pr) })
	seen := make([]int, 0, minCandidates)
	best, bestScore := -1, math.Inf(1)
	for step := 0; step < len(po.points) && len(seen) < limit; step++ {
		i := po.points[(first+step)%len(po.points)].index
		if slices.Contains(seen, i) {
			continue
		}
		score := float64(len(seen)) * ringStepPenalty
		seen = append(seen, i)
		if !allowed(po.Endpoints[i]) {
			continue
		}
		lo := tr.load(now, po.Endpoints[i])
		if lo < maxAffinityLoad && lo+score < bestScore {
			best, bestScore = i, lo+score
		}
	}
	return best
}

// chooseByLoad returns the index of the least loaded of some endpoints chosen at
// random, or -1 when none is allowed. When the random choices find none, it goes
// through the rest of the pool in order.
func (tr *Tracker) chooseByLoad(now time.Time, po *Pool, allowed Usable) int {
	n := len(po.Endpoints)
	if n == 0 {
		return -1
	}
	best, bestLoad := -1, 0.0
	start := tr.rng.IntN(n)
	for try := 0; try < n && (try < randomChoices || best < 0); try++ {
		i := (start + try) % n
		if n > randomChoices && try < randomChoices {
			i = tr.rng.IntN(n)
		}
		en := po.Endpoints[i]
		if !allowed(en) {
			continue
		}
		if lo := tr.load(now, en); best < 0 || lo < bestLoad {
			best, bestLoad = i, lo
		}
	}
	return best
}

// load estimates an endpoint's running requests per slot. It uses the entries'
// requests in flight or, without valid reports of the other entries, the
// endpoint's own report and the change of this entry's requests in flight since.
func (tr *Tracker) load(now time.Time, en policy.Endpoint) float64 {
	st, ok := tr.states[en.ID]
	if !ok {
		return 0
	}
	inService := float64(st.InFlight)
	switch {
	case now.Before(tr.peersUntil):
		inService = ownWeight*float64(st.InFlight) + peerWeight*float64(st.Others)
	case now.Before(st.ReportExpiresAt):
		inService = max(inService, st.Reported+float64(st.InFlight-st.ReportedInFlight))
	}
	return inService / float64(en.Slots)
}

// InFlight returns the number of this entry's requests in flight at each
// endpoint that has any.
func (tr *Tracker) InFlight() map[policy.EndpointID]int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := map[policy.EndpointID]int{}
	for id, st := range tr.states {
		if st.InFlight > 0 {
			out[id] = st.InFlight
		}
	}
	return out
}

// SetPeerInFlight replaces the numbers of the other entries' requests in flight
// at each endpoint. They expire after peerReportLifetime.
func (tr *Tracker) SetPeerInFlight(now time.Time, peers map[policy.EndpointID]int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.peersUntil = now.Add(peerReportLifetime)
	for _, st := range tr.states {
		st.Others = 0
	}
	for id, n := range peers {
		tr.state(id).Others = n
	}
}

// available reports whether an endpoint is not suspended, or may be probed.
func (tr *Tracker) available(now time.Time, id policy.EndpointID) bool {
	st, ok := tr.states[id]
	return !ok || st.allows(now)
}

// state returns the state of an endpoint, which it creates when there is none.
func (tr *Tracker) state(id policy.EndpointID) *State {
	st, ok := tr.states[id]
	if !ok {
		st = &State{}
		tr.states[id] = st
	}
	return st
}

// RecordUtilisation records the utilisation that an endpoint reported, as a
// share of its slots.
func (tr *Tracker) RecordUtilisation(now time.Time, en policy.Endpoint, utilisation float64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st := tr.state(en.ID)
	st.Reported = utilisation * float64(en.Slots)
	st.ReportedInFlight = st.InFlight
	st.ReportExpiresAt = now.Add(endpointReportLifetime)
}

// Result is what the end of an attempt says about its endpoint.
type Result int

// Results of attempts. Neutral says nothing about the endpoint, as when the
// caller made a mistake. AnsweredWithError is an error response, which some
// requests cause on any endpoint: it raises the failure rate in Balancer, but
// for suspensions it counts as a success. Silent is no answer in time: sound endpoints
// pause, so that Balancer counts it for suspensions only once the endpoint has answered
// nothing for longer than a pause. Flooded is an answer that did not end before it took memory
// that others need: it suspends the endpoint at once, until an answer is whole.
const (
	Neutral Result = iota
	Succeeded
	Failed
	AnsweredWithError
	Silent
	Flooded
)

// Done ends a request in flight with its result, and reports whether that
// suspended the endpoint or ended its suspension.
func (tr *Tracker) Done(now time.Time, id policy.EndpointID, re Result) (suspended, resumed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st := tr.state(id)
	st.InFlight--
	// While a probe is under way, another request's result may be taken for the probe's.
	return st.recordResult(now, re, st.probing, tr.rng.Float64())
}

// Healthy reports whether an endpoint is not suspended.
func (tr *Tracker) Healthy(id policy.EndpointID) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, ok := tr.states[id]
	return !ok || st.healthy()
}

// States returns a copy of the endpoints' states, for state dumps.
func (tr *Tracker) States() map[policy.EndpointID]State {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := make(map[policy.EndpointID]State, len(tr.states))
	for id, st := range tr.states {
		out[id] = *st
	}
	return out
}

// Prune removes the state of endpoints that are not known any more and have no
// requests in flight.
func (tr *Tracker) Prune(known func(id policy.EndpointID) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, st := range tr.states {
		if st.InFlight == 0 && !known(id) {
			delete(tr.states, id)
		}
	}
}
