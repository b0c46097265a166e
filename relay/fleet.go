package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// maxLoadPerSlot is the number of requests per slot, summed over all routers,
	// at which an endpoint gets no more. Further requests had better wait at
	// another endpoint or be retried by the caller.
	maxLoadPerSlot = 2
	// maxOverfull times that number is the load at which an endpoint gets none even from a
	// router that has no request there.
	maxOverfull = 3
	// connectionShare is the share of the service's limit of connections to one
	// endpoint that the routers use together. The rest allows for connections that
	// are still closing.
	connectionShare = 0.8
)

// fleet holds the endpoints of each service.
//
// mu guards all fields. The balancer's and the holder's locks are taken after it.
type fleet struct {
	router *Router

	mu sync.Mutex
	// set is the policy that the other fields were built from.
	set       *policy.Set
	byService map[policy.ServiceID][]policy.Endpoint
	// lapsed holds endpoints that disappeared from the policy during or shortly
	// after an outage of the store, with the time until which they are still used.
	lapsed map[policy.EndpointID]lapsedEndpoint
	// departures holds the endpoints that said in an answer, here or at another router, that
	// they leave; published reports whether the last message to the peers had any.
	departures map[policy.EndpointRun]departure
	published  bool
	// evacuated holds the failure domains that were evacuated in the policy that was used last.
	evacuated map[policy.FailureDomain]bool
}

type lapsedEndpoint struct {
	endpoint policy.Endpoint
	until    time.Time
}

func newFleet(ro *Router) *fleet {
	return &fleet{
		router: ro, byService: map[policy.ServiceID][]policy.Endpoint{}, lapsed: map[policy.EndpointID]lapsedEndpoint{},
		departures: map[policy.EndpointRun]departure{}, evacuated: map[policy.FailureDomain]bool{},
	}
}

// forService returns the endpoints of a service that are neither leaving nor in an evacuated
// failure domain, including lapsed ones that are still used.
func (fl *fleet) forService(now time.Time, id policy.ServiceID) []policy.Endpoint {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.rebuild(now)
	ens := fl.byService[id]
	for _, le := range fl.lapsed {
		if le.endpoint.Service == string(id) && now.Before(le.until) && fl.sparedLocked(le.endpoint) == "" {
			ens = append(ens[:len(ens):len(ens)], le.endpoint)
		}
	}
	return ens
}

// refresh updates the endpoints to the policy in force.
func (fl *fleet) refresh(now time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.rebuild(now)
}

// rebuild updates the endpoints to the policy in force, if that has changed. The
// caller holds mu.
func (fl *fleet) rebuild(now time.Time) {
	se := fl.router.holder.Set()
	if se == fl.set {
		return
	}
	fl.retainLapsed(now, se)
	fl.noteEvacuations(se)
	fl.byService = map[policy.ServiceID][]policy.Endpoint{}
	for _, en := range se.Endpoints.List() {
		if fl.sparedLocked(en) == "" {
			id := policy.ServiceID(en.Service)
			fl.byService[id] = append(fl.byService[id], en)
		}
	}
	fl.set = se
	fl.router.balancer.Prune(func(id policy.EndpointID) bool {
		_, ok := se.Endpoints.ByID(id)
		return ok
	})
}

// retainLapsed keeps the endpoints that the new policy no longer contains, if the
// store is unavailable or has been available for at most store_settle. Their
// registrations may have expired only because they could not be renewed. They are
// kept for lapse_grace. The caller holds mu.
func (fl *fleet) retainLapsed(now time.Time, se *policy.Set) {
	for id, le := range fl.lapsed {
		if _, back := se.Endpoints.ByID(id); back || now.After(le.until) {
			delete(fl.lapsed, id)
		}
	}
	sv := fl.router.options().Serving
	if now.Sub(fl.router.holder.StoreAvailableSince(now)) > sv.GetStoreSettle().AsDuration() {
		return
	}
	for _, ens := range fl.byService {
		for _, en := range ens {
			if _, ok := se.Endpoints.ByID(en.ID); ok {
				continue
			}
			fl.lapsed[en.ID] = lapsedEndpoint{endpoint: en, until: now.Add(sv.GetLapseGrace().AsDuration())}
			fl.router.log.Info(event.EndpointLapsed, event.Fields{"endpoint": en.ID, "policy": se.Revision})
		}
	}
}

// hasCapacity reports whether an endpoint may get one more request.
func (fl *fleet) hasCapacity(ca *call, en policy.Endpoint, cn placement.Condition, routers int) bool {
	if !fl.hasRoom(ca, en, cn, routers) {
		return false
	}
	limit := ca.service.MaxConnections
	if limit == 0 {
		return true
	}
	return float64(cn.Own+1) <= max(1, connectionShare*float64(limit)/float64(routers))
}

// hasRoom reports whether an endpoint has room for one more request. Beside the loads that the
// others report, which are half a second old and the same for all, it counts this router's even
// part: without it, all routers would leave out an endpoint that looks full, and all fill one that
// looks empty, at the same moments. The part is of the endpoint's places or, if there are more
// routers than that, of the service's. While the service's endpoints are pressed, a router has no
// more than its part.
func (fl *fleet) hasRoom(ca *call, en policy.Endpoint, cn placement.Condition, routers int) bool {
	room := maxLoadPerSlot * int(en.Slots)
	if part := room / max(1, routers); part > 0 {
		return cn.All < room || cn.Own < part
	}
	if ca.evenPart == 0 {
		return cn.All < room
	}
	pr := fl.router.queue.pressure(time.Now(), ca, en)
	if pr.pressed {
		return pr.running < ca.evenPart && !pr.full
	}
	return cn.All < room || cn.All < maxOverfull*room && pr.running < ca.evenPart
}

// evenPart returns this router's even part of the places at a service's endpoints, one at least.
func (fl *fleet) evenPart(now time.Time, id policy.ServiceID, routers int) int {
	room := 0
	for _, en := range fl.forService(now, id) {
		room += maxLoadPerSlot * int(en.Slots)
	}
	return max(1, room/max(1, routers))
}

// retryAfter returns how long the caller of a request that found no free endpoint
// should wait before it tries again.
func (fl *fleet) retryAfter(ca *call) time.Duration {
	return max(fl.defaultRetry(ca), time.Until(ca.returnAt))
}

// defaultRetry returns how long the caller of a request that found no free endpoint should wait
// at least before it tries again. It is longer on routes with a less strict latency target.
func (fl *fleet) defaultRetry(ca *call) time.Duration {
	if ca.route.LatencyTarget() < defaultRetryDelay {
		return defaultRetryDelay
	}
	return 2 * defaultRetryDelay
}
