package peer_test

import (
	"context"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
)

// TestLoadsOfThousandsOfEndpointsAreBounded guards against filling a relay's link: with 3,000
// endpoints each relay sent 6 MB/s to the routers of its failure domain, and changes of the
// configuration came 8 to 17 s late. Those that matter most are kept.
func TestLoadsOfThousandsOfEndpointsAreBounded(t *testing.T) {
	const all, most = 3000, 300
	lo := peer.Loads{}
	for n := range all {
		lo[peer.EndpointHash(n)] = peer.EndpointLoad{Running: int64(n / 10), Backlog: time.Duration(n) * time.Millisecond}
	}
	got := lo.Largest(most)
	qt.Assert(t, got, qt.HasLen, most)
	for n := all - most; n < all; n++ {
		qt.Check(t, got[peer.EndpointHash(n)], qt.Equals, lo[peer.EndpointHash(n)])
	}
	qt.Assert(t, got.Largest(most+1), qt.HasLen, most)
	qt.Assert(t, lo, qt.HasLen, all)
}

// TestLoadsInMessagesDoNotWrap has loads that no field of a message holds. They wrapped: an endpoint
// with the most work was told to have none.
func TestLoadsInMessagesDoNotWrap(t *testing.T) {
	gr, _ := newHandler()
	for _, tc := range []struct{ told, want peer.EndpointLoad }{
		{peer.EndpointLoad{Running: 3, Backlog: time.Second}, peer.EndpointLoad{Running: 3, Backlog: time.Second}},
		{peer.EndpointLoad{Running: 1 << 32, Backlog: (1 << 32) * time.Millisecond}, peer.EndpointLoad{Running: 1 << 20, Backlog: time.Hour}},
		{peer.EndpointLoad{Running: math.MaxInt64, Backlog: math.MaxInt64}, peer.EndpointLoad{Running: 1 << 20, Backlog: time.Hour}},
		{peer.EndpointLoad{Running: 1, Backlog: math.MinInt64}, peer.EndpointLoad{Running: 1}},
	} {
		ag := peer.NewAggregator(gr, func() peer.Sums { return peer.Sums{Loads: peer.Loads{7: tc.told}} }, func(peer.Sums) {})
		rs, err := ag.ShareLoad(context.Background(), &rpc.ShareLoadRequest{Domain: true, FailureDomain: "fd"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rs.GetLoads().GetRunning(), qt.HasLen, 1)
		got := peer.EndpointLoad{Running: int64(rs.GetLoads().GetRunning()[0]), Backlog: time.Duration(rs.GetLoads().GetBacklogMs()[0]) * time.Millisecond}
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf("%v", tc.told))
	}
}
