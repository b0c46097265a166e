package proof_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// lastReceived returns when an engine last received a request for a model, or the
// zero time.
func lastReceived(si *testsite.Site, model string) time.Time {
	var last time.Time
	for _, en := range si.Engines {
		for _, ra := range en.Runs() {
			if ra.Model == model && ra.ReceivedAt.After(last) {
				last = ra.ReceivedAt
			}
		}
	}
	return last
}

// TestOrganisationUsesOnlyAllowedModels asks for models, cascades, ranks and services
// that an organisation may not use.
func TestOrganisationUsesOnlyAllowedModels(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for _, model := range []string{"large", "large-1", "auto", "nothing"} {
			an := si.Chat(testsite.Call{Key: testsite.RestrictedKey, Model: model})
			qt.Assert(t, an.Status, qt.Equals, 404)
			qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		}
		qt.Assert(t, si.Chat(testsite.Call{Key: testsite.RestrictedKey, Model: "m"}).Status, qt.Equals, 200)
		qt.Assert(t, si.Chat(testsite.Call{Key: "unknown"}).Status, qt.Equals, 401)
		an := si.Chat(testsite.Call{Key: testsite.RestrictedKey, Header: map[string]string{entry.HeaderRank: "urgent"}})
		qt.Assert(t, an.Status, qt.Equals, 403)
		an = si.Checkout(testsite.Call{Key: testsite.RestrictedKey}, "POST", "key", "{}")
		qt.Assert(t, an.Status, qt.Equals, 404)
		list := si.Get(testsite.Call{Key: testsite.RestrictedKey}, "/v1/models").Body
		qt.Assert(t, list, qt.Contains, `"m-1"`)
		qt.Assert(t, list, qt.Not(qt.Contains), "large")
		// A cascade uses only those of its models that the organisation may use.
		si.Apply(testsite.Record("organisation", "verse", fmt.Sprintf(
			`{"key_hashes":[%q],"allowed_models":["auto","m"],"allowed_ranks":["standard"]}`, hashKey(testsite.RestrictedKey))))
		time.Sleep(healthyPropagationLimit)
		for range 40 {
			an := si.Chat(testsite.Call{Key: testsite.RestrictedKey, Model: "auto"})
			qt.Assert(t, an.Header.Get(entry.HeaderVersion), qt.Equals, "m-1")
		}
	})
}

// TestRequestsQueuedForWithdrawnVersionRunOnAnother fills the queue of a slow engine
// and withdraws the version that the requests are queued for. No request may be sent
// to it after all entries have the change.
func TestRequestsQueuedForWithdrawnVersionRunOnAnother(t *testing.T) {
	slowEngine := standin.EngineOptions{Slots: 8, Prefill: 20 * time.Millisecond, TokenInterval: 20 * time.Millisecond, CachedPrefixes: 4}
	withSite(t, testsite.Options{Entries: 2, Engines: 1, Engine: slowEngine}, func(t *testing.T, si *testsite.Site) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		versions := map[string]int{}
		for i := range 60 {
			wg.Go(func() {
				an := si.Chat(testsite.Call{Entry: 1 + i%2, Tokens: 30})
				qt.Check(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
				mu.Lock()
				defer mu.Unlock()
				versions[an.Header.Get(entry.HeaderVersion)]++
			})
		}
		time.Sleep(300 * time.Millisecond)
		revision := si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		si.Eventually(healthyPropagationLimit, "withdrawal applied", hasRevision(si, revision, 1, 2))
		withdrawnAt := time.Now()
		wg.Wait()
		qt.Assert(t, versions["m-2"] > 10, qt.IsTrue, qt.Commentf("%v", versions))
		qt.Assert(t, lastReceived(si, "m-1").After(withdrawnAt), qt.IsFalse)
	})
}

