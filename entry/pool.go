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
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// poolID identifies a pool: the endpoints of one model or service, whose requests
// wait in one queue. It has the form model/MODEL or service/SERVICE.
type poolID string

func modelPool(id policy.ModelID) poolID     { return poolID("model/" + string(id)) }
func servicePool(id policy.ServiceID) poolID { return poolID("service/" + string(id)) }

const (
	usagePrefix = "usage/"
	// initialSecondsPerToken and initialTokensPerAnswer are the estimates for a
	// rank until its first answer ends.
	initialSecondsPerToken = 0.01
	initialTokensPerAnswer = 128
	// estimateSmoothing is the weight of a new answer in the exponential moving
	// averages of answerEstimate.
	estimateSmoothing = 0.05
	// maxOutlier bounds the weight of an answer that is much longer or slower than the others.
	maxOutlier = 10
	// minReportedUsage is the smoothed usage, in slots, below which a level without
	// running requests is left out of the report. Each rank has two levels: one for
	// organisations within their share and one for those over it.
	minReportedUsage = 0.01
)

// poolQueue is the queue of one pool, with the estimates of the length and speed of
// the pool's answers.
type poolQueue struct {
	controller *admission.Controller
	// mu guards estimates.
	mu        sync.Mutex
	estimates map[policy.RankID]answerEstimate
}

// answerEstimate holds moving averages over the answers of one rank.
type answerEstimate struct {
	secondsPerToken float64
	tokensPerAnswer float64
}

// pools holds the queues, and the endpoints by pool and by version.
//
// mu guards the fields below it. A queue's lock may be taken while mu is held, but
// mu must not be taken while a queue's lock is held.
type pools struct {
	daemon *Daemon

	mu sync.Mutex
	// endpointsRevision is the policy revision from which the endpoint maps were
	// built, queuesRevision the newest one from which the queues were refreshed.
	endpointsRevision store.Revision
	queuesRevision    store.Revision
	// seenItems holds the item version of each usage item of the other entries that
	// was last processed, by key.
	seenItems          map[string]peer.Version
	queues             map[poolID]*poolQueue
	endpointsByPool    map[poolID]*placement.Pool
	endpointsByVersion map[policy.VersionID]*placement.Pool
}

func newPools(da *Daemon) *pools {
	return &pools{daemon: da, queues: map[poolID]*poolQueue{}}
}

// get returns the queue of a pool, which it creates when there is none. It refreshes
// all queues first when that one is new or they are older than the policy in force.
func (po *pools) get(id poolID) *poolQueue {
	po.mu.Lock()
	_, known := po.queues[id]
	pq := po.getLocked(id)
	current := po.queuesRevision == po.daemon.holder.Set().Revision
	po.mu.Unlock()
	if !known || !current {
		po.refresh()
	}
	return pq
}

// getLocked returns the queue of a pool, and creates it if needed. mu must be held.
func (po *pools) getLocked(id poolID) *poolQueue {
	pq, ok := po.queues[id]
	if !ok {
		pq = &poolQueue{
			controller: admission.NewController(int(po.daemon.settings.GetServing().GetMaxQueue())),
			estimates:  map[policy.RankID]answerEstimate{},
		}
		po.queues[id] = pq
	}
	return pq
}

// versionEndpoints returns the endpoints that serve a version according to the
// policy in force.
func (po *pools) versionEndpoints(id policy.VersionID) *placement.Pool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.rebuildLocked()
	if pl, ok := po.endpointsByVersion[id]; ok {
		return pl
	}
	return placement.NewPool(nil)
}

// serviceEndpoints returns the endpoints of a plain service.
func (po *pools) serviceEndpoints(id policy.ServiceID) *placement.Pool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.rebuildLocked()
	if pl, ok := po.endpointsByPool[servicePool(id)]; ok {
		return pl
	}
	return placement.NewPool(nil)
}

// rebuildLocked rebuilds the endpoint maps if the policy has changed, and removes
// endpoints that are not in the policy from the tracker. mu must be held.
func (po *pools) rebuildLocked() {
	se := po.daemon.holder.Set()
	if se.Revision == po.endpointsRevision && po.endpointsByVersion != nil {
		return
	}
	byVersion, byPool := map[policy.VersionID][]policy.Endpoint{}, map[poolID][]policy.Endpoint{}
	for _, en := range se.Endpoints.List() {
		if en.Kind == rpc.EndpointKind_PLAIN {
			id := servicePool(policy.ServiceID(en.Service))
			byPool[id] = append(byPool[id], en)
			continue
		}
		modelPools := map[poolID]bool{}
		for _, name := range en.Versions {
			id := policy.VersionID(name)
			byVersion[id] = append(byVersion[id], en)
			if ve, ok := se.Versions.ByID(id); ok {
				modelPools[modelPool(policy.ModelID(ve.Model))] = true
			}
		}
		for id := range modelPools {
			byPool[id] = append(byPool[id], en)
		}
	}
	po.endpointsByVersion, po.endpointsByPool = map[policy.VersionID]*placement.Pool{}, map[poolID]*placement.Pool{}
	for id, ens := range byVersion {
		po.endpointsByVersion[id] = placement.NewPool(ens)
	}
	for id, ens := range byPool {
		po.endpointsByPool[id] = placement.NewPool(ens)
	}
	po.endpointsRevision = se.Revision
	po.daemon.tracker.Prune(func(id policy.EndpointID) bool {
		_, ok := se.Endpoints.ByID(id)
		return ok
	})
}

