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
	reportLag = 2 * time.Second
	// prefixes are the different prompts, cachedPrefixes those that a replica
	// keeps.
	prefixes       = 60
	cachedPrefixes = 16
	// placementLoad is the part of the capacity that is asked for.
	placementLoad   = 0.7
	placementLength = 120 * time.Second
	placementTokens = 100
	// tellInterval is the time between entries' reports of what they have in
	// flight. They arrive an interval later.
	tellInterval = 400 * time.Millisecond
)

// engineFake is a replica with slots, a prefix cache and a lagging report.
type engineFake struct {
	running int
	waiting []func()
	cache   []int
	history []utilisation
}

type utilisation struct {
	at      time.Time
	running int
}

func (en *engineFake) note(now time.Time) {
	en.history = append(en.history, utilisation{now, en.running + len(en.waiting)})
	for len(en.history) > 1 && now.Sub(en.history[1].at) > reportLag {
		en.history = en.history[1:]
	}
}

func (en *engineFake) hit(prefix int) bool {
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

// placing is one run of a way of choosing replicas.
type placing struct {
	*loop
	rng     *rand.Rand
	engines []*engineFake
	slots   int
	first   []float64
	hits    int
	asked   int
}

// chooseReplica picks a replica for an entry's request with a prefix; ended is
// called when it is answered.
type chooseReplica func(n, prefix int) (replica int, ended func())

func runPlacing(seed uint64, make func(pl *placing) chooseReplica) *placing {
	pl := &placing{loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 4)), slots: 8}
	for range 10 {
		pl.engines = append(pl.engines, &engineFake{})
	}
	choose := make(pl)
	rate := placementLoad * float64(len(pl.engines)*pl.slots) / service(placementTokens).Seconds()
	var arrive func()
	arrive = func() {
		pl.after(time.Duration(pl.rng.ExpFloat64()/rate*float64(time.Second)), func() {
			// A few prefixes are asked for more often than the rest.
			prefix := int(float64(prefixes) * math.Pow(pl.rng.Float64(), 2))
			replica, ended := choose(pl.rng.IntN(8), prefix)
			pl.place(replica, prefix, ended)
			arrive()
		})
	}
	arrive()
	pl.run(placementLength)
	return pl
}

func (pl *placing) place(replica, prefix int, ended func()) {
	en, arrived := pl.engines[replica], pl.now
	tokens := math.Min(4*placementTokens, pl.rng.ExpFloat64()*placementTokens)
	start := func() {
		first := prefill
		pl.asked++
		if en.hit(prefix) {
			pl.hits++
			first /= 2
		}
		pl.first = append(pl.first, pl.now.Sub(arrived).Seconds()+first.Seconds())
		en.running++
		en.note(pl.now)
		pl.after(first+time.Duration(tokens*float64(perToken)), func() {
			en.running--
			if len(en.waiting) > 0 {
				next := en.waiting[0]
				en.waiting = en.waiting[1:]
				next()
			}
			en.note(pl.now)
			ended()
		})
	}
	if en.running < pl.slots {
		start()
		return
	}
	en.waiting = append(en.waiting, start)
	en.note(pl.now)
}

func nothing() {}

func roundRobin(pl *placing) chooseReplica {
	next := 0
	return func(int, int) (int, func()) {
		next++
		return next % len(pl.engines), nothing
	}
}

func leastLoadedFresh(pl *placing) chooseReplica {
	return func(int, int) (int, func()) {
		best := 0
		for i, en := range pl.engines {
			if en.running+len(en.waiting) < pl.engines[best].running+len(pl.engines[best].waiting) {
				best = i
			}
		}
		return best, nothing
	}
}

func twoChoicesStale(pl *placing) chooseReplica {
	return func(int, int) (int, func()) {
		a, b := pl.rng.IntN(len(pl.engines)), pl.rng.IntN(len(pl.engines))
		if pl.engines[b].stale() < pl.engines[a].stale() {
			a = b
		}
		return a, nothing
	}
}

