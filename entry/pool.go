package entry

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// poolID names the endpoints behind one queue: a model's or a service's.
type poolID string

func modelPool(id policy.ModelID) poolID     { return poolID("model/" + string(id)) }
func servicePool(id policy.ServiceID) poolID { return poolID("service/" + string(id)) }

const (
	usagePrefix = "usage/"
	// firstSecondsPerToken and firstTokensPerAnswer are assumed until answers
	// have ended.
	firstSecondsPerToken = 0.01
	firstTokensPerAnswer = 128
	paceSmoothing        = 0.05
	// leastUsed is the smoothed use, in slots, that is worth telling.
	leastUsed = 0.01
)

// pool is one queue and what it knows of its answers' pace.
type pool struct {
	gate *admission.Controller
	// mu guards paces.
	mu    sync.Mutex
	paces map[policy.RankID]pace
}

// pace is what a rank's answers took.
type pace struct {
	secondsPerToken float64
	tokensPerAnswer float64
}

// pools holds the queues, and the endpoints by version and service.
//
// mu guards the maps. A queue's own lock is taken after it, never before.
type pools struct {
	daemon *Daemon

	mu sync.Mutex
	// revision is the policy that the endpoints are of, refreshed the one that
	// the queues are of.
	revision  store.Revision
	refreshed store.Revision
	// heard are the others' items as last processed.
	heard     map[string]peer.Version
	byID      map[poolID]*pool
	members   map[poolID]*placement.Pool
	byVersion map[policy.VersionID]*placement.Pool
}

func newPools(da *Daemon) *pools {
	return &pools{daemon: da, byID: map[poolID]*pool{}}
}

// get gives a queue, brought up to the policy in force.
func (po *pools) get(id poolID) *pool {
	po.mu.Lock()
	_, known := po.byID[id]
	pl := po.getLocked(id)
	current := po.refreshed == po.daemon.holder.Set().Revision
	po.mu.Unlock()
	if !known || !current {
		po.refresh()
	}
	return pl
}

func (po *pools) getLocked(id poolID) *pool {
	pl, ok := po.byID[id]
	if !ok {
		pl = &pool{
			gate:  admission.NewController(int(po.daemon.set.GetServing().GetMaxQueue())),
			paces: map[policy.RankID]pace{},
		}
		po.byID[id] = pl
	}
	return pl
}

// version gives the endpoints that should serve a version.
func (po *pools) version(id policy.VersionID) *placement.Pool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.rebuild()
	if pl, ok := po.byVersion[id]; ok {
		return pl
	}
	return placement.NewPool(nil)
}

// service gives the endpoints of a plain service.
func (po *pools) service(id policy.ServiceID) *placement.Pool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.rebuild()
	if pl, ok := po.members[servicePool(id)]; ok {
		return pl
	}
	return placement.NewPool(nil)
}

// rebuild brings the endpoints up to the policy in force.
func (po *pools) rebuild() {
	se := po.daemon.holder.Set()
	if se.Revision == po.revision && po.byVersion != nil {
		return
	}
	versions, members := map[policy.VersionID][]policy.Endpoint{}, map[poolID][]policy.Endpoint{}
	for _, en := range se.Endpoints.List() {
		if en.Kind == rpc.EndpointKind_PLAIN {
			id := servicePool(policy.ServiceID(en.Service))
			members[id] = append(members[id], en)
			continue
		}
		models := map[poolID]bool{}
		for _, name := range en.Versions {
			id := policy.VersionID(name)
			versions[id] = append(versions[id], en)
			if ve, ok := se.Versions.ByID(id); ok {
				models[modelPool(policy.ModelID(ve.Model))] = true
			}
		}
		for id := range models {
			members[id] = append(members[id], en)
		}
	}
	po.byVersion, po.members = map[policy.VersionID]*placement.Pool{}, map[poolID]*placement.Pool{}
	for id, ens := range versions {
		po.byVersion[id] = placement.NewPool(ens)
	}
	for id, ens := range members {
		po.members[id] = placement.NewPool(ens)
	}
	po.revision = se.Revision
	po.daemon.tracker.Prune(func(id policy.EndpointID) bool {
		_, ok := se.Endpoints.ByID(id)
		return ok
	})
}

