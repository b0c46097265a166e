package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// reportLag is the age of the load that a replica reports, counted from the last
	// change of the load.
	reportLag = 2 * time.Second
	// prefixCount is the number of different prompt prefixes, cachedPrefixes the
	// size of a replica's prefix cache.
	prefixCount    = 60
	cachedPrefixes = 16
	// placementLoad is the mean demand as a share of the capacity.
	placementLoad   = 0.7
	placementLength = 120 * time.Second
	// placementTokens is the mean length of an answer.
	placementTokens = 100
	// inFlightInterval is the time between the entries' reports of their requests in
	// flight. A report arrives an interval after it was made.
	inFlightInterval = 400 * time.Millisecond
)

// simulatedEngine is a replica with slots, a prefix cache and a load report that
// lags by reportLag.
type simulatedEngine struct {
	running     int
	waiting     []func()
	cache       []int
	loadSamples []loadSample
}

// loadSample is the number of requests running or waiting from a time on.
type loadSample struct {
	at   time.Time
	load int
}

// recordLoad adds a sample of the load and drops those that reportedLoad does not
// need.
func (en *simulatedEngine) recordLoad(now time.Time) {
	en.loadSamples = append(en.loadSamples, loadSample{now, en.running + len(en.waiting)})
	for len(en.loadSamples) > 1 && now.Sub(en.loadSamples[1].at) > reportLag {
		en.loadSamples = en.loadSamples[1:]
	}
}

// lookupPrefix reports whether a prefix is in the cache. It adds a missing one, and
// makes it the most recently used in either case.
func (en *simulatedEngine) lookupPrefix(prefix int) bool {
	i := slices.Index(en.cache, prefix)
	if i >= 0 {
		en.cache = append(slices.Delete(en.cache, i, i+1), prefix)
		return true
	}
	en.cache = append(en.cache, prefix)
	if len(en.cache) > cachedPrefixes {
		en.cache = en.cache[1:]
	}
	return false
}

// placementRun is a simulation of one way to choose replicas.
type placementRun struct {
	*eventLoop
	rng     *rand.Rand
	engines []*simulatedEngine
	slots   int
	// firstTokens are the times to the first token, in seconds.
	firstTokens []float64
	// hits are the prefix cache hits among the started requests.
	hits    int
	started int
}

// replicaChooser picks a replica for a request with a prefix at entry n; onEnd is
// called when the answer has ended.
type replicaChooser func(n, prefix int) (replica int, onEnd func())

// runPlacement simulates placementLength with eight entries and ten replicas.
func runPlacement(seed uint64, newChooser func(pr *placementRun) replicaChooser) *placementRun {
	pr := &placementRun{eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 4)), slots: 8}
	for range 10 {
		pr.engines = append(pr.engines, &simulatedEngine{})
	}
	choose := newChooser(pr)
	rate := placementLoad * float64(len(pr.engines)*pr.slots) / serviceTime(placementTokens).Seconds()
	var scheduleNext func()
	scheduleNext = func() {
		pr.after(time.Duration(pr.rng.ExpFloat64()/rate*float64(time.Second)), func() {
			// A few prefixes are requested more often than the rest.
			prefix := int(float64(prefixCount) * math.Pow(pr.rng.Float64(), 2))
			replica, onEnd := choose(pr.rng.IntN(8), prefix)
			pr.send(replica, prefix, onEnd)
			scheduleNext()
		})
	}
	scheduleNext()
	pr.run(placementLength)
	return pr
}

// send sends a request to a replica, where it starts in a free slot or waits.
func (pr *placementRun) send(replica, prefix int, onEnd func()) {
	en, arrived := pr.engines[replica], pr.now
	tokens := math.Min(4*placementTokens, pr.rng.ExpFloat64()*placementTokens)
	start := func() {
		first := prefill
		pr.started++
		if en.lookupPrefix(prefix) {
			pr.hits++
			first /= 2
		}
		pr.firstTokens = append(pr.firstTokens, pr.now.Sub(arrived).Seconds()+first.Seconds())
		en.running++
		en.recordLoad(pr.now)
		pr.after(first+time.Duration(tokens*float64(perToken)), func() {
			en.running--
			if len(en.waiting) > 0 {
				next := en.waiting[0]
				en.waiting = en.waiting[1:]
				next()
			}
			en.recordLoad(pr.now)
			onEnd()
		})
	}
	if en.running < pr.slots {
		start()
		return
	}
	en.waiting = append(en.waiting, start)
	en.recordLoad(pr.now)
}

// noop is the onEnd of choosers that keep no state.
func noop() {}

func roundRobin(pr *placementRun) replicaChooser {
	next := 0
	return func(int, int) (int, func()) {
		next++
		return next % len(pr.engines), noop
	}
}

// leastLoadedFresh chooses by the true current load.
func leastLoadedFresh(pr *placementRun) replicaChooser {
	return func(int, int) (int, func()) {
		best := 0
		for i, en := range pr.engines {
			if en.running+len(en.waiting) < pr.engines[best].running+len(pr.engines[best].waiting) {
				best = i
			}
		}
		return best, noop
	}
}