// TestWithdrawnVersionGetsNoRetries withdraws a version between the attempts of a
// request that names it.
func TestWithdrawnVersionGetsNoRetries(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 3, EntrySettings: map[string]string{"serving": "progress = 1s"}}, func(t *testing.T, si *testsite.Site) {
		// The first attempt gets no answer, and a frozen engine does not run it. The
		// version is withdrawn before the entry retries the request.
		for _, en := range si.Engines {
			en.SetFaults(standin.Faults{Freeze: true})
		}
		var wg sync.WaitGroup
		wg.Go(func() {
			an := si.Chat(testsite.Call{Model: "m-1"})
			qt.Check(t, an.Status, qt.Equals, 410, qt.Commentf("%s", an.Body))
			qt.Check(t, an.Ran(), qt.Equals, entry.RanUnknown)
		})
		time.Sleep(200 * time.Millisecond)
		si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		for _, en := range si.Engines {
			en.SetFaults(standin.Faults{})
		}
		wg.Wait()
		qt.Assert(t, lastReceived(si, "m-1").IsZero(), qt.IsTrue)
	})
}

// runningRollout returns the record of a roll-out from m-1 to m-2 that is running
// with a share of the requests on m-2, between 0 and 1.
func runningRollout(share float64) string {
	return testsite.Record("rollout", "r", fmt.Sprintf(
		`{"model":"m","from_version":"m-1","to_version":"m-2","share":%g,"state":"RUNNING","steps":[0.1,0.5,1],"answers_per_step":40}`, share))
}

// TestSessionKeepsItsVersion follows sessions by their IDs and by their tokens while
// the share of a roll-out changes and each entry is killed and restarted.
func TestSessionKeepsItsVersion(t *testing.T) {
	withSite(t, testsite.Options{Entries: 6, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		const sessions = 40
		version, token := map[int]string{}, map[int]string{}
		sendRequests := func(round int) {
			for se := range sessions {
				header := map[string]string{entry.HeaderSessionID: fmt.Sprintf("session-%d", se)}
				if se%2 == 1 && token[se] != "" {
					header = map[string]string{entry.HeaderSession: token[se]}
				}
				an := si.Chat(testsite.Call{Entry: 1 + (se+round)%6, Header: header})
				qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
				got := an.Header.Get(entry.HeaderVersion)
				if version[se] == "" {
					version[se] = got
				}
				qt.Assert(t, got, qt.Equals, version[se], qt.Commentf("round %d session %d", round, se))
				token[se] = an.Header.Get(entry.HeaderSession)
			}
		}
		for round, share := range []float64{0.5, 1, 0.1, 0.9, 0.3, 0.6} {
			si.Apply(runningRollout(share))
			time.Sleep(healthyPropagationLimit)
			sendRequests(round)
			// Every entry is killed and restarted in turn.
			si.KillEntry(1 + round)
			time.Sleep(3 * time.Second)
			si.StartEntry(1 + round)
			time.Sleep(4 * time.Second)
		}
		sendRequests(6)
		count := map[string]int{}
		for _, ve := range version {
			count[ve]++
		}
		qt.Assert(t, count["m-1"] > 5 && count["m-2"] > 5, qt.IsTrue, qt.Commentf("%v", count))
	})
}

// TestSessionsSurviveFailureDomainLoss kills all entries of one failure domain
// at once. Sessions identified by their ID must keep their versions at entries that
// have not served them before.
func TestSessionsSurviveFailureDomainLoss(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		si.Apply(runningRollout(0.5))
		time.Sleep(healthyPropagationLimit)
		killed, surviving := []int{3, 6}, []int{1, 2, 4, 5, 7, 8}
		const sessions = 60
		sendRequest := func(se, n int) string {
			an := si.Chat(testsite.Call{Entry: n, Header: map[string]string{entry.HeaderSessionID: fmt.Sprint("s-", se)}})
			qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
			return an.Header.Get(entry.HeaderVersion)
		}
		version := map[int]string{}
		for se := range sessions {
			version[se] = sendRequest(se, killed[se%2])
		}
		for _, n := range killed {
			si.KillEntry(n)
		}
		time.Sleep(3 * time.Second)
		for se := range sessions {
			qt.Assert(t, sendRequest(se, surviving[se%6]), qt.Equals, version[se], qt.Commentf("session %d", se))
		}
	})
}

