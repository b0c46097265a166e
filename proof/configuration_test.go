package proof_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/testsite"
)

const (
	// inForceLimit is the promise for one failure, quietLimit without any.
	inForceLimit = 6 * time.Second
	quietLimit   = time.Second
)

func inForce(si *testsite.Site, revision store.Revision, entries ...int) func() bool {
	return func() bool {
		for _, n := range entries {
			if si.State(n).PolicyRevision < revision {
				return false
			}
		}
		return true
	}
}

func describe(n int) string {
	return testsite.Record("model", "m", fmt.Sprintf(`{"stable_version":"m-1","description":"change %d"}`, n))
}

func TestConfigurationIsInForceInTime(t *testing.T) {
	entryHost := func(n int) testsite.Host { return testsite.Host(testsite.EntryName(n)) }
	cases := map[string]struct {
		limit time.Duration
		fault func(si *testsite.Site)
	}{
		"no failure": {quietLimit, func(*testsite.Site) {}},
		"entry's connections to the store go silent": {inForceLimit, func(si *testsite.Site) {
			si.Net.Blackhole(entryHost(2), testsite.StoreAddress)
		}},
		"every entry's connections to the store go silent": {inForceLimit, func(si *testsite.Site) {
			for n := 1; n <= 3; n++ {
				si.Net.Blackhole(entryHost(n), testsite.StoreAddress)
			}
		}},
		"entry cut off from the store": {inForceLimit, func(si *testsite.Site) {
			si.Net.Cut(entryHost(2), testsite.StoreAddress)
		}},
		"entry cut off from its peers": {inForceLimit, func(si *testsite.Site) {
			for _, n := range []int{1, 3} {
				si.Net.Cut(entryHost(2), testsite.PeerAddress(n))
				si.Net.Cut(entryHost(n), testsite.PeerAddress(2))
			}
		}},
		"only one entry reaches the store": {inForceLimit, func(si *testsite.Site) {
			si.Net.Cut(entryHost(2), testsite.StoreAddress)
			si.Net.Cut(entryHost(3), testsite.StoreAddress)
		}},
		"another entry is killed": {inForceLimit, func(si *testsite.Site) {
			si.KillEntry(3)
			si.StartEntry(3)
		}},
		"store loses the answer of the change": {inForceLimit, func(si *testsite.Site) {
			si.Store.Set(standin.Faults{LoseAnswers: 2})
		}},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 3, Engines: 1}, func(t *testing.T, si *testsite.Site) {
				ca.fault(si)
				revision := si.Apply(describe(1))
				took := si.Eventually(ca.limit, "change in force everywhere", inForce(si, revision, 1, 2, 3))
				t.Logf("in force after %s", took)
			})
		})
	}
}

func TestEntryStartedInAStoreOutageTakesItsPeersNewest(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		revision := si.Apply(describe(1))
		si.Eventually(quietLimit, "in force", inForce(si, revision, 1, 2, 3))
		si.Store.Set(standin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		si.KillEntry(2)
		si.StartEntry(2)
		si.Eventually(inForceLimit, "newest policy at the new entry", inForce(si, revision, 2))
		si.Eventually(inForceLimit, "new entry serves", func() bool { return si.Chat(testsite.Call{Entry: 2}).Status == 200 })
	})
}

func TestRevisionNeverFalls(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		var mu sync.Mutex
		highest, most := map[int]store.Revision{}, map[int]int{}
		stop := make(chan struct{})
		sample := func() {
			mu.Lock()
			defer mu.Unlock()
			for n := 1; n <= 3; n++ {
				now := si.State(n).PolicyRevision
				if now < highest[n] {
					t.Errorf("entry-%d fell from revision %d to %d", n, highest[n], now)
				}
				highest[n] = now
				records := si.State(n).PolicyRecords
				if records < most[n] {
					t.Errorf("entry-%d lost records: %d, had %d", n, records, most[n])
				}
				most[n] = records
			}
		}
		sample()
		var wg sync.WaitGroup
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					sample()
				}
			}
		})
		// Entry 4 is held back at an old state, and then meets the others again.
		old := testsite.Host(testsite.EntryName(4))
		si.Net.Cut(old, testsite.StoreAddress)
		for n := 1; n <= 3; n++ {
			si.Net.Cut(old, testsite.PeerAddress(n))
			si.Net.Cut(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(4))
		}
		var last store.Revision
		for n := range 15 {
			if n%5 == 3 {
				si.Net.Blackhole(testsite.Host(testsite.EntryName(1+n%3)), testsite.StoreAddress)
			}
			last = si.Apply(describe(n))
			time.Sleep(300 * time.Millisecond)
		}
		for n := 1; n <= 3; n++ {
			si.Net.Restore(old, testsite.PeerAddress(n))
			si.Net.Restore(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(4))
		}
		si.Eventually(inForceLimit, "in force everywhere", inForce(si, last, 1, 2, 3, 4))
		close(stop)
		wg.Wait()
	})
}

