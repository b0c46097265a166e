package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

const (
	bearer          = "Bearer "
	maxPeerBodySize = 16 << 20
	// carryPath is the path of requests to carry an attempt to an endpoint.
	carryPath = "/carry"
)

// Bills stores copies of peers' unsealed bills.
type Bills interface {
	Hold(rq *rpc.HoldBillsRequest)
}

// Pins answers other daemons' requests for the session pins that this daemon
// holds.
type Pins interface {
	Pin(ctx context.Context, rq *rpc.PinRequest) (*rpc.PinResponse, error)
}

// Crashes answers other daemons' reports of crashes to a holder of their prompt parts.
type Crashes interface {
	ReportCrashes(ctx context.Context, rq *rpc.ReportCrashesRequest) (*rpc.ReportCrashesResponse, error)
}

// EndpointChecker answers other daemons' questions whether an endpoint's process runs.
type EndpointChecker interface {
	CheckEndpoint(ctx context.Context, rq *rpc.CheckEndpointRequest) (*rpc.CheckEndpointResponse, error)
}

// LoadSharer answers other daemons' calls that exchange sums, such as an Aggregator.
type LoadSharer interface {
	ShareLoad(ctx context.Context, rq *rpc.ShareLoadRequest) (*rpc.ShareLoadResponse, error)
}

// Server serves the calls of other daemons. It implements rpc.PeerService.
type Server struct {
	group *Group
	bills Bills
	pins  Pins
	// crashes is nil on daemons that hold no reports.
	crashes Crashes
	// endpoints is nil on daemons that check no endpoints.
	endpoints EndpointChecker
	// loads is nil on daemons that share no loads.
	loads LoadSharer
	// carrier is nil on daemons that carry no attempts.
	carrier http.Handler
}

// NewServer returns a server. bi and pi are nil on daemons that hold no copies
// of bills or no pins.
func NewServer(gr *Group, bi Bills, pi Pins) *Server {
	return &Server{group: gr, bills: bi, pins: pi}
}

// WithCrashes makes the server answer reports of crashes, and returns it.
func (se *Server) WithCrashes(cr Crashes) *Server {
	se.crashes = cr
	return se
}

// WithEndpoints makes the server answer whether endpoints run, and returns it.
func (se *Server) WithEndpoints(ec EndpointChecker) *Server {
	se.endpoints = ec
	return se
}

// WithLoads makes the server answer calls that share loads, and returns it.
func (se *Server) WithLoads(lo LoadSharer) *Server {
	se.loads = lo
	return se
}

// WithCarrier makes the server answer requests to carry attempts, and returns it.
func (se *Server) WithCarrier(ha http.Handler) *Server {
	se.carrier = ha
	return se
}

// Handler returns the HTTP handler of the listener for peers. It answers
// requests without the shared key with status 401.
func (se *Server) Handler() http.Handler {
	tw := rpc.NewPeerServiceServer(se)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if !isBearer(rq.Header.Get("Authorization"), se.group.opt.SharedKey) {
			se.group.log.Warn(event.PeerCallRefused, nil, event.Fields{"from": rq.RemoteAddr})
			http.Error(wr, "shared key required", http.StatusUnauthorized)
			return
		}
		rq.Body = http.MaxBytesReader(wr, rq.Body, maxPeerBodySize)
		wr.Header()["Date"] = nil // peers do not read it
		if rq.URL.Path == carryPath && se.carrier != nil {
			se.carrier.ServeHTTP(wr, rq)
			return
		}
		if isTransfer(rq, rq.ContentLength) {
			se.group.transfers.Add(1)
			defer se.group.transfers.Add(-1)
		}
		tw.ServeHTTP(wr, rq)
	})
}

