package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
)

const (
	// maxAskedPeers is the largest number of peers that are asked to carry one attempt.
	maxAskedPeers = 4
	// refusedMemory is how long a peer that did not carry an attempt is asked last.
	refusedMemory = 500 * time.Millisecond
	// maxCarried is the largest number of attempts that this router carries at a time, and
	// maxCarriedBytes that of the bytes of their requests' bodies.
	maxCarried      = 256
	maxCarriedBytes = 8 << 20
	// insistTime is for how long a call tries endpoints to which nobody has a path.
	insistTime = 300 * time.Millisecond
	// carriedPollInterval is how often WaitCarried looks.
	carriedPollInterval = 20 * time.Millisecond
)

// Reasons for which a router does not carry an attempt.
var (
	errCarrierDraining   = eris.New("router is draining")
	errCarrierPathLost   = eris.New("router has no path to the service itself")
	errCarrierFull       = eris.New("router carries as many attempts as it may")
	errEndpointUnknown   = eris.New("router does not know this run of the endpoint")
	errEndpointSuspended = eris.New("endpoint failed at the router, which another peer may reach")
	errEndpointSpared    = eris.New("endpoint is leaving, evacuated or asked the router for a pause")
)

// carriers are the peers that carry this router's attempts while it has no path to a service's
// endpoints, and what it carries for peers.
//
// mu guards refusedAt. No other lock is taken while it is held.
type carriers struct {
	router *Router
	// carrying and bytes are what this router carries now; the others count since its start.
	carrying, bytes           atomic.Int64
	sentBy, carried, notTaken atomic.Int64

	mu sync.Mutex
	// refusedAt is when peers last did not carry an attempt.
	refusedAt map[vm.ID]time.Time
}

func newCarriers(ro *Router) *carriers {
	return &carriers{router: ro, refusedAt: map[vm.ID]time.Time{}}
}

// peers returns the peers to ask for a service, in order: those of this router's failure domain
// before the others, at random, and last those that refused of late.
func (cr *carriers) peers(now time.Time, id policy.ServiceID) []peer.Member {
	var near, far, last []peer.Member
	gr := cr.router.peers
	for _, mb := range gr.RoutersWithPath(id) {
		switch {
		case cr.refusedOfLate(now, mb.VM):
			last = append(last, mb)
		case mb.FailureDomain == gr.FailureDomain():
			near = append(near, mb)
		default:
			far = append(far, mb)
		}
	}
	for _, mbs := range [][]peer.Member{near, far, last} {
		rand.Shuffle(len(mbs), func(i, j int) { mbs[i], mbs[j] = mbs[j], mbs[i] })
	}
	return append(append(near, far...), last...)
}

func (cr *carriers) refusedOfLate(now time.Time, id vm.ID) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return now.Sub(cr.refusedAt[id]) < refusedMemory
}

func (cr *carriers) noteRefusal(now time.Time, id vm.ID) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.refusedAt[id] = now
}

// forward sends an attempt's request to its endpoint: by a peer if this router has no path to
// the service and there is such a peer, or else by itself.
func (at *attempt) forward(ctx context.Context, ca endpoint.ForwardCall) (*endpoint.ForwardAnswer, error) {
	ro := at.router
	ca.Path = at.path()
	if ca.Path.Lost() {
		if mbs := ro.carriers.peers(time.Now(), at.service()); len(mbs) > 0 {
			return at.forwardVia(ctx, ca, mbs[:min(maxAskedPeers, len(mbs))])
		}
		// Nobody has a path, or many endpoints are down, so that no probe found another one.
		ca.Insist = at.call.insists(time.Now())
	}
	defer ca.Path.WatchSilence()()
	return ro.client.Forward(ctx, ca)
}

// insists reports whether a call tries endpoints to which there is no path. While all of them hang,
// its caller had better be refused soon.
func (ca *call) insists(now time.Time) bool {
	if ca.insistsUntil.IsZero() {
		ca.insistsUntil = now.Add(insistTime)
	}
	return now.Before(ca.insistsUntil)
}