// refresh sets for each queue the ranks, the capacity, which is this entry's share
// of the pool's usable slots, and the usage that the other entries reported.
func (po *pools) refresh() {
	po.mu.Lock()
	po.rebuildLocked()
	revision := po.endpointsRevision
	endpoints, ranks := po.endpointsByPool, ranksOf(po.daemon.holder.Set())
	queues := make(map[poolID]*poolQueue, len(endpoints))
	for id := range endpoints {
		queues[id] = po.getLocked(id)
	}
	// The queues of pools that have lost all endpoints are refreshed too.
	maps.Copy(queues, po.queues)
	po.mu.Unlock()
	re := po.readRemoteUsage()
	if re.changed {
		po.daemon.tracker.SetPeerInFlight(time.Now(), re.inFlight)
	}
	for id, pq := range queues {
		slots := po.usableSlots(endpoints[id])
		capacity := slots * admission.CapacityShare(re.entries, pq.demand(), re.demand[id])
		pq.controller.Update(func(qu *admission.Queue, now time.Time) {
			qu.SetRanks(ranks)
			qu.SetCapacity(now, admission.Slots(capacity))
			if re.changed {
				qu.SetFleet(now, admission.Fleet{Capacity: admission.Slots(slots), Report: re.reports[id]})
			}
		})
		pq.controller.Tick()
	}
	po.mu.Lock()
	po.queuesRevision = max(po.queuesRevision, revision)
	po.mu.Unlock()
}

// tick starts the requests that may now run in each queue, and refuses those that
// can no longer meet their deadline.
func (po *pools) tick() {
	po.each(func(_ poolID, pq *poolQueue) { pq.controller.Tick() })
}

func ranksOf(se *policy.Set) []admission.Rank {
	var out []admission.Rank
	for _, ra := range se.Ranks.List() {
		out = append(out, admission.Rank{ID: ra.ID, Order: ra.Order, Floor: ra.Floor, Headroom: ra.Headroom})
	}
	return out
}

// usableSlots returns the sum of the slots of a pool's usable, healthy endpoints.
func (po *pools) usableSlots(pl *placement.Pool) float64 {
	if pl == nil {
		return 0
	}
	sum := 0.0
	for _, en := range pl.Endpoints {
		if po.daemon.usable(en) && po.daemon.tracker.Healthy(en.ID) {
			sum += float64(en.Slots)
		}
	}
	return sum
}

// usable reports whether an endpoint may get new work: it is still in the policy,
// no operator is draining it, and the VM list does not mark it as leaving.
func (da *Daemon) usable(en policy.Endpoint) bool {
	now, ok := da.holder.Set().Endpoints.ByID(en.ID)
	return ok && !now.Draining && !da.vms.EndpointLeaving(string(en.ID))
}

// remoteUsage combines the usage items of the other entries.
type remoteUsage struct {
	// entries is the number of entries that serve requests, this one included.
	entries int
	// demand is the number of requests that run or wait in the other entries'
	// queues of each pool.
	demand  map[poolID]float64
	reports map[poolID]admission.Report
	// inFlight is the number of requests that the other entries have in flight at
	// each endpoint.
	inFlight map[policy.EndpointID]int
	// changed is set when an item was written, added or removed since the last read.
	// Unchanged reports are not set again, because that would renew their lifetime.
	changed bool
}