// Exchange implements rpc.PeerService. It merges the caller's items and returns
// those of this daemon that changed since the caller's last exchange.
func (se *Server) Exchange(ctx context.Context, rq *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	gr := se.group
	now := time.Now()
	gr.table.merge(rq.GetItems(), now)
	gr.mu.Lock()
	gr.lastContact[Incarnation(rq.GetFrom().GetIncarnation())] = now
	gr.mu.Unlock()
	theirs, mine := position{store.Revision(rq.GetPolicyRevision()), policy.RetainedDigest(rq.GetPolicyRetained())}, gr.position()
	form := policy.Form(rq.GetFrom().GetPolicyForm())
	if theirs.revision == mine.revision {
		gr.confirm(form, theirs.revision, quantity.Ago(now, rq.GetPolicyAgeMs()))
	}
	if theirs.urgent(mine) && gr.takes(form) {
		gr.noteAhead(rq.GetFrom().GetPeerAddress())
	}
	if rq.GetPolicyOnly() {
		return &rpc.ExchangeResponse{From: gr.identity(), PolicyRevision: int64(mine.revision), PolicyRetained: uint64(mine.retained), PolicyAgeMs: gr.policyAgeMS(now)}, nil
	}
	seen := rq.GetSeenChange()
	if rq.GetSeenIncarnation() != string(gr.Incarnation()) {
		seen = 0
	}
	its, change := gr.table.changedSince(seen, rq.GetAcceptsKeyHashes(), now)
	return &rpc.ExchangeResponse{
		From: gr.self(), Items: its, Change: change,
		PolicyRevision: int64(mine.revision), PolicyRetained: uint64(mine.retained), PolicyAgeMs: gr.policyAgeMS(now),
		AcceptsKeyHashes: true, ReceivesRecords: gr.transfers.Load() > 0,
	}, nil
}

// FetchPolicy implements rpc.PeerService. It returns the records changed after
// the caller's revision.
func (se *Server) FetchPolicy(_ context.Context, rq *rpc.FetchPolicyRequest) (*rpc.FetchPolicyResponse, error) {
	return se.group.policyAfter(position{store.Revision(rq.GetAfterRevision()), policy.RetainedDigest(rq.GetPolicyRetained())}), nil
}

// OfferPolicy implements rpc.PeerService. It ignores changes that start after a
// revision newer than this daemon's, as after a restart, since the changes in
// between would be missing.
func (se *Server) OfferPolicy(_ context.Context, rq *rpc.OfferPolicyRequest) (*rpc.OfferPolicyResponse, error) {
	gr, rs := se.group, rq.GetPolicy()
	mine := int64(gr.position().revision)
	if rs.GetRevision() > mine && (rs.GetComplete() || rq.GetAfterRevision() <= mine) {
		gr.applyPolicy(rs)
		gr.log.Info(event.PolicyFromPeer, event.Fields{"revision": rs.GetRevision(), "offered": true})
	}
	return &rpc.OfferPolicyResponse{}, nil
}

// HoldBills implements rpc.PeerService. A daemon that holds no copies of bills
// ignores the call.
func (se *Server) HoldBills(_ context.Context, rq *rpc.HoldBillsRequest) (*rpc.HoldBillsResponse, error) {
	if se.bills != nil {
		se.bills.Hold(rq)
	}
	return &rpc.HoldBillsResponse{}, nil
}

// Pin implements rpc.PeerService. A daemon that holds no pins returns the
// proposed version.
func (se *Server) Pin(ctx context.Context, rq *rpc.PinRequest) (*rpc.PinResponse, error) {
	if se.pins == nil {
		return &rpc.PinResponse{Version: rq.GetVersion()}, nil
	}
	return se.pins.Pin(ctx, rq)
}

// ReportCrashes implements rpc.PeerService. A daemon that holds no reports ignores the
// call.
func (se *Server) ReportCrashes(ctx context.Context, rq *rpc.ReportCrashesRequest) (*rpc.ReportCrashesResponse, error) {
	if se.crashes == nil {
		return &rpc.ReportCrashesResponse{}, nil
	}
	return se.crashes.ReportCrashes(ctx, rq)
}

// CheckEndpoint implements rpc.PeerService. A daemon that checks no endpoints cannot tell.
func (se *Server) CheckEndpoint(ctx context.Context, rq *rpc.CheckEndpointRequest) (*rpc.CheckEndpointResponse, error) {
	if se.endpoints == nil {
		return &rpc.CheckEndpointResponse{}, nil
	}
	return se.endpoints.CheckEndpoint(ctx, rq)
}

// ShareLoad implements rpc.PeerService. A daemon that shares no loads knows none.
func (se *Server) ShareLoad(ctx context.Context, rq *rpc.ShareLoadRequest) (*rpc.ShareLoadResponse, error) {
	if se.loads == nil {
		return &rpc.ShareLoadResponse{}, nil
	}
	return se.loads.ShareLoad(ctx, rq)
}

func equalSecret(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
