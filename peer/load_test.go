package peer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/peer"
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
