package router

import (
	"context"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// maxAskedPeers is how many peers are asked, one after the other, whether an endpoint runs. Many VMs
	// may have lost their path at once, and not have told so yet.
	maxAskedPeers = 64
	// maxSilentPeers is how many of them may give no answer, and askTimeout the time limit of each call.
	maxSilentPeers = 2
	askTimeout     = 300 * time.Millisecond
	// checkTimeout is the time limit of a check for a peer, which then still gets the answer.
	checkTimeout = 250 * time.Millisecond
)

// endpointProber tells whether endpoints run. Without a path to them it asks peers that have one. It
// implements quarantine.Prober and peer.EndpointChecker.
type endpointProber struct {
	paths *endpoint.Paths
	peers *peer.Group
}

// Alive implements quarantine.Prober. An endpoint that nobody reaches does not run.
func (ep endpointProber) Alive(ctx context.Context, id policy.ServiceID, address string) bool {
	if alive, checked := ep.check(ctx, id, address); checked {
		return alive
	}
	mbs := ep.peers.RoutersWithPath(id)
	rand.Shuffle(len(mbs), func(i, j int) { mbs[i], mbs[j] = mbs[j], mbs[i] })
	silent := 0
	for _, mb := range mbs[:min(maxAskedPeers, len(mbs))] {
		rs, err := ep.ask(ctx, mb, &rpc.CheckEndpointRequest{Service: string(id), Address: address})
		if err == nil && rs.GetChecked() {
			return rs.GetAlive()
		}
		if err != nil {
			silent++
		}
		if silent == maxSilentPeers {
			break
		}
	}
	return false
}

func (ep endpointProber) ask(ctx context.Context, mb peer.Member, rq *rpc.CheckEndpointRequest) (*rpc.CheckEndpointResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return ep.peers.Peer(mb.PeerAddress).CheckEndpoint(ctx, rq)
}

// CheckEndpoint implements peer.EndpointChecker.
func (ep endpointProber) CheckEndpoint(ctx context.Context, rq *rpc.CheckEndpointRequest) (*rpc.CheckEndpointResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	alive, checked := ep.check(ctx, policy.ServiceID(rq.GetService()), rq.GetAddress())
	return &rpc.CheckEndpointResponse{Checked: checked, Alive: alive}, nil
}

// check reports whether an endpoint runs. checked is false if this router has no path to it, or doesn't
// know whether it has one before ctx is done.
func (ep endpointProber) check(ctx context.Context, id policy.ServiceID, address string) (alive, checked bool) {
	if ep.paths.Lost(id) {
		return false, false
	}
	if ep.paths.Alive(ctx, id, address) {
		return true, true
	}
	return false, !ep.paths.Settle(ctx, id) && ctx.Err() == nil
}
