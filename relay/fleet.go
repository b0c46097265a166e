package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

const (
	// overbooked times its slots is the most that the routers have at an
	// endpoint; more waits better elsewhere, or at the caller.
	overbooked = 2
	// connectionShare of an endpoint's connections are used, so that those that
	// are closing leave room.
	connectionShare = 0.8
)

// fleet is the endpoints by service.
//
// mu guards all fields. The balancer's and the holder's locks are taken after it.
type fleet struct {
	router *Router

	mu       sync.Mutex
	revision store.Revision
	built    bool
	members  map[policy.ServiceID][]policy.Endpoint
	// lapsed are endpoints that vanished while the store was unsteady, with the
	// time until which they count.
	lapsed map[policy.EndpointID]lapsed
}

type lapsed struct {
	endpoint policy.Endpoint
	until    time.Time
}

func newFleet(ro *Router) *fleet {
	return &fleet{router: ro, members: map[policy.ServiceID][]policy.Endpoint{}, lapsed: map[policy.EndpointID]lapsed{}}
}

// of gives the endpoints of a service that are not draining.
func (fl *fleet) of(now time.Time, id policy.ServiceID) []policy.Endpoint {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.rebuild(now)
	ens := fl.members[id]
	for _, la := range fl.lapsed {
		if la.endpoint.Service == string(id) && now.Before(la.until) {
			ens = append(ens[:len(ens):len(ens)], la.endpoint)
		}
	}
	return ens
}

// refresh brings the endpoints up to the policy in force.
func (fl *fleet) refresh(now time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.rebuild(now)
}

// rebuild brings the endpoints up to the policy in force.
func (fl *fleet) rebuild(now time.Time) {
	se := fl.router.holder.Set()
	if fl.built && se.Revision == fl.revision {
		return
	}
	fl.noteLapsed(now, se)
	fl.members = map[policy.ServiceID][]policy.Endpoint{}
	for _, en := range se.Endpoints.List() {
		if !en.Draining {
			id := policy.ServiceID(en.Service)
			fl.members[id] = append(fl.members[id], en)
		}
	}
	fl.built, fl.revision = true, se.Revision
	fl.router.balancer.Keep(func(id policy.EndpointID) bool {
		_, ok := se.Endpoints.ByID(id)
		return ok
	})
}

// noteLapsed keeps the endpoints that vanish while the store is unsteady: their
// registrations may have run out because nothing could renew them.
func (fl *fleet) noteLapsed(now time.Time, se *policy.Set) {
	for id, la := range fl.lapsed {
		if _, back := se.Endpoints.ByID(id); back || now.After(la.until) {
			delete(fl.lapsed, id)
		}
	}
	sv := fl.router.options().Serving
	if now.Sub(fl.router.holder.SteadyFrom(now)) > sv.GetStoreSettle().AsDuration() {
		return
	}
	for _, ens := range fl.members {
		for _, en := range ens {
			if _, ok := se.Endpoints.ByID(en.ID); ok {
				continue
			}
			fl.lapsed[en.ID] = lapsed{endpoint: en, until: now.Add(sv.GetLapseGrace().AsDuration())}
			fl.router.log.Info(event.EndpointLapsed, event.Fields{"endpoint": en.ID, "policy": se.Revision})
		}
	}
}

// hasRoom tells whether an endpoint may have one more request.
func (fl *fleet) hasRoom(ca *call, en policy.Endpoint, running placement.Running, routers int) bool {
	if running.All >= overbooked*int(en.Slots) {
		return false
	}
	most := ca.service.MaxConnections
	if most == 0 {
		return true
	}
	return float64(running.Own+1) <= max(1, connectionShare*float64(most)/float64(routers))
}

// returnAfter gives the time after which a request that found no room should
// come back.
func (fl *fleet) returnAfter(ca *call) time.Duration {
	if ca.route.LatencyTarget() < soon {
		return soon
	}
	return 2 * soon
}
