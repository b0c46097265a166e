// Package placement chooses the endpoint for a request.
//
// A request goes where its prompt's prefix is likely to be cached: prefixes
// are spread over the endpoints by consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2016). When the endpoints that the
// prefix leads to are loaded, the less loaded of two chosen at random gets it
// (Mitzenmacher, 2001), so that daemons with the same old reports do not all
// choose alike.
package placement

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// pointsPerEndpoint spreads each endpoint over the ring.
	pointsPerEndpoint = 32
	// maxRingSteps is how many endpoints a prefix is tried on.
	maxRingSteps = 3
	// maxAffinityLoad is the load, in slots, up to which a prefix decides.
	maxAffinityLoad = 0.85
	// reportLifetime is how long a report of load counts.
	reportLifetime = 5 * time.Second
	// failuresToSuspend in a row suspend an endpoint.
	failuresToSuspend = 2
	firstSuspension   = 500 * time.Millisecond
	maxSuspension     = 8 * time.Second
	// maxRandomTries bounds the search for endpoints that may be used.
	maxRandomTries = 16
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

// Pool is the endpoints that serve one version or service. It is immutable.
type Pool struct {
	Endpoints []policy.Endpoint
	points    []point
}

type point struct {
	hash  uint64
	index int
}

// NewPool gives a pool of endpoints.
func NewPool(ens []policy.Endpoint) *Pool {
	po := &Pool{Endpoints: ens}
	for i, en := range ens {
		ha := xxhash.Sum64String(string(en.ID))
		for range pointsPerEndpoint {
			po.points = append(po.points, point{hash: ha, index: i})
			ha = mix(ha)
		}
	}
	slices.SortFunc(po.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return po
}

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(ha uint64) uint64 {
	ha += 0x9e3779b97f4a7c15
	ha = (ha ^ ha>>30) * 0xbf58476d1ce4e5b9
	ha = (ha ^ ha>>27) * 0x94d049bb133111eb
	return ha ^ ha>>31
}

// Tracker keeps what this entry knows of each endpoint.
//
// mu guards the endpoints' states. No other lock is taken while it is held.
type Tracker struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states map[policy.EndpointID]*State
}

// State is what is known of one endpoint.
type State struct {
	InFlight int
	// Reported is the requests in service that the endpoint told of.
	Reported float64
	// ReportedInFlight is this entry's part of them.
	ReportedInFlight int
	ReportExpiresAt  time.Time
	Failures         int
	SuspendedUntil   time.Time
	probing          bool
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
	st.probing = st.Failures >= failuresToSuspend
	return en, true
}

// byPrefix walks the ring from a prefix to an endpoint that is not loaded.
func (tr *Tracker) byPrefix(now time.Time, po *Pool, pr Prefix, may Usable) int {
	if pr == 0 || len(po.points) == 0 {
		return -1
	}
	first := sort.Search(len(po.points), func(i int) bool { return po.points[i].hash >= uint64(pr) })
	seen := make([]int, 0, maxRingSteps)
	for step := 0; step < len(po.points) && len(seen) < maxRingSteps; step++ {
		i := po.points[(first+step)%len(po.points)].index
		if slices.Contains(seen, i) {
			continue
		}
		seen = append(seen, i)
		if may(po.Endpoints[i]) && tr.load(now, po.Endpoints[i]) < maxAffinityLoad {
			return i
		}
	}
	return -1
}

// byLoad picks the less loaded of two endpoints chosen at random. A small or
// mostly unusable pool is searched in order when chance finds none.
func (tr *Tracker) byLoad(now time.Time, po *Pool, may Usable) int {
	best, found := -1, 0
	consider := func(i int) {
		if !may(po.Endpoints[i]) {
			return
		}
		found++
		if best < 0 || tr.load(now, po.Endpoints[i]) < tr.load(now, po.Endpoints[best]) {
			best = i
		}
	}
	if len(po.Endpoints) == 0 {
		return -1
	}
	for try := 0; try < maxRandomTries && found < 2; try++ {
		consider(tr.rng.IntN(len(po.Endpoints)))
	}
	if best >= 0 {
		return best
	}
	start := tr.rng.IntN(len(po.Endpoints))
	for i := range po.Endpoints {
		if consider((start + i) % len(po.Endpoints)); best >= 0 {
			return best
		}
	}
	return -1
}

// load estimates an endpoint's requests in service for each slot: what it
// reported, and what this entry has sent since.
func (tr *Tracker) load(now time.Time, en policy.Endpoint) float64 {
	st, ok := tr.states[en.ID]
	if !ok {
		return 0
	}
	inService := float64(st.InFlight)
	if now.Before(st.ReportExpiresAt) {
		inService = max(inService, st.Reported+float64(st.InFlight-st.ReportedInFlight))
	}
	return inService / float64(en.Slots)
}

// open tells whether an endpoint is not suspended, or may be probed.
func (tr *Tracker) open(now time.Time, id policy.EndpointID) bool {
	st, ok := tr.states[id]
	if !ok || st.Failures < failuresToSuspend {
		return true
	}
	return now.After(st.SuspendedUntil) && !st.probing
}

func (tr *Tracker) state(id policy.EndpointID) *State {
	st, ok := tr.states[id]
	if !ok {
		st = &State{}
		tr.states[id] = st
	}
	return st
}

// Report records the utilisation that an endpoint told of.
func (tr *Tracker) Report(now time.Time, en policy.Endpoint, utilisation float64) {
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
const (
	Neutral Result = iota
	Succeeded
	Failed
)

// Done ends a request in flight, and tells whether the endpoint was suspended
// or taken back by it.
func (tr *Tracker) Done(now time.Time, id policy.EndpointID, re Result) (suspended, resumed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st := tr.state(id)
	st.InFlight--
	st.probing = false
	switch re {
	case Succeeded:
		resumed = st.Failures >= failuresToSuspend
		st.Failures = 0
	case Failed:
		st.Failures++
		if st.Failures >= failuresToSuspend {
			wait := min(maxSuspension, firstSuspension<<min(st.Failures-failuresToSuspend, 8))
			wait = time.Duration(float64(wait) * (0.5 + tr.rng.Float64()))
			st.SuspendedUntil = now.Add(wait)
			suspended = st.Failures == failuresToSuspend
		}
	}
	return suspended, resumed
}

// Healthy tells whether an endpoint is not suspended.
func (tr *Tracker) Healthy(id policy.EndpointID) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	st, ok := tr.states[id]
	return !ok || st.Failures < failuresToSuspend
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

// Keep forgets endpoints that are gone and have nothing in flight.
func (tr *Tracker) Keep(known func(id policy.EndpointID) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, st := range tr.states {
		if st.InFlight == 0 && !known(id) {
			delete(tr.states, id)
		}
	}
}