// twoChoicesStale chooses the less loaded of two random replicas by their reports.
func twoChoicesStale(pr *placementRun) replicaChooser {
	return func(int, int) (int, func()) {
		a, b := pr.rng.IntN(len(pr.engines)), pr.rng.IntN(len(pr.engines))
		if pr.engines[b].reportedLoad() < pr.engines[a].reportedLoad() {
			a = b
		}
		return a, noop
	}
}

// gradedHealth chooses at random, weighted by the health that LitmusPaper's nodes
// would report: 100 minus their load in percent, at least 1.
func gradedHealth(pr *placementRun) replicaChooser {
	return func(int, int) (int, func()) {
		total := 0
		for _, en := range pr.engines {
			total += en.health(pr.slots)
		}
		at := pr.rng.IntN(total)
		for i, en := range pr.engines {
			if at -= en.health(pr.slots); at < 0 {
				return i, noop
			}
		}
		return 0, noop
	}
}

func (en *simulatedEngine) health(slots int) int {
	return max(1, 100-100*en.reportedLoad()/slots)
}

// reportedLoad returns the number of requests running or waiting as it was reportLag
// before the last change of the load. Time that passes without a change does not
// update it.
func (en *simulatedEngine) reportedLoad() int {
	if len(en.loadSamples) == 0 {
		return 0
	}
	return en.loadSamples[0].load
}

// perfectAffinity sends all requests with a prefix to the same replica.
func perfectAffinity(pr *placementRun) replicaChooser {
	return func(_, prefix int) (int, func()) { return prefix % len(pr.engines), noop }
}

// productionPlacement chooses by the tracker that the entries use in production,
// one per entry.
func productionPlacement(pr *placementRun) replicaChooser {
	var ens []policy.Endpoint
	for i := range pr.engines {
		en := &rpc.Endpoint{Slots: int64(pr.slots)}
		ens = append(ens, policy.Endpoint{ID: policy.EndpointID(fmt.Sprint("replica-", i)), Endpoint: en})
	}
	pool := placement.NewPool(ens)
	var trackers []*placement.Tracker
	for n := range 8 {
		trackers = append(trackers, placement.NewTracker(uint64(n+1)))
	}
	usable := func(policy.Endpoint) bool { return true }
	reports := snapshot(trackers)
	pr.every(inFlightInterval, func() {
		shareInFlight(pr.now, trackers, reports)
		reports = snapshot(trackers)
	})
	return func(n, prefix int) (int, func()) {
		hash := placement.HashPrefix("o", "v", fmt.Append(nil, prefix))
		en, _ := trackers[n].Choose(pr.now, pool, hash, nil, usable)
		i := slices.IndexFunc(ens, func(other policy.Endpoint) bool { return other.ID == en.ID })
		trackers[n].RecordUtilisation(pr.now, en, float64(pr.engines[i].reportedLoad())/float64(pr.slots))
		return i, func() { trackers[n].Done(pr.now, en.ID, placement.Succeeded) }
	}
}

// snapshot returns, for each entry's tracker, the number of requests in flight by
// endpoint.
func snapshot(trs []*placement.Tracker) []map[policy.EndpointID]int {
	all := make([]map[policy.EndpointID]int, len(trs))
	for n, tr := range trs {
		all[n] = tr.InFlight()
	}
	return all
}

// shareInFlight tells each tracker how many requests the others had in flight at each
// endpoint. all is the snapshot.
func shareInFlight(now time.Time, trs []*placement.Tracker, all []map[policy.EndpointID]int) {
	for n, tr := range trs {
		others := map[policy.EndpointID]int{}
		for m, inFlight := range all {
			if m == n {
				continue
			}
			for id, count := range inFlight {
				others[id] += count
			}
		}
		tr.SetPeerInFlight(now, others)
	}
}

// Placement measures the time to the first token and the prefix cache hits when
// load reports are stale.
func Placement(seed uint64) Row {
	figure := func(newChooser func(pr *placementRun) replicaChooser) (p95, hits float64) {
		pr := runPlacement(seed, newChooser)
		return quantile(pr.firstTokens, 0.95), float64(pr.hits) / float64(pr.started)
	}
	rr, rrHits := figure(roundRobin)
	ll, llHits := figure(leastLoadedFresh)
	tc, tcHits := figure(twoChoicesStale)
	pa, paHits := figure(perfectAffinity)
	gh, ghHits := figure(gradedHealth)
	production, hits := figure(productionPlacement)
	return Row{
		Measure: "placement with reports 2 s stale: p95 first token, cache hits",
		Baselines: fmt.Sprintf("round robin %.0f ms, %.2f; least loaded, fresh %.0f ms, %.2f; two choices, stale %.0f ms, %.2f; graded health (LitmusPaper), stale %.0f ms, %.2f; perfect affinity %.0f ms, %.2f",
			1000*rr, rrHits, 1000*ll, llHits, 1000*tc, tcHits, 1000*gh, ghHits, 1000*pa, paHits),
		Figure: fmt.Sprintf("%.0f ms, %.2f", 1000*production, hits),
		Target: "p95 no worse than least loaded with fresh reports; hits >= 0.9 of perfect affinity",
		Met:    production <= ll && hits >= 0.9*paHits,
	}
}