// TestSessionStartedConcurrentlyHasOneVersion sends the first requests of a session to
// four entries at once. All of them must use the same version.
func TestSessionStartedConcurrentlyHasOneVersion(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		si.Apply(runningRollout(0.5))
		time.Sleep(healthyPropagationLimit)
		for se := range 30 {
			got := make([]string, 4)
			var wg sync.WaitGroup
			for n := 1; n <= 4; n++ {
				wg.Go(func() {
					an := si.Chat(testsite.Call{Entry: n, Header: map[string]string{entry.HeaderSessionID: fmt.Sprintf("s-%d", se)}})
					got[n-1] = an.Header.Get(entry.HeaderVersion)
				})
			}
			wg.Wait()
			for n := 1; n < 4; n++ {
				qt.Assert(t, got[n], qt.Equals, got[0], qt.Commentf("session %d: %v", se, got))
			}
		}
	})
}

// TestSessionOnWithdrawnVersionIsMovedAndReported checks that a session moves to the
// stable version when its own is withdrawn, that the answer says so once, that a strict
// session is refused instead, and that a forged token is rejected.
func TestSessionOnWithdrawnVersionIsMovedAndReported(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		byID := map[string]string{entry.HeaderSessionID: "s"}
		first := si.Chat(testsite.Call{Header: byID})
		byToken := map[string]string{entry.HeaderSession: first.Header.Get(entry.HeaderSession)}
		si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		time.Sleep(healthyPropagationLimit)
		for _, header := range []map[string]string{byID, byToken} {
			an := si.Chat(testsite.Call{Entry: 2, Header: header})
			qt.Assert(t, an.Header.Get(entry.HeaderVersion), qt.Equals, "m-2")
			qt.Assert(t, an.Header.Get(entry.HeaderSessionMoved), qt.Equals, "m-1")
		}
		byToken[entry.HeaderSessionStrict] = "true"
		an := si.Chat(testsite.Call{Header: byToken})
		qt.Assert(t, an.Status, qt.Equals, 409)
		qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		an = si.Chat(testsite.Call{Header: byID})
		qt.Assert(t, an.Header.Get(entry.HeaderSessionMoved), qt.Equals, "")
		forged := map[string]string{entry.HeaderSession: first.Header.Get(entry.HeaderSession) + "x"}
		qt.Assert(t, si.Chat(testsite.Call{Header: forged}).Status, qt.Equals, 400)
	})
}

// TestLeavingEndpointGetsNoNewRequests marks an endpoint as draining, or its VM as
// leaving. The endpoint must receive its last request within three seconds of the mark.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	causes := map[string]func(si *testsite.Site){
		"operator drains it": func(si *testsite.Site) { si.Apply(testsite.EngineRecord(1, `,"draining":true`)) },
		"VM list marks it as leaving": func(si *testsite.Site) {
			si.VMs.Put(leavingVM("engine-1", testsite.EngineAddress(1)))
		},
	}
	for name, leave := range causes {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 3, Engines: 3, VMLag: time.Second}, func(t *testing.T, si *testsite.Site) {
				ctx, cancel := context.WithCancel(t.Context())
				var br billRecorder
				var wg sync.WaitGroup
				generateLoad(ctx, si, &br, &wg, 1, 2, 3)
				time.Sleep(time.Second)
				leave(si)
				leftAt := time.Now()
				time.Sleep(8 * time.Second)
				cancel()
				wg.Wait()
				last := time.Time{}
				for _, ra := range si.Engines["engine-1"].Runs() {
					if ra.ReceivedAt.After(last) {
						last = ra.ReceivedAt
					}
				}
				t.Logf("last request received %s after the start of leaving", last.Sub(leftAt))
				qt.Assert(t, last.Sub(leftAt) <= 3*time.Second, qt.IsTrue)
				qt.Assert(t, last.IsZero(), qt.IsFalse)
			})
		})
	}
}
