package peer_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestPeersThatRetainDifferentRecordsExchangeInRounds has two daemons retain different states
// of a roll-out, of which neither takes the other's. They notified each other without end.
func TestPeersThatRetainDifferentRecordsExchangeInRounds(t *testing.T) {
	const rounds = 20
	synctest.Test(t, func(t *testing.T) {
		ne := testsite.NewNetwork()
		var exchanges atomic.Int64
		gr := worker.NewGroup()
		defer gr.Close()
		for name, share := range map[string]float64{"a": 0.1, "b": 0.2} {
			ho := configuration.NewHolder(event.Discard())
			re, err := policy.NewRecord(policy.KindRollout, "desk", &rpc.Rollout{Service: "desk", ToVersion: "v2", TrialShare: share, StartedAtMs: 1})
			qt.Assert(t, err, qt.IsNil)
			early, err := store.NewRevision(1, 9)
			qt.Assert(t, err, qt.IsNil)
			restored, err := store.NewRevision(2, 5)
			qt.Assert(t, err, qt.IsNil)
			ho.Replace(early, []policy.StoredRecord{{Key: re.Key(), Value: re.JSON, ModRevision: early}})
			ho.Replace(restored, nil)
			gp := peer.NewGroup(peer.Options{
				Self: &rpc.Member{Vm: name, Role: peer.RoleRouter, PeerAddress: name + ":80"}, SharedKey: "the shared key",
				Interval: 500 * time.Millisecond, Fanout: 1, FailedAfter: 2 * time.Second, Seeds: []string{"a:80", "b:80"},
			}, ho, ne.ForHost(testsite.Host(name)), event.Discard())
			ha := peer.NewServer(gp, nil, nil).Handler()
			counted := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				if strings.HasSuffix(rq.URL.Path, "/Exchange") && exchanges.Add(1) > 100*rounds {
					// Without this, exchanges without end would stop the virtual time.
					time.Sleep(time.Second)
				}
				ha.ServeHTTP(wr, rq)
			})
			sv := &http.Server{Handler: counted, ReadHeaderTimeout: time.Minute}
			defer func() { _ = sv.Close() }()
			err = ne.ForHost(testsite.Host(name)).Serve(gr, name+":80", sv, func(error) {})
			qt.Assert(t, err, qt.IsNil)
			gr.Go(gp.Run)
			defer gp.Close()
		}
		time.Sleep(rounds * 500 * time.Millisecond)
		qt.Check(t, exchanges.Load() <= 3*rounds, qt.IsTrue, qt.Commentf("%d exchanges", exchanges.Load()))
	})
}