// refresh sets each queue's ranks, capacity and the other entries' usage.
func (po *pools) refresh() {
	po.mu.Lock()
	po.rebuild()
	revision := po.revision
	members, ranks := po.members, ranksOf(po.daemon.holder.Set())
	queues := make(map[poolID]*pool, len(members))
	for id := range members {
		queues[id] = po.getLocked(id)
	}
	maps.Copy(queues, po.byID)
	po.mu.Unlock()
	re := po.remote()
	if re.changed {
		po.daemon.tracker.SetPeerInFlight(time.Now(), re.inFlight)
	}
	for id, pl := range queues {
		slots := po.slots(members[id])
		capacity := slots * admission.CapacityShare(re.entries, pl.demand(), re.demand[id])
		pl.gate.Update(func(qu *admission.Queue, now time.Time) {
			qu.SetRanks(ranks)
			qu.SetCapacity(now, admission.Slots(capacity))
			if re.changed {
				qu.SetFleet(now, admission.Fleet{Capacity: admission.Slots(slots), Report: re.reports[id]})
			}
		})
		pl.gate.Tick()
	}
	po.mu.Lock()
	po.refreshed = max(po.refreshed, revision)
	po.mu.Unlock()
}

// tick starts and refuses what is due in every queue.
func (po *pools) tick() {
	po.each(func(_ poolID, pl *pool) { pl.gate.Tick() })
}

func ranksOf(se *policy.Set) []admission.Rank {
	var out []admission.Rank
	for _, ra := range se.Ranks.List() {
		out = append(out, admission.Rank{ID: ra.ID, Order: ra.Order, Floor: ra.Floor, Headroom: ra.Headroom})
	}
	return out
}

// slots adds up what the usable endpoints of a pool serve at once.
func (po *pools) slots(pl *placement.Pool) float64 {
	if pl == nil {
		return 0
	}
	sum := int64(0)
	for _, en := range pl.Endpoints {
		if po.daemon.usable(en) && po.daemon.tracker.Healthy(en.ID) {
			sum += en.Slots
		}
	}
	return float64(sum)
}

// usable tells whether an endpoint may get new work: neither an operator nor
// the VM list says that it is leaving.
func (da *Daemon) usable(en policy.Endpoint) bool {
	now, ok := da.holder.Set().Endpoints.ByID(en.ID)
	return ok && !now.Draining && !da.vms.EndpointLeaving(string(en.ID))
}

// remoteWork is what the other entries reported of their work.
type remoteWork struct {
	entries int
	demand  map[poolID]float64
	reports map[poolID]admission.Report
	// inFlight is what the others have in flight at each endpoint.
	inFlight map[policy.EndpointID]int
	// changed tells that a report came since the last time.
	changed bool
}

