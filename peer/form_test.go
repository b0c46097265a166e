package peer_test

import (
	"fmt"
	"net/http"
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

// routerGroup is the group of a router whose build translates records in a form.
type routerGroup struct {
	*peer.Group
	holder *configuration.Holder
}

// startGroups starts a group for each name, all of which exchange with each other until stop is
// called. Those in held hold records from the start.
func startGroups(t *testing.T, forms map[string]policy.Form, held map[string]func(ho *configuration.Holder)) (gps map[string]routerGroup, stop func()) {
	t.Helper()
	gr, servers := worker.NewGroup(), []*http.Server{}
	ne, out, seeds := testsite.NewNetwork(), map[string]routerGroup{}, []string{}
	for name := range forms {
		seeds = append(seeds, name+":80")
	}
	for name, form := range forms {
		ho := configuration.NewHolder(event.Discard())
		if hold, ok := held[name]; ok {
			hold(ho)
		}
		gp := peer.NewGroup(peer.Options{
			Self: &rpc.Member{Vm: name, Role: peer.RoleRouter, PeerAddress: name + ":80", PolicyForm: int64(form)}, SharedKey: "the shared key",
			Interval: 500 * time.Millisecond, Fanout: len(forms), FailedAfter: 2 * time.Second, Seeds: seeds, MaxPassedAge: time.Second,
		}, ho, ne.ForHost(testsite.Host(name)), event.Discard())
		sv := &http.Server{Handler: peer.NewServer(gp, nil, nil).Handler(), ReadHeaderTimeout: time.Minute}
		qt.Assert(t, ne.ForHost(testsite.Host(name)).Serve(gr, name+":80", sv, func(error) {}), qt.IsNil)
		gr.Go(gp.Run)
		servers, out[name] = append(servers, sv), routerGroup{gp, ho}
	}
	return out, func() {
		for _, sv := range servers {
			_ = sv.Close()
		}
		gr.Close()
		for _, gp := range out {
			gp.Close()
		}
	}
}

// serviceRecords returns a record of each service, changed at a revision.
func serviceRecords(t *testing.T, revision store.Revision, ids ...string) []policy.StoredRecord {
	t.Helper()
	var out []policy.StoredRecord
	for _, id := range ids {
		re, err := policy.NewRecord(policy.KindService, id, &rpc.Service{})
		qt.Assert(t, err, qt.IsNil)
		out = append(out, policy.StoredRecord{Key: re.Key(), Value: re.JSON, ModRevision: revision})
	}
	return out
}

// TestPeerOfAnEarlierBuildHidesNoVersion has a router of an earlier build, which left out a
// version of the configuration, be at a later revision than two of this build. One that took its
// records, or its word that there was nothing newer, never got the version.
func TestPeerOfAnEarlierBuildHidesNoVersion(t *testing.T) {
	for earlier := range policy.NewestForm {
		t.Run(fmt.Sprint("form ", earlier), func(t *testing.T) { hidesNoVersion(t, earlier) })
	}
}

func hidesNoVersion(t *testing.T, earlier policy.Form) {
	synctest.Test(t, func(t *testing.T) {
		behind := func(ho *configuration.Holder) { ho.Replace(7, serviceRecords(t, 6, "a")) }
		gps, stop := startGroups(t, map[string]policy.Form{"old": earlier, "new": policy.NewestForm, "behind": policy.NewestForm}, map[string]func(*configuration.Holder){
			"new": behind, "behind": behind, "old": func(ho *configuration.Holder) {
				ho.Replace(9, serviceRecords(t, 6, "a"))
				ho.Confirm(9, time.Now())
			},
		})
		defer stop()
		time.Sleep(3 * time.Second)
		qt.Assert(t, gps["behind"].holder.Set().Revision, qt.Equals, store.Revision(7))
		qt.Assert(t, time.Since(gps["behind"].holder.Evidence()) > time.Hour, qt.IsTrue)
		qt.Assert(t, gps["behind"].Upstreams(), qt.DeepEquals, []string{"new:80"})
		// The router of this build that has read the store passes the version on, also to the
		// earlier build.
		gps["new"].holder.Replace(10, serviceRecords(t, 8, "a", "b"))
		time.Sleep(3 * time.Second)
		for name := range gps {
			qt.Check(t, gps[name].holder.Set().Services.Len(), qt.Equals, 2, qt.Commentf("%s", name))
		}
	})
}

// TestRecordsOfAnEarlierBuildBridgeAStart has a router start while it does not reach the store
// and only a router of an earlier build is there: it uses that one's records until it has read
// the store itself, even at the same revision.
func TestRecordsOfAnEarlierBuildBridgeAStart(t *testing.T) {
	for earlier := range policy.NewestForm {
		t.Run(fmt.Sprint("form ", earlier), func(t *testing.T) { bridgeAStart(t, earlier) })
	}
}

func bridgeAStart(t *testing.T, earlier policy.Form) {
	// Builds of form 0 do not know records of callers' keys, and so do not take them away.
	known := min(1, int(earlier))
	synctest.Test(t, func(t *testing.T) {
		stale := serviceRecords(t, 6, "a")
		keys, err := policy.NewRecord(policy.KindCallerKeys, "t", &rpc.CallerKeys{KeyDigests: policy.DigestKeys([]string{"taken away"})})
		qt.Assert(t, err, qt.IsNil)
		stale = append(stale, policy.StoredRecord{Key: keys.Key(), Value: keys.JSON, ModRevision: 6})
		gps, stop := startGroups(t, map[string]policy.Form{"old": earlier, "new": policy.NewestForm}, map[string]func(*configuration.Holder){
			"old": func(ho *configuration.Holder) { ho.Replace(9, stale) },
		})
		defer stop()
		time.Sleep(3 * time.Second)
		se := gps["new"].holder.Set()
		qt.Assert(t, se.Services.Len(), qt.Equals, 1)
		qt.Assert(t, se.Form, qt.Equals, earlier)
		qt.Assert(t, se.CallerKeys.Len(), qt.Equals, known)
		qt.Assert(t, time.Since(gps["new"].holder.Evidence()) > time.Hour, qt.IsTrue)
		gps["new"].holder.Replace(9, serviceRecords(t, 8, "a", "b"))
		qt.Assert(t, gps["new"].holder.Set().Services.Len(), qt.Equals, 2)
		qt.Assert(t, gps["new"].holder.Set().Form, qt.Equals, policy.NewestForm)
	})
}