// readRemoteUsage combines the usage items of the other entries. A draining entry is
// counted in entries until its last request has ended.
func (po *pools) readRemoteUsage() remoteUsage {
	re := remoteUsage{entries: 1, demand: map[poolID]float64{}, reports: map[poolID]admission.Report{}, inFlight: map[policy.EndpointID]int{}}
	seen := map[string]peer.Version{}
	for _, mb := range po.daemon.peers.Entries() {
		if !mb.Draining || mb.InFlight > 0 {
			re.entries++
		}
		if it, ok := po.daemon.peers.Table().Get(usagePrefix + string(mb.VM)); ok {
			seen[it.Key] = it.Version
			re.addItem(it)
		}
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	re.changed = !maps.Equal(seen, po.seenItems)
	po.seenItems = seen
	return re
}

// usageRange bounds the numbers of another entry's usage.
var usageRange = quantity.Bounds[float64]{Min: 0, Max: 1 << 40}

// addItem adds one entry's usage item. It ignores an item that does not decode.
func (re *remoteUsage) addItem(it peer.Item) {
	var us rpc.Usage
	if proto.Unmarshal(it.Value, &us) != nil {
		return
	}
	for _, eu := range us.GetEndpoints() {
		re.inFlight[policy.EndpointID(eu.GetEndpoint())] += int(peer.BoundedRunning(eu.GetInFlight()))
	}
	for _, pu := range us.GetPools() {
		id := poolID(pu.GetPool())
		re.demand[id] += usageRange.Clamp(pu.GetDemand())
		rp := re.reports[id]
		for _, ou := range pu.GetOrganisations() {
			rp.Organisations = append(rp.Organisations, admission.Usage{
				Organisation: policy.OrganisationID(ou.GetOrganisation()), Rank: policy.RankID(ou.GetRank()), Cost: admission.Cost(usageRange.Clamp(ou.GetTokens())),
			})
		}
		for _, lu := range pu.GetLevels() {
			rp.Levels = append(rp.Levels, admission.LevelUsage{
				Rank: policy.RankID(lu.GetRank()), OverShare: lu.GetOverShare(),
				Running: admission.Slots(usageRange.Clamp(lu.GetRunning())), Used: admission.Slots(usageRange.Clamp(lu.GetUsed())),
			})
		}
		re.reports[id] = rp
	}
}

// demand returns the number of requests that run or wait in the queue.
func (pq *poolQueue) demand() float64 {
	demand := 0.0
	pq.controller.Update(func(qu *admission.Queue, _ time.Time) {
		running, waiting := qu.Load()
		demand = float64(running + waiting)
	})
	return demand
}

// publish sends the usage and demand of this entry's queues, and its requests in
// flight at each endpoint, to the other entries.
func (po *pools) publish() {
	po.mu.Lock()
	queues := maps.Clone(po.queues)
	po.mu.Unlock()
	us := &rpc.Usage{}
	for id, pq := range queues {
		us.Pools = append(us.Pools, pq.usage(id))
	}
	for id, n := range po.daemon.tracker.InFlight() {
		us.Endpoints = append(us.Endpoints, &rpc.EndpointUsage{Endpoint: string(id), InFlight: int64(n)})
	}
	po.daemon.peers.Publish(usagePrefix+string(po.daemon.peers.VM()), us)
}

// usage returns the report on the queue for the other entries.
func (pq *poolQueue) usage(id poolID) *rpc.PoolUsage {
	pu := &rpc.PoolUsage{Pool: string(id), Demand: pq.demand()}
	pq.controller.Update(func(qu *admission.Queue, now time.Time) {
		re := qu.Report(now)
		for _, ou := range re.Organisations {
			pu.Organisations = append(pu.Organisations, &rpc.OrganisationUsage{
				Organisation: string(ou.Organisation), Rank: string(ou.Rank), Tokens: float64(ou.Cost),
			})
		}
		for _, lu := range re.Levels {
			if lu.Running == 0 && lu.Used < minReportedUsage {
				continue
			}
			pu.Levels = append(pu.Levels, &rpc.LevelUsage{
				Rank: string(lu.Rank), OverShare: lu.OverShare, Running: float64(lu.Running), Used: float64(lu.Used),
			})
		}
	})
	return pu
}

// estimate returns the expected number of tokens of a rank's answer, at most
// maxTokens unless that is 0, and the expected time to generate them.
func (pq *poolQueue) estimate(id policy.RankID, maxTokens int64) (tokens float64, duration time.Duration) {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	ae := pq.estimateLocked(id)
	tokens = ae.tokensPerAnswer
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return tokens, quantity.Seconds(tokens * ae.secondsPerToken)
}

// estimateLocked returns the rank's estimate, or the initial one. mu must be held.
func (pq *poolQueue) estimateLocked(id policy.RankID) answerEstimate {
	if ae, ok := pq.estimates[id]; ok {
		return ae
	}
	return answerEstimate{secondsPerToken: initialSecondsPerToken, tokensPerAnswer: initialTokensPerAnswer}
}

// observe updates the rank's estimate with a complete answer. An answer without
// tokens is ignored. One answer's numbers count as maxOutlier times the estimate at most, as all
// callers of the rank are refused once the expected time is longer than their deadlines.
func (pq *poolQueue) observe(id policy.RankID, tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	pq.mu.Lock()
	defer pq.mu.Unlock()
	ae := pq.estimateLocked(id)
	ae.tokensPerAnswer += estimateSmoothing * (min(float64(tokens), maxOutlier*ae.tokensPerAnswer) - ae.tokensPerAnswer)
	ae.secondsPerToken += estimateSmoothing * (min(took.Seconds()/float64(tokens), maxOutlier*ae.secondsPerToken) - ae.secondsPerToken)
	pq.estimates[id] = ae
}

// each calls fn for the queue of every pool, without holding mu.
func (po *pools) each(fn func(id poolID, pq *poolQueue)) {
	po.mu.Lock()
	queues := maps.Clone(po.queues)
	po.mu.Unlock()
	for id, pq := range queues {
		fn(id, pq)
	}
}