func (po *pools) remote() remoteWork {
	re := remoteWork{entries: 1, demand: map[poolID]float64{}, reports: map[poolID]admission.Report{}, inFlight: map[policy.EndpointID]int{}}
	seen := map[string]peer.Version{}
	for _, mb := range po.daemon.peers.Entries() {
		if !mb.Draining || mb.InFlight > 0 {
			re.entries++
		}
		if it, ok := po.daemon.peers.Board().Get(usagePrefix + string(mb.VM)); ok {
			seen[it.Key] = it.Version
			re.add(it)
		}
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	re.changed = !maps.Equal(seen, po.heard)
	po.heard = seen
	return re
}

func (re *remoteWork) add(it peer.Item) {
	var us rpc.Usage
	if proto.Unmarshal(it.Value, &us) != nil {
		return
	}
	for _, eu := range us.GetEndpoints() {
		re.inFlight[policy.EndpointID(eu.GetEndpoint())] += int(eu.GetInFlight())
	}
	for _, pu := range us.GetPools() {
		id := poolID(pu.GetPool())
		re.demand[id] += pu.GetDemand()
		rp := re.reports[id]
		for _, ou := range pu.GetOrganisations() {
			rp.Organisations = append(rp.Organisations, admission.Usage{
				Organisation: policy.OrganisationID(ou.GetOrganisation()), Rank: policy.RankID(ou.GetRank()), Cost: admission.Cost(ou.GetTokens()),
			})
		}
		for _, lu := range pu.GetLevels() {
			rp.Levels = append(rp.Levels, admission.LevelUsage{
				Rank: policy.RankID(lu.GetRank()), OverShare: lu.GetOverShare(),
				Running: admission.Slots(lu.GetRunning()), Used: admission.Slots(lu.GetUsed()),
			})
		}
		re.reports[id] = rp
	}
}

func (pl *pool) demand() float64 {
	demand := 0.0
	pl.gate.Update(func(qu *admission.Queue, _ time.Time) {
		running, waiting := qu.Load()
		demand = float64(running + waiting)
	})
	return demand
}

// publish tells the other entries what this one served and wants.
func (po *pools) publish() {
	po.mu.Lock()
	queues := maps.Clone(po.byID)
	po.mu.Unlock()
	us := &rpc.Usage{}
	for id, pl := range queues {
		us.Pools = append(us.Pools, pl.usage(id))
	}
	for id, n := range po.daemon.tracker.InFlight() {
		us.Endpoints = append(us.Endpoints, &rpc.EndpointUsage{Endpoint: string(id), InFlight: int64(n)})
	}
	po.daemon.peers.Publish(usagePrefix+string(po.daemon.peers.VM()), us)
}

// usage gives the report on a queue for the other entries.
func (pl *pool) usage(id poolID) *rpc.PoolUsage {
	pu := &rpc.PoolUsage{Pool: string(id), Demand: pl.demand()}
	pl.gate.Update(func(qu *admission.Queue, now time.Time) {
		re := qu.Report(now)
		for _, ou := range re.Organisations {
			pu.Organisations = append(pu.Organisations, &rpc.OrganisationUsage{
				Organisation: string(ou.Organisation), Rank: string(ou.Rank), Tokens: float64(ou.Cost),
			})
		}
		for _, lu := range re.Levels {
			if lu.Running == 0 && lu.Used < leastUsed {
				continue
			}
			pu.Levels = append(pu.Levels, &rpc.LevelUsage{
				Rank: string(lu.Rank), OverShare: lu.OverShare, Running: float64(lu.Running), Used: float64(lu.Used),
			})
		}
	})
	return pu
}

// expect gives the tokens and the time that a rank's answer is expected to take.
func (pl *pool) expect(id policy.RankID, maxTokens int64) (tokens float64, lasts time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pa := pl.pace(id)
	tokens = pa.tokensPerAnswer
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return tokens, time.Duration(tokens * pa.secondsPerToken * float64(time.Second))
}

func (pl *pool) pace(id policy.RankID) pace {
	if pa, ok := pl.paces[id]; ok {
		return pa
	}
	return pace{secondsPerToken: firstSecondsPerToken, tokensPerAnswer: firstTokensPerAnswer}
}

// observe learns from an answer that ended.
func (pl *pool) observe(id policy.RankID, tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pa := pl.pace(id)
	pa.tokensPerAnswer += paceSmoothing * (float64(tokens) - pa.tokensPerAnswer)
	pa.secondsPerToken += paceSmoothing * (took.Seconds()/float64(tokens) - pa.secondsPerToken)
	pl.paces[id] = pa
}

// each visits every queue.
func (po *pools) each(fn func(id poolID, pl *pool)) {
	po.mu.Lock()
	queues := maps.Clone(po.byID)
	po.mu.Unlock()
	for id, pl := range queues {
		fn(id, pl)
	}
}