// forwardVia sends an attempt's request by the first peer that takes it.
func (at *attempt) forwardVia(ctx context.Context, ca endpoint.ForwardCall, mbs []peer.Member) (*endpoint.ForwardAnswer, error) {
	ro := at.router
	at.carried = true
	var an *endpoint.ForwardAnswer
	var err error
	for _, mb := range mbs {
		ca.Via = &endpoint.Via{
			URL: ro.peers.CarryURL(mb), Authorization: ro.peers.Authorization(),
			Endpoint: string(at.endpoint.ID), StartedAtMs: at.endpoint.StartedAtMs, Deadline: at.call.deadline, Request: string(at.call.request.ID),
		}
		an, err = ro.client.Forward(ctx, ca)
		var fa *endpoint.Failure
		if !errors.As(err, &fa) {
			ro.carriers.sentBy.Add(1)
			return an, err
		}
		if fa.Hop {
			ro.carriers.noteRefusal(time.Now(), mb.VM)
		}
		if fa.Sent || !fa.Hop || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

// Carry is the handler of peers' requests to carry an attempt to an endpoint.
func (ro *Router) Carry(wr http.ResponseWriter, rq *http.Request) {
	received, cr := time.Now(), ro.carriers
	// The request's size counts before it is read: many may arrive at once.
	size := quantity.Bounds[int64]{Min: 0, Max: maxCarriedBytes + 1}.Clamp(rq.ContentLength)
	cr.bytes.Add(size)
	defer cr.bytes.Add(-size)
	cr.carrying.Add(1)
	defer cr.carrying.Add(-1)
	if cr.isFull() {
		// The peer reads the answer once it has written its request.
		_, _ = io.Copy(io.Discard, rq.Body)
		cr.refuse(wr, errCarrierFull)
		return
	}
	ms, err := endpoint.ReadCarry(rq)
	if err != nil {
		http.Error(wr, "malformed", http.StatusBadRequest)
		return
	}
	en, err := cr.endpointFor(received, ms)
	if err != nil {
		cr.refuse(wr, err)
		return
	}
	cr.carry(rq.Context(), wr, ms, en, received)
}

// isFull reports whether this router carries more than it may, the attempt that asks included.
func (cr *carriers) isFull() bool {
	return cr.carrying.Load() > maxCarried || cr.bytes.Load() > maxCarriedBytes
}

// refuse tells a peer why its attempt is not carried.
func (cr *carriers) refuse(wr http.ResponseWriter, err error) {
	cr.notTaken.Add(1)
	endpoint.WriteCarryFailure(wr, &endpoint.Failure{Cause: endpoint.CauseNotCarried, Err: err})
}

// endpointFor returns the endpoint to which a peer's request goes, or the reason why this
// router does not carry it. Its limit is not looked at: the peer has taken the request from
// its own part of that.
func (cr *carriers) endpointFor(now time.Time, ms *rpc.CarryRequest) (policy.Endpoint, error) {
	ro := cr.router
	en, ok := ro.holder.Set().Endpoints.ByID(policy.EndpointID(ms.GetEndpoint()))
	switch {
	case !ro.Ready():
		return en, errCarrierDraining
	case !ok || en.StartedAtMs != ms.GetStartedAtMs():
		return en, errEndpointUnknown
	case ro.paths.Lost(policy.ServiceID(en.Service)):
		return en, errCarrierPathLost
	case ro.fleet.spared(en) != "":
		return en, errEndpointSpared
	case ro.balancer.Condition(now, en.ID).Suspended:
		return en, errEndpointSuspended
	}
	if _, paused := ro.pauses.End(now, en.Run()); paused {
		return en, errEndpointSpared
	}
	return en, nil
}

// carry sends a peer's request to an endpoint, and the answer back.
func (cr *carriers) carry(ctx context.Context, wr http.ResponseWriter, ms *rpc.CarryRequest, en policy.Endpoint, received time.Time) {
	ro := cr.router
	ca := endpoint.CarriedCall(ms, en.Url, received)
	ca.Path = ro.paths.Of(policy.ServiceID(en.Service))
	ctx, cancel := context.WithDeadline(ctx, ca.HeaderDeadline)
	defer cancel()
	an, err := ro.client.Forward(ctx, ca)
	var fa *endpoint.Failure
	if errors.As(err, &fa) {
		endpoint.WriteCarryFailure(wr, failureAtCarrier(ctx, fa, ca.Path))
		return
	}
	defer an.Close()
	cr.carried.Add(1)
	now := time.Now()
	head := ro.options().Dialect.Head(an.Status, an.Header, now)
	if head.Request == "" || head.Request == RequestID(ms.GetRequest()) {
		ro.noteHead(en, head, an.Status, received, now)
	}
	endpoint.WriteCarried(wr, an)
}

// failureAtCarrier returns the failure that the peer is told. If nothing was sent because this
// router has lost its path too, another one may carry the attempt.
func failureAtCarrier(ctx context.Context, fa *endpoint.Failure, pa *endpoint.Path) *endpoint.Failure {
	if fa.Sent {
		return fa
	}
	pa.Doubt()
	if pa.Settle(ctx) {
		return &endpoint.Failure{Cause: endpoint.CauseNotCarried, Err: errCarrierPathLost}
	}
	return fa
}

// WaitCarried blocks until this router carries no attempt, or ctx is done.
func (ro *Router) WaitCarried(ctx context.Context) {
	for ro.carriers.carrying.Load() > 0 && ctx.Err() == nil {
		time.Sleep(carriedPollInterval)
	}
}

// Carried returns the numbers of attempts that peers carried for this router, that it carried
// for peers, and that it did not take.
func (ro *Router) Carried() map[string]float64 {
	cr := ro.carriers
	return map[string]float64{"sent": float64(cr.sentBy.Load()), "carried": float64(cr.carried.Load()), "not_taken": float64(cr.notTaken.Load())}
}
