// Package placement chooses the endpoint for a request.
//
// A request goes where its prompt's prefix is likely to be cached: prefixes
// are spread over the endpoints by consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2016), the more of them the more requests
// ask for it. When the endpoints that the
// prefix leads to are loaded, the least loaded of a few chosen at random gets
// it (Mitzenmacher, 2001). Load is what the entries have in flight: daemons that
// go by the same old reports would all choose alike.
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
	// minHomes is how many endpoints the rarest prefix is tried on.
	minHomes = 2
	// spareHomes is how many further endpoints a prefix is tried on for each that
	// its requests alone would keep busy, so that it finds one with a free slot.
	spareHomes = 3.0
	// stepPenalty is the load that makes up for one step along the ring.
	stepPenalty = 0.1
	// maxAffinityLoad is the load, in slots, up to which a prefix decides. It is
	// above 1 since ownWeight counts the entry's own requests several times.
	maxAffinityLoad = 1.2
	// ownWeight and othersWeight weigh this entry's requests in flight against
	// what others reported of theirs. Its own count is exact, and stands as well for
	// what entries in the same position have sent since their reports.
	ownWeight    = 4.0
	othersWeight = 0.75
	// randomChoices is how many endpoints are compared by load.
	randomChoices = 8
	// othersLifetime is how long the other entries' reports are valid.
	othersLifetime = 4 * time.Second
	// reportLifetime is how long a report of load counts.
	reportLifetime = 5 * time.Second
	// failuresToSuspend in a row suspend an endpoint.
	failuresToSuspend = 2
	firstSuspension   = 500 * time.Millisecond
	maxSuspension     = 8 * time.Second
)

// Prefix is the hash of the start of a prompt.
type Prefix uint64

// HashPrefix hashes what requests with a common cached prefix share.
func HashPrefix(organisation policy.OrganisationID, version policy.VersionID, prompt []byte) Prefix {
	const prefixBytes = 256
	di := xxhash.New()
	_, _ = di.WriteString(string(organisation) + "\x00" + string(version) + "\x00")
	_, _ = di.Write(prompt[:min(len(prompt), prefixBytes)])
	return Prefix(di.Sum64())
}

// Tracker keeps what this entry knows of each endpoint.
//
// mu guards the fields below it. No other lock is taken while it is held.
type Tracker struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states map[policy.EndpointID]*State
	// othersUntil is until when the other entries' reports are valid.
	othersUntil time.Time
	popularity  popularity
}

// State is what is known of one endpoint.
type State struct {
	InFlight int
	// Others is the other entries' requests in flight.
	Others int
	// Reported is the requests in service that the endpoint reported.
	Reported float64
	// ReportedInFlight is this entry's part of them.
	ReportedInFlight int
	ReportExpiresAt  time.Time
	suspension
}

// NewTracker gives an empty tracker; seed drives its random choices.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{rng: rand.New(rand.NewPCG(seed, mix(seed))), states: map[policy.EndpointID]*State{}}
}

// Usable says of an endpoint whether it may get new work; the tracker's own
// suspensions come on top.
type Usable func(en policy.Endpoint) bool

// Choose picks an endpoint and counts the request as in flight there; Done
// must follow. tried are endpoints that failed this request. False when none
// may be used.
func (tr *Tracker) Choose(now time.Time, po *Pool, pr Prefix, tried []policy.EndpointID, usable Usable) (policy.Endpoint, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	may := func(en policy.Endpoint) bool {
		return !slices.Contains(tried, en.ID) && usable(en) && tr.open(now, en.ID)
	}
	i := tr.byPrefix(now, po, pr, may)
	if i < 0 {
		i = tr.byLoad(now, po, may)
	}
	if i < 0 {
		return policy.Endpoint{}, false
	}
	en := po.Endpoints[i]
	st := tr.state(en.ID)
	st.InFlight++
	st.probe()
	return en, true
}

