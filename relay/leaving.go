package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// leavingPrefix is the key prefix under which each router publishes the endpoints that
	// told it that they leave: leaving/VM.
	leavingPrefix = "leaving/"
	// leavingMemory is how long it is remembered that an endpoint leaves which is not, or
	// not any more, in the policy.
	leavingMemory = time.Minute
)

// departure is what is known of an endpoint that leaves.
type departure struct {
	notedAt time.Time
	// own reports whether the endpoint told this router itself.
	own bool
}

// leavesLocked reports whether an endpoint leaves, and so gets no new request: the store says so,
// or the endpoint has said so in an answer to this or another router. The caller holds mu.
func (fl *fleet) leavesLocked(en policy.Endpoint) bool {
	_, ok := fl.departures[en.Run()]
	return ok || en.Draining
}

// noteLeaving records that a run of an endpoint leaves. own reports whether the endpoint told
// this router itself.
func (fl *fleet) noteLeaving(now time.Time, er policy.EndpointRun, own bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if known, ok := fl.departures[er]; ok && (known.own || !own) {
		return
	}
	fl.departures[er] = departure{notedAt: now, own: own}
	fl.set = nil // the endpoints are built anew
	fl.router.log.InfoLimited(event.EndpointLeaving, event.Fields{"endpoint": er.ID, "own": own, "policy": fl.router.holder.Set().Revision})
}

// publishLeaving tells the other routers which endpoints told this one that they leave.
func (fl *fleet) publishLeaving(now time.Time) {
	ms := &rpc.LeavingEndpoints{}
	fl.mu.Lock()
	fl.pruneDepartures(now)
	for er, de := range fl.departures {
		if de.own {
			ms.Endpoints = append(ms.Endpoints, &rpc.LeavingEndpoint{Endpoint: string(er.ID), StartedAtMs: er.StartedAtMs})
		}
	}
	skip := len(ms.GetEndpoints()) == 0 && !fl.published
	fl.published = len(ms.GetEndpoints()) > 0
	fl.mu.Unlock()
	if !skip {
		fl.router.peers.Publish(leavingPrefix+string(fl.router.peers.VM()), ms)
	}
}

// refreshLeaving applies what the other routers have published.
func (fl *fleet) refreshLeaving(now time.Time) {
	own := leavingPrefix + string(fl.router.peers.VM())
	for _, it := range fl.router.peers.Table().List(leavingPrefix) {
		var ms rpc.LeavingEndpoints
		if it.Key == own || proto.Unmarshal(it.Value, &ms) != nil {
			continue
		}
		for _, le := range ms.GetEndpoints() {
			fl.noteLeaving(now, policy.EndpointRun{ID: policy.EndpointID(le.GetEndpoint()), StartedAtMs: le.GetStartedAtMs()}, false)
		}
	}
}

// pruneDepartures forgets the endpoints that have left. The caller holds mu.
func (fl *fleet) pruneDepartures(now time.Time) {
	se := fl.router.holder.Set()
	for er, de := range fl.departures {
		en, ok := se.Endpoints.ByID(er.ID)
		if (!ok || en.Run() != er) && now.Sub(de.notedAt) > leavingMemory {
			delete(fl.departures, er)
		}
	}
}