func TestOperatorsRaceOnOneRecord(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		var mu sync.Mutex
		var applied, conflicts int
		var wg sync.WaitGroup
		wr, cl := si.Writer("reader")
		defer cl.Close()
		se, _, err := wr.Load(t.Context())
		qt.Assert(t, err, qt.IsNil)
		re, base, _ := se.Record("model", "m")
		for n := range 5 {
			wg.Go(func() {
				wr, cl := si.Writer(testsite.Host(fmt.Sprintf("operator-%d", n)))
				defer cl.Close()
				mine, err := re.With("spec.description", fmt.Sprintf("by %d", n))
				qt.Check(t, err, qt.IsNil)
				_, err = wr.Apply(t.Context(), configuration.Request{
					ChangedBy: fmt.Sprintf("operator-%d", n), Changes: []configuration.Change{{Record: mine, Base: base}},
				})
				mu.Lock()
				defer mu.Unlock()
				var co *configuration.Conflict
				switch {
				case err == nil:
					applied++
				case errors.As(err, &co):
					conflicts++
					qt.Check(t, co.Mine, qt.Not(qt.Equals), co.Theirs)
					qt.Check(t, co.TheirBy, qt.Not(qt.Equals), "")
				default:
					t.Errorf("neither applied nor a conflict: %v", err)
				}
			})
		}
		wg.Wait()
		qt.Assert(t, applied, qt.Equals, 1)
		qt.Assert(t, conflicts, qt.Equals, 4)
	})
}

func TestOperatorsRaceOnRecordsThatDependOnEachOther(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for round := range 10 {
			si.Apply(
				testsite.Record("model", "spare", `{"stable_version":"spare-1"}`),
				testsite.Record("version", "spare-1", `{"model":"spare"}`),
			)
			// One operator lets an organisation use the model, the other one
			// deletes it: only one of them can be right.
			errs := make([]error, 2)
			var wg sync.WaitGroup
			wg.Go(func() {
				_, errs[0] = si.TryApply("operator-a", testsite.Record("cascade", "uses-spare", `{"models":["spare"]}`))
			})
			wg.Go(func() {
				_, errs[1] = si.TryApply("operator-b",
					`{"schema_version":2,"kind":"model","id":"spare","deleted":true}`,
					`{"schema_version":2,"kind":"version","id":"spare-1","deleted":true}`)
			})
			wg.Wait()
			failed := 0
			for _, err := range errs {
				var li finding.List
				if errors.As(err, &li) {
					failed++
				} else {
					qt.Assert(t, err, qt.IsNil)
				}
			}
			qt.Assert(t, failed, qt.Equals, 1, qt.Commentf("round %d: %v", round, errs))
			_, _ = si.TryApply("operator-c", `{"schema_version":2,"kind":"cascade","id":"uses-spare","deleted":true}`)
		}
	})
}

func TestLostAnswerOfAChangeIsNeitherDoubledNorFalselyFailed(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for n := 1; n <= 4; n++ {
			si.Store.Set(standin.Faults{LoseAnswers: n})
			rs, err := si.TryApply("operator-a", describe(n))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rs.Revision > 0, qt.IsTrue)
			si.Store.Set(standin.Faults{})
			wr, cl := si.Writer("reader")
			res, err := wr.History(t.Context(), "model/m")
			cl.Close()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(res), qt.Equals, 1+n)
			qt.Assert(t, res[n].GetOperationId(), qt.Equals, rs.OperationID)
		}
	})
}

func TestEntryCutOffFromEverythingRefusesNewWork(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		lone := testsite.Host(testsite.EntryName(3))
		si.Net.Cut(lone, testsite.StoreAddress)
		for n := 1; n <= 2; n++ {
			si.Net.Cut(lone, testsite.PeerAddress(n))
			si.Net.Cut(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(3))
		}
		si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		time.Sleep(inForceLimit)
		an := si.Chat(testsite.Call{Entry: 3})
		qt.Assert(t, an.Status, qt.Equals, 503)
		qt.Assert(t, an.Body, qt.Contains, "isolated")
		qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		qt.Assert(t, len(si.Addresses(1)), qt.Equals, 2)
		qt.Assert(t, si.Chat(testsite.Call{Entry: 1}).Header.Get(entry.HeaderVersion), qt.Equals, "m-2")
		si.Net.Restore(lone, testsite.StoreAddress)
		si.Eventually(inForceLimit, "entry serves again", func() bool {
			return si.Chat(testsite.Call{Entry: 3}).Header.Get(entry.HeaderVersion) == "m-2"
		})
	})
}

func TestStoreOutageDoesNotStopService(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		si.Store.Set(standin.Faults{Freeze: true})
		for range 60 {
			for n := 1; n <= 3; n++ {
				an := si.Chat(testsite.Call{Entry: n})
				qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
			}
			time.Sleep(time.Second)
		}
	})
}