// byPrefix walks the ring from a prefix to the least loaded of the first few
// endpoints, of which the earlier ones are preferred; -1 when all are loaded. A
// prefix that many ask for is tried on more of them.
func (tr *Tracker) byPrefix(now time.Time, po *Pool, pr Prefix, may Usable) int {
	if pr == 0 || len(po.points) == 0 {
		return -1
	}
	limit := minHomes + int(spareHomes*tr.popularity.note(pr)*float64(len(po.Endpoints)))
	first := sort.Search(len(po.points), func(i int) bool { return po.points[i].hash >= uint64(pr) })
	seen := make([]int, 0, minHomes)
	best, bestScore := -1, math.Inf(1)
	for step := 0; step < len(po.points) && len(seen) < limit; step++ {
		i := po.points[(first+step)%len(po.points)].index
		if slices.Contains(seen, i) {
			continue
		}
		score := float64(len(seen)) * stepPenalty
		seen = append(seen, i)
		if !may(po.Endpoints[i]) {
			continue
		}
		lo := tr.load(now, po.Endpoints[i])
		if lo < maxAffinityLoad && lo+score < bestScore {
			best, bestScore = i, lo+score
		}
	}
	return best
}

// byLoad picks the least loaded of some endpoints chosen at random. A mostly
// unusable pool is searched in order when chance finds none.
func (tr *Tracker) byLoad(now time.Time, po *Pool, may Usable) int {
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
		if !may(en) {
			continue
		}
		if lo := tr.load(now, en); best < 0 || lo < bestLoad {
			best, bestLoad = i, lo
		}
	}
	return best
}

// load estimates an endpoint's requests in service for each slot. Best known
// is what the entries have in flight there; without their reports it is what the
// endpoint reported, and what this entry has sent since.
func (tr *Tracker) load(now time.Time, en policy.Endpoint) float64 {
	st, ok := tr.states[en.ID]
	if !ok {
		return 0
	}
	inService := float64(st.InFlight)
	switch {
	case now.Before(tr.othersUntil):
		inService = ownWeight*float64(st.InFlight) + othersWeight*float64(st.Others)
	case now.Before(st.ReportExpiresAt):
		inService = max(inService, st.Reported+float64(st.InFlight-st.ReportedInFlight))
	}
	return inService / float64(en.Slots)
}

// InFlight gives what this entry has in flight at each endpoint.
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

// SetPeerInFlight takes in what the other entries have in flight at each endpoint.
// It counts for a few seconds.
func (tr *Tracker) SetPeerInFlight(now time.Time, others map[policy.EndpointID]int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.othersUntil = now.Add(othersLifetime)
	for _, st := range tr.states {
		st.Others = 0
	}
	for id, n := range others {
		tr.state(id).Others = n
	}
}

// open tells whether an endpoint is not suspended, or may be probed.
func (tr *Tracker) open(now time.Time, id policy.EndpointID) bool {
	st, ok := tr.states[id]
	return !ok || st.open(now)
}

func (tr *Tracker) state(id policy.EndpointID) *State {
	st, ok := tr.states[id]
	if !ok {
		st = &State{}
		tr.states[id] = st
	}
	return st
}

// RecordUtilisation records the utilisation that an endpoint reported.
func (tr *Tracker) RecordUtilisation(now time.Time, en policy.Endpoint, utilisation float64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st := tr.state(en.ID)
	st.Reported = utilisation * float64(en.Slots)
	st.ReportedInFlight = st.InFlight
	st.ReportExpiresAt = now.Add(reportLifetime)
}

// Result is how an attempt ended for its endpoint.
type Result int

// The results. Neutral ones, such as a caller's mistake, say nothing of it.
// AnsweredWithError is an error that the endpoint answered with, which some requests bring
// about wherever they run: it counts against the endpoint, but does not suspend it.
const (
	Neutral Result = iota
	Succeeded
	Failed
	AnsweredWithError
)

// Done ends a request in flight, and tells whether the endpoint was suspended
// or taken back by it.
func (tr *Tracker) Done(now time.Time, id policy.EndpointID, re Result) (suspended, resumed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st := tr.state(id)
	st.InFlight--
	return st.note(now, re, tr.rng.Float64())
}

// Healthy tells whether an endpoint is not suspended.
func (tr *Tracker) Healthy(id policy.EndpointID) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, ok := tr.states[id]
	return !ok || st.healthy()
}

// States gives a copy of all states, for dumps.
func (tr *Tracker) States() map[policy.EndpointID]State {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := make(map[policy.EndpointID]State, len(tr.states))
	for id, st := range tr.states {
		out[id] = *st
	}
	return out
}

// Prune forgets endpoints that are gone and have nothing in flight.
func (tr *Tracker) Prune(known func(id policy.EndpointID) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, st := range tr.states {
		if st.InFlight == 0 && !known(id) {
			delete(tr.states, id)
		}
	}
}
