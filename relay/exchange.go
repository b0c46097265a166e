package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// loadPrefix is the key prefix under which each router publishes its load:
// load/VM.
const loadPrefix = "load/"

// Publish publishes this router's load, its results of roll-outs, the limits that
// endpoints named, the services that are brittle and the endpoints that leave to the other
// routers.
func (ro *Router) Publish() {
	ro.releases.publish()
	ro.limits.Publish(time.Now())
	ro.brittle.Publish(time.Now())
	ro.fleet.publishLeaving(time.Now())
	if ro.peers.Large() {
		// In large groups the loads are added up, see Sums.
		return
	}
	us := &rpc.Usage{}
	for id, lo := range ro.balancer.Loads() {
		us.Endpoints = append(us.Endpoints, &rpc.EndpointUsage{
			Endpoint: string(id), InFlight: int64(lo.Running), BacklogMs: backlogOf(lo).Milliseconds(),
		})
	}
	ro.peers.Publish(loadPrefix+string(ro.peers.VM()), us)
}

// backlogOf returns the backlog of a load as it is told.
func backlogOf(lo placement.Load) time.Duration {
	return peer.BoundedBacklog(quantity.Seconds(float64(lo.Backlog)))
}

// Refresh applies what the other routers have published.
func (ro *Router) Refresh() {
	now := time.Now()
	members := ro.peers.Entries()
	ro.routers.Store(int64(len(members) + 1))
	if !ro.peers.Large() {
		ro.balancer.SetPeerLoads(now, ro.publishedLoads(members))
	}
	ro.releases.refresh()
	ro.limits.Refresh(now)
	ro.brittle.Refresh(now)
	ro.fleet.refreshLeaving(now)
	ro.pauses.Prune(now)
}

// publishedLoads returns the sums of the loads that the other routers of a small group have
// published.
func (ro *Router) publishedLoads(members []peer.Member) map[policy.EndpointID]placement.Load {
	out := map[policy.EndpointID]placement.Load{}
	for _, mb := range members {
		it, ok := ro.peers.Table().Get(loadPrefix + string(mb.VM))
		var us rpc.Usage
		if !ok || proto.Unmarshal(it.Value, &us) != nil {
			continue
		}
		for _, eu := range us.GetEndpoints() {
			lo := out[policy.EndpointID(eu.GetEndpoint())]
			lo.Running += int(peer.BoundedRunning(eu.GetInFlight()))
			lo.Backlog += placement.Work(peer.BoundedBacklog(quantity.Milliseconds(eu.GetBacklogMs())).Seconds())
			out[policy.EndpointID(eu.GetEndpoint())] = lo
		}
	}
	return out
}

// Sums returns this router's loads and what it has observed of roll-outs, for the routers of a
// large group.
func (ro *Router) Sums() peer.Sums {
	out := peer.Sums{Loads: peer.Loads{}, Releases: map[peer.ReleaseKey]rollout.Report{}}
	for id, lo := range ro.balancer.Loads() {
		out.Loads[peer.HashEndpoint(id)] = peer.EndpointLoad{Running: int64(lo.Running), Backlog: backlogOf(lo)}
	}
	for _, rec := range ro.releases.active() {
		out.Releases[releaseKeyOf(rec)] = ro.releases.ownReport(time.Now(), rec)
	}
	return out
}

// ApplySums applies the loads of the other routers of a large group, and the reports of all.
func (ro *Router) ApplySums(su peer.Sums) {
	loads := map[policy.EndpointID]placement.Load{}
	for _, en := range ro.holder.Set().Endpoints.List() {
		if el, ok := su.Loads[peer.HashEndpoint(en.ID)]; ok {
			loads[en.ID] = placement.Load{Running: int(el.Running), Backlog: placement.Work(el.Backlog.Seconds())}
		}
	}
	ro.balancer.SetPeerLoads(time.Now(), loads)
	ro.releases.applySums(time.Now(), su.Releases)
}