// gradedHealth chooses by the health that LitmusPaper's nodes would report:
// 100 less their load, at least 1, as the weight of a random choice.
func gradedHealth(pl *placing) chooseReplica {
	return func(int, int) (int, func()) {
		total := 0
		for _, en := range pl.engines {
			total += en.health(pl.slots)
		}
		at := pl.rng.IntN(total)
		for i, en := range pl.engines {
			if at -= en.health(pl.slots); at < 0 {
				return i, nothing
			}
		}
		return 0, nothing
	}
}

func (en *engineFake) health(slots int) int {
	return max(1, 100-100*en.stale()/slots)
}

func (en *engineFake) stale() int {
	if len(en.history) == 0 {
		return 0
	}
	return en.history[0].running
}

func perfectAffinity(pl *placing) chooseReplica {
	return func(_, prefix int) (int, func()) { return prefix % len(pl.engines), nothing }
}

// ourPlacement is the tracker that serves, one for each entry.
func ourPlacement(pl *placing) chooseReplica {
	var ens []policy.Endpoint
	for i := range pl.engines {
		en := &rpc.Endpoint{Slots: int64(pl.slots)}
		ens = append(ens, policy.Endpoint{ID: policy.EndpointID(fmt.Sprint("replica-", i)), Endpoint: en})
	}
	pool := placement.NewPool(ens)
	var trackers []*placement.Tracker
	for n := range 8 {
		trackers = append(trackers, placement.NewTracker(uint64(n+1)))
	}
	usable := func(policy.Endpoint) bool { return true }
	told := snapshot(trackers)
	pl.every(tellInterval, func() {
		tell(pl.now, trackers, told)
		told = snapshot(trackers)
	})
	return func(n, prefix int) (int, func()) {
		hash := placement.HashPrefix("o", "v", fmt.Append(nil, prefix))
		en, _ := trackers[n].Choose(pl.now, pool, hash, nil, usable)
		i := slices.IndexFunc(ens, func(other policy.Endpoint) bool { return other.ID == en.ID })
		trackers[n].RecordUtilisation(pl.now, en, float64(pl.engines[i].stale())/float64(pl.slots))
		return i, func() { trackers[n].Done(pl.now, en.ID, placement.Succeeded) }
	}
}

// snapshot gives what each entry has in flight.
func snapshot(trs []*placement.Tracker) []map[policy.EndpointID]int {
	all := make([]map[policy.EndpointID]int, len(trs))
	for n, tr := range trs {
		all[n] = tr.InFlight()
	}
	return all
}

// tell lets each entry hear what the others had in flight.
func tell(now time.Time, trs []*placement.Tracker, all []map[policy.EndpointID]int) {
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

// Placement measures latency with stale reports, and cache hits.
func Placement(seed uint64) Row {
	figure := func(make func(pl *placing) chooseReplica) (p95, hits float64) {
		pl := runPlacing(seed, make)
		return quantile(pl.first, 0.95), float64(pl.hits) / float64(pl.asked)
	}
	rr, rrHits := figure(roundRobin)
	ll, llHits := figure(leastLoadedFresh)
	tc, tcHits := figure(twoChoicesStale)
	pa, paHits := figure(perfectAffinity)
	gh, ghHits := figure(gradedHealth)
	mine, hits := figure(ourPlacement)
	return Row{
		Measure: "placement with reports 2 s stale: p95 first token, cache hits",
		Baselines: fmt.Sprintf("round robin %.0f ms, %.2f; least loaded, fresh %.0f ms, %.2f; two choices, stale %.0f ms, %.2f; graded health (LitmusPaper), stale %.0f ms, %.2f; perfect affinity %.0f ms, %.2f",
			1000*rr, rrHits, 1000*ll, llHits, 1000*tc, tcHits, 1000*gh, ghHits, 1000*pa, paHits),
		Figure: fmt.Sprintf("%.0f ms, %.2f", 1000*mine, hits),
		Target: "p95 no worse than least loaded with fresh reports; hits >= 0.9 of perfect affinity",
		Met:    mine <= ll && hits >= 0.9*paHits,
	}
}
