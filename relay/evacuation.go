package relay

import (
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
)

// evacuatedRetryDelay is the delay after which a caller should retry a request whose service has
// all its endpoints in evacuated failure domains.
const evacuatedRetryDelay = 2 * time.Second

// spared returns why an endpoint gets no new request of any kind until that is taken back, "" if it
// may get some.
func (fl *fleet) spared(en policy.Endpoint) blockedReason {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.sparedLocked(en)
}

// sparedLocked does what spared does. It looks at the policy in force, which may be newer than the
// one that the fleet was built from. The caller holds mu.
func (fl *fleet) sparedLocked(en policy.Endpoint) blockedReason {
	switch {
	case fl.leavesLocked(en):
		return blockedLeaving
	case fl.router.holder.Set().Evacuated(policy.FailureDomain(en.FailureDomain)):
		return blockedEvacuated
	}
	return ""
}

// allEvacuated reports whether a service has endpoints, all of them in evacuated failure domains.
func (fl *fleet) allEvacuated(now time.Time, id policy.ServiceID) bool {
	se, found := fl.router.holder.Set(), false
	if se.Evacuations.Len() == 0 || len(fl.forService(now, id)) > 0 {
		return false
	}
	for _, en := range se.Endpoints.List() {
		if policy.ServiceID(en.Service) != id {
			continue
		}
		if !se.Evacuated(policy.FailureDomain(en.FailureDomain)) {
			return false
		}
		found = true
	}
	return found
}

// noteEvacuations logs which evacuations begin and end with a policy. The caller holds mu.
func (fl *fleet) noteEvacuations(se *policy.Set) {
	for fd := range fl.evacuated {
		if !se.Evacuated(fd) {
			delete(fl.evacuated, fd)
			fl.router.log.Info(event.EvacuationEnded, event.Fields{"failure_domain": fd, "policy": se.Revision})
		}
	}
	for _, ev := range se.Evacuations.List() {
		if !fl.evacuated[ev.ID] {
			fl.evacuated[ev.ID] = true
			fl.router.log.Info(event.EvacuationBegan, event.Fields{"failure_domain": ev.ID, "policy": se.Revision})
		}
	}
}

// Evacuation is how far the evacuation of a failure domain is at this router.
type Evacuation struct {
	// Endpoints is the number of endpoints in the failure domain.
	Endpoints int `json:"endpoints"`
	// Running is the number of this router's requests that still run there.
	Running int `json:"running"`
}

// Evacuations returns the failure domains that are evacuated, and how far that is.
func (ro *Router) Evacuations() map[policy.FailureDomain]Evacuation {
	out, se := map[policy.FailureDomain]Evacuation{}, ro.holder.Set()
	if se.Evacuations.Len() == 0 {
		return out
	}
	for _, ev := range se.Evacuations.List() {
		out[ev.ID] = Evacuation{}
	}
	loads := ro.balancer.Loads()
	for _, en := range se.Endpoints.List() {
		fd := policy.FailureDomain(en.FailureDomain)
		if ev, ok := out[fd]; ok {
			out[fd] = Evacuation{Endpoints: ev.Endpoints + 1, Running: ev.Running + loads[en.ID].Running}
		}
	}
	return out
}

// EvacuatedRunning returns, by evacuated failure domain, the number of this router's requests that
// still run there.
func (ro *Router) EvacuatedRunning() map[string]float64 {
	out := map[string]float64{}
	for fd, ev := range ro.Evacuations() {
		out[string(fd)] = float64(ev.Running)
	}
	return out
}
