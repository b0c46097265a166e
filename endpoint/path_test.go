package endpoint_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestPathState follows the decision whether the path is lost.
func TestPathState(t *testing.T) {
	now := time.Now()
	var ps endpoint.PathState
	_, due := ps.NextRound()
	qt.Assert(t, due, qt.IsFalse)

	ps.Failed(now)
	at, due := ps.NextRound()
	qt.Assert(t, due && !at.After(now), qt.IsTrue, qt.Commentf("the first round is due at once"))
	qt.Assert(t, ps.Settled(), qt.IsFalse)
	ps.RoundBegan(now)
	qt.Assert(t, ps.Proved(now.Add(time.Millisecond)), qt.IsFalse)
	qt.Assert(t, ps.Settled() && !ps.Lost(), qt.IsTrue)
	qt.Assert(t, ps.RoundFailed(), qt.IsFalse, qt.Commentf("a connection was made meanwhile"))
	ps.Failed(now.Add(50 * time.Millisecond))
	qt.Assert(t, ps.Settled(), qt.IsTrue, qt.Commentf("the path was proven a moment ago"))

	now = now.Add(200 * time.Millisecond)
	ps.Failed(now)
	at, due = ps.NextRound()
	qt.Assert(t, due && at.After(now), qt.IsTrue, qt.Commentf("rounds do not follow closely"))
	ps.RoundBegan(at)
	qt.Assert(t, ps.RoundFailed(), qt.IsTrue)
	qt.Assert(t, ps.Lost() && ps.Settled(), qt.IsTrue)

	next, due := ps.NextRound()
	qt.Assert(t, due && next.Sub(at) >= 400*time.Millisecond, qt.IsTrue)
	ps.RoundBegan(next)
	qt.Assert(t, ps.RoundFailed(), qt.IsFalse, qt.Commentf("it is lost already"))
	qt.Assert(t, ps.Proved(next), qt.IsTrue)
	qt.Assert(t, ps.Lost(), qt.IsFalse)
}

// pathHost is the host whose path is watched.
const pathHost testsite.Host = "vm"

// watchedPath returns a path to listeners at addresses, and a function that waits until its
// state is known.
func watchedPath(t *testing.T, nw *testsite.Network, addresses []string) (*endpoint.Path, func() bool) {
	t.Helper()
	gr := worker.NewGroup()
	for _, address := range addresses {
		li, err := nw.ForHost("endpoints").Listen(address)
		qt.Assert(t, err, qt.IsNil)
		gr.Go(func(ctx context.Context) {
			context.AfterFunc(ctx, func() { _ = li.Close() })
			for {
				if _, err := li.Accept(); err != nil {
					return
				}
			}
		})
	}
	pa := endpoint.NewPath(nw.ForHost(pathHost))
	gr.Go(func(ctx context.Context) {
		pa.Run(ctx, func() []string { return append([]string(nil), addresses...) }, func(bool) {})
	})
	t.Cleanup(gr.Close)
	return pa, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		return pa.Settle(ctx)
	}
}

func someAddresses(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.1.0.%d:80", i))
	}
	return out
}

// TestPathIsSoundWhileOneEndpointFails has a connection to one endpoint of six fail.
func TestPathIsSoundWhileOneEndpointFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, addresses := testsite.NewNetwork(), someAddresses(6)
		pa, settled := watchedPath(t, nw, addresses)
		nw.RefuseNew(pathHost, addresses[0])
		_, err := pa.Network().Dial(t.Context(), "tcp", addresses[0])
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, settled(), qt.IsFalse)
	})
}

// TestPathIsSoundWhileMostEndpointsAreDown has 13 of 14 endpoints refuse connections. The path
// was found to be lost, as the probes of a round were all among these.
func TestPathIsSoundWhileMostEndpointsAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, addresses := testsite.NewNetwork(), someAddresses(14)
		pa, settled := watchedPath(t, nw, addresses)
		for _, address := range addresses[1:] {
			nw.RefuseNew(pathHost, address)
		}
		for range 20 {
			_, err := pa.Network().Dial(t.Context(), "tcp", addresses[1])
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, settled(), qt.IsFalse)
			time.Sleep(time.Second)
		}
	})
}

