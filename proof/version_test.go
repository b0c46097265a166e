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

// lastRun gives when an engine last received work on a model.
func lastRun(si *testsite.Site, model string) time.Time {
	var last time.Time
	for _, en := range si.Engines {
		for _, ra := range en.Ran() {
			if ra.Model == model && ra.ReceivedAt.After(last) {
				last = ra.ReceivedAt
			}
		}
	}
	return last
}

func TestOrganisationRunsOnlyOnWhatItMayUse(t *testing.T) {
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
		// A cascade gives only models that the organisation may use.
		si.Apply(testsite.Record("organisation", "verse", fmt.Sprintf(
			`{"key_hashes":[%q],"allowed_models":["auto","m"],"allowed_ranks":["standard"]}`, hashOf(testsite.RestrictedKey))))
		time.Sleep(quietLimit)
		for range 40 {
			an := si.Chat(testsite.Call{Key: testsite.RestrictedKey, Model: "auto"})
			qt.Assert(t, an.Header.Get(entry.HeaderVersion), qt.Equals, "m-1")
		}
	})
}

// TestWithdrawnWhileQueuedRunsElsewhere holds requests in the queue, withdraws
// their version, and then lets them go.
func TestWithdrawnWhileQueuedRunsElsewhere(t *testing.T) {
	slow := standin.EngineOptions{Slots: 8, Prefill: 20 * time.Millisecond, Token: 20 * time.Millisecond, CachedPrefixes: 4}
	withSite(t, testsite.Options{Entries: 2, Engines: 1, Engine: slow}, func(t *testing.T, si *testsite.Site) {
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
		si.Eventually(quietLimit, "withdrawal in force", inForce(si, revision, 1, 2))
		atAll := time.Now()
		wg.Wait()
		qt.Assert(t, versions["m-2"] > 10, qt.IsTrue, qt.Commentf("%v", versions))
		qt.Assert(t, lastRun(si, "m-1").After(atAll), qt.IsFalse)
	})
}

func TestWithdrawnVersionGetsNoRetries(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 3, EntrySettings: map[string]string{"serving": "progress = 1s"}}, func(t *testing.T, si *testsite.Site) {
		// The first attempts stay without an answer; the version is withdrawn
		// before their retries.
		for _, en := range si.Engines {
			en.Set(standin.Faults{Freeze: true})
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
			en.Set(standin.Faults{})
		}
		wg.Wait()
		qt.Assert(t, lastRun(si, "m-1").IsZero(), qt.IsTrue)
	})
}

// rolloutAt gives the record of a running roll-out from m-1 to m-2 at a share.
func rolloutAt(share float64) string {
	return testsite.Record("rollout", "r", fmt.Sprintf(
		`{"model":"m","from_version":"m-1","to_version":"m-2","share":%g,"state":"RUNNING","steps":[0.1,0.5,1],"answers_per_step":40}`, share))
}

func TestSessionKeepsItsVersion(t *testing.T) {
	withSite(t, testsite.Options{Entries: 6, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		const sessions = 40
		version, token := map[int]string{}, map[int]string{}
		ask := func(round int) {
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
			si.Apply(rolloutAt(share))
			time.Sleep(quietLimit)
			ask(round)
			// Every entry is replaced in turn.
			si.KillEntry(1 + round)
			time.Sleep(3 * time.Second)
			si.StartEntry(1 + round)
			time.Sleep(4 * time.Second)
		}
		ask(6)
		count := map[string]int{}
		for _, ve := range version {
			count[ve]++
		}
		qt.Assert(t, count["m-1"] > 5 && count["m-2"] > 5, qt.IsTrue, qt.Commentf("%v", count))
	})
}

// TestSessionsOutliveAFailureDomain kills all entries of one failure domain at
// once: sessions by id keep their versions at entries that never saw them.
func TestSessionsOutliveAFailureDomain(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		si.Apply(rolloutAt(0.5))
		time.Sleep(quietLimit)
		lost, kept := []int{3, 6}, []int{1, 2, 4, 5, 7, 8}
		const sessions = 60
		ask := func(se, n int) string {
			an := si.Chat(testsite.Call{Entry: n, Header: map[string]string{entry.HeaderSessionID: fmt.Sprint("s-", se)}})
			qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
			return an.Header.Get(entry.HeaderVersion)
		}
		version := map[int]string{}
		for se := range sessions {
			version[se] = ask(se, lost[se%2])
		}
		for _, n := range lost {
			si.KillEntry(n)
		}
		time.Sleep(3 * time.Second)
		for se := range sessions {
			qt.Assert(t, ask(se, kept[se%6]), qt.Equals, version[se], qt.Commentf("session %d", se))
		}
	})
}

func TestSessionStartedAtTwoEntriesAtOnceHasOneVersion(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		si.Apply(rolloutAt(0.5))
		time.Sleep(quietLimit)
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

func TestSessionOnAWithdrawnVersionIsMovedAndTold(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		byID := map[string]string{entry.HeaderSessionID: "s"}
		first := si.Chat(testsite.Call{Header: byID})
		byToken := map[string]string{entry.HeaderSession: first.Header.Get(entry.HeaderSession)}
		si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		time.Sleep(quietLimit)
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

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	ways := map[string]func(si *testsite.Site){
		"operator drains it": func(si *testsite.Site) { si.Apply(testsite.EngineRecord(1, `,"draining":true`)) },
		"VM list says that it leaves": func(si *testsite.Site) {
			si.VMs.Put(leavingVM("engine-1", testsite.EngineAddress(1)))
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 3, Engines: 3, VMLag: time.Second}, func(t *testing.T, si *testsite.Site) {
				ctx, cancel := context.WithCancel(t.Context())
				var an answers
				var wg sync.WaitGroup
				load(ctx, si, &an, &wg, 1, 2, 3)
				time.Sleep(time.Second)
				leave(si)
				leftAt := time.Now()
				time.Sleep(8 * time.Second)
				cancel()
				wg.Wait()
				last := time.Time{}
				for _, ra := range si.Engines["engine-1"].Ran() {
					if ra.ReceivedAt.After(last) {
						last = ra.ReceivedAt
					}
				}
				t.Logf("last new work %s after", last.Sub(leftAt))
				qt.Assert(t, last.Sub(leftAt) <= 3*time.Second, qt.IsTrue)
				qt.Assert(t, last.IsZero(), qt.IsFalse)
			})
		})
	}
}