// TestPathIsLostAndBack has all new connections refused, or hang, for a time.
func TestPathIsLostAndBack(t *testing.T) {
	for name, fail := range map[string]func(*testsite.Network, testsite.Host, string){
		"refused": (*testsite.Network).RefuseNew, "hanging": (*testsite.Network).HangNew,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw, addresses := testsite.NewNetwork(), someAddresses(6)
				pa, settled := watchedPath(t, nw, addresses)
				for _, address := range addresses {
					fail(nw, pathHost, address)
				}
				began := time.Now()
				_, err := pa.Network().Dial(t.Context(), "tcp", addresses[0])
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, settled(), qt.IsTrue)
				qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("known after %s", time.Since(began)))

				began = time.Now()
				_, err = pa.Network().Dial(t.Context(), "tcp", addresses[1])
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0), qt.Commentf("nothing is dialled without a path"))

				for _, address := range addresses {
					nw.Restore(pathHost, address)
				}
				time.Sleep(time.Second)
				qt.Assert(t, pa.Lost(), qt.IsFalse)
			})
		})
	}
}

// TestPathIsLostByService has new connections to the endpoints of one service refused. The path
// to those of the other was taken for that of the first.
func TestPathIsLostByService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, addresses := testsite.NewNetwork(), someAddresses(6)
		watchedPath(t, nw, addresses)
		of := map[policy.ServiceID][]string{"reached": addresses[:3], "lost": addresses[3:]}
		for _, address := range of["lost"] {
			nw.RefuseNew(pathHost, address)
		}
		paths := endpoint.NewPaths(nw.ForHost(pathHost))
		gr := worker.NewGroup()
		t.Cleanup(gr.Close)
		gr.Go(func(ctx context.Context) {
			paths.Run(ctx, func(id policy.ServiceID) []string { return slices.Clone(of[id]) }, func(policy.ServiceID, bool) {})
		})
		for id, lost := range map[policy.ServiceID]bool{"reached": false, "lost": true, "without endpoints": false} {
			paths.Of(id).Doubt()
			qt.Check(t, paths.Of(id).Settle(t.Context()), qt.Equals, lost, qt.Commentf("%s", id))
			qt.Check(t, paths.Lost(id), qt.Equals, lost, qt.Commentf("%s", id))
		}
		for _, address := range of["lost"] {
			nw.Restore(pathHost, address)
		}
		time.Sleep(time.Second)
		qt.Check(t, paths.Lost("lost"), qt.IsFalse)
	})
}

// TestClosedPathIsSettled closes paths while they are in doubt. Requests must not wait for them.
func TestClosedPathIsSettled(t *testing.T) {
	paths := endpoint.NewPaths(testsite.NewNetwork().ForHost(pathHost))
	gr := worker.NewGroup()
	gr.Go(func(ctx context.Context) {
		paths.Run(ctx, func(policy.ServiceID) []string { return nil }, func(policy.ServiceID, bool) {})
	})
	gr.Close()
	paths.Of("new").Doubt()
	qt.Check(t, paths.Of("new").Settle(t.Context()), qt.IsFalse)
}

// TestSilenceRaisesDoubt has requests wait while nothing is received from any endpoint.
func TestSilenceRaisesDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, addresses := testsite.NewNetwork(), someAddresses(6)
		pa, _ := watchedPath(t, nw, addresses)
		for _, address := range addresses {
			nw.HangNew(pathHost, address)
		}
		defer pa.WatchSilence()()
		time.Sleep(2 * time.Second)
		qt.Assert(t, pa.Lost(), qt.IsTrue)
	})
}
