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
	// propagationLimit is the longest time that a change of the configuration may
	// take to reach all entries while one failure lasts. healthyPropagationLimit is
	// the same without a failure.
	propagationLimit        = 6 * time.Second
	healthyPropagationLimit = time.Second
)

// hasRevision returns a condition that holds once each of the entries has the
// policy of a revision, or of a later one.
func hasRevision(si *testsite.Site, revision store.Revision, entries ...int) func() bool {
	return func() bool {
		for _, n := range entries {
			if si.State(n).PolicyRevision < revision {
				return false
			}
		}
		return true
	}
}

// modelRecord returns the record of model "m" with a description that contains n.
func modelRecord(n int) string {
	return testsite.Record("model", "m", fmt.Sprintf(`{"stable_version":"m-1","description":"change %d"}`, n))
}

// TestConfigurationTakesEffectWithinLimit measures how long a change takes to reach
// all entries, without and with one failure.
func TestConfigurationTakesEffectWithinLimit(t *testing.T) {
	entryHost := func(n int) testsite.Host { return testsite.Host(testsite.EntryName(n)) }
	cases := map[string]struct {
		limit time.Duration
		fault func(si *testsite.Site)
	}{
		"no failure": {healthyPropagationLimit, func(*testsite.Site) {}},
		"entry's connections to the store go silent": {propagationLimit, func(si *testsite.Site) {
			si.Net.Blackhole(entryHost(2), testsite.StoreAddress)
		}},
		"every entry's connections to the store go silent": {propagationLimit, func(si *testsite.Site) {
			for n := 1; n <= 3; n++ {
				si.Net.Blackhole(entryHost(n), testsite.StoreAddress)
			}
		}},
		"entry cut off from the store": {propagationLimit, func(si *testsite.Site) {
			si.Net.Cut(entryHost(2), testsite.StoreAddress)
		}},
		"entry cut off from its peers": {propagationLimit, func(si *testsite.Site) {
			for _, n := range []int{1, 3} {
				si.Net.Cut(entryHost(2), testsite.PeerAddress(n))
				si.Net.Cut(entryHost(n), testsite.PeerAddress(2))
			}
		}},
		"only one entry reaches the store": {propagationLimit, func(si *testsite.Site) {
			si.Net.Cut(entryHost(2), testsite.StoreAddress)
			si.Net.Cut(entryHost(3), testsite.StoreAddress)
		}},
		"another entry is killed": {propagationLimit, func(si *testsite.Site) {
			si.KillEntry(3)
			si.StartEntry(3)
		}},
		"store loses the response to the change": {propagationLimit, func(si *testsite.Site) {
			si.Store.SetFaults(standin.Faults{LoseAnswers: 2})
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 3, Engines: 1}, func(t *testing.T, si *testsite.Site) {
				tc.fault(si)
				revision := si.Apply(modelRecord(1))
				took := si.Eventually(tc.limit, "change applied by all entries", hasRevision(si, revision, 1, 2, 3))
				t.Logf("applied by all entries after %s", took)
			})
		})
	}
}

// TestEntryStartedInStoreOutageGetsPolicyFromPeers restarts an entry while the store
// is down. It must fetch the newest policy from its peers and serve requests.
func TestEntryStartedInStoreOutageGetsPolicyFromPeers(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		revision := si.Apply(modelRecord(1))
		si.Eventually(healthyPropagationLimit, "change applied", hasRevision(si, revision, 1, 2, 3))
		si.Store.SetFaults(standin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		si.KillEntry(2)
		si.StartEntry(2)
		si.Eventually(propagationLimit, "newest policy at the restarted entry", hasRevision(si, revision, 2))
		si.Eventually(propagationLimit, "restarted entry serves requests", func() bool { return si.Chat(testsite.Call{Entry: 2}).Status == 200 })
	})
}

// TestRevisionNeverDecreases samples the policy's revision and number of records at
// three entries during changes. Neither may decrease when connections to the store
// stall or when a peer with an old policy reconnects.
func TestRevisionNeverDecreases(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		var mu sync.Mutex
		highestRevision, mostRecords := map[int]store.Revision{}, map[int]int{}
		stop := make(chan struct{})
		sample := func() {
			mu.Lock()
			defer mu.Unlock()
			for n := 1; n <= 3; n++ {
				revision := si.State(n).PolicyRevision
				if revision < highestRevision[n] {
					t.Errorf("entry-%d went back from revision %d to %d", n, highestRevision[n], revision)
				}
				highestRevision[n] = revision
				records := si.State(n).PolicyRecords
				if records < mostRecords[n] {
					t.Errorf("entry-%d has %d policy records, had %d before", n, records, mostRecords[n])
				}
				mostRecords[n] = records
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
		// Entry-4 is cut off at an old revision, and then reconnects to its peers.
		isolated := testsite.Host(testsite.EntryName(4))
		si.Net.Cut(isolated, testsite.StoreAddress)
		for n := 1; n <= 3; n++ {
			si.Net.Cut(isolated, testsite.PeerAddress(n))
			si.Net.Cut(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(4))
		}
		var last store.Revision
		for n := range 15 {
			if n%5 == 3 {
				si.Net.Blackhole(testsite.Host(testsite.EntryName(1+n%3)), testsite.StoreAddress)
			}
			last = si.Apply(modelRecord(n))
			time.Sleep(300 * time.Millisecond)
		}
		for n := 1; n <= 3; n++ {
			si.Net.Restore(isolated, testsite.PeerAddress(n))
			si.Net.Restore(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(4))
		}
		si.Eventually(propagationLimit, "last change applied by all entries", hasRevision(si, last, 1, 2, 3, 4))
		close(stop)
		wg.Wait()
	})
}

// TestConcurrentChangesToOneRecordConflict lets five operators change the record that
// they all read at the same revision. One change is applied; the others must fail with
// a conflict.
func TestConcurrentChangesToOneRecordConflict(t *testing.T) {
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
				changed, err := re.WithField("spec.description", fmt.Sprintf("by %d", n))
				qt.Check(t, err, qt.IsNil)
				_, err = wr.Apply(t.Context(), configuration.Request{
					ChangedBy: fmt.Sprintf("operator-%d", n), Changes: []configuration.Change{{Record: changed, Base: base}},
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
					t.Errorf("got error %v, want nil or a conflict", err)
				}
			})
		}
		wg.Wait()
		qt.Assert(t, applied, qt.Equals, 1)
		qt.Assert(t, conflicts, qt.Equals, 4)
	})
}

// TestConcurrentChangesKeepReferencesValid lets two operators change different records
// at once, each change valid by itself but not after the other. Comparing only the
// changed records would let both pass.
func TestConcurrentChangesKeepReferencesValid(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for round := range 10 {
			si.Apply(
				testsite.Record("model", "spare", `{"stable_version":"spare-1"}`),
				testsite.Record("version", "spare-1", `{"model":"spare"}`),
			)
			// One operator adds a cascade that uses the model, the other one deletes
			// the model. Only one of the changes is valid after the other.
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

// TestChangeWithLostStoreResponseIsAppliedOnce loses up to four of the store's
// responses to a change. The change must succeed and appear in the history once.
func TestChangeWithLostStoreResponseIsAppliedOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for n := 1; n <= 4; n++ {
			si.Store.SetFaults(standin.Faults{LoseAnswers: n})
			rs, err := si.TryApply("operator-a", modelRecord(n))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rs.Revision > 0, qt.IsTrue)
			si.Store.SetFaults(standin.Faults{})
			wr, cl := si.Writer("reader")
			res, err := wr.History(t.Context(), "model/m")
			cl.Close()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(res), qt.Equals, 1+n)
			qt.Assert(t, res[n].GetOperationId(), qt.Equals, rs.OperationID)
		}
	})
}

// TestIsolatedEntryRefusesRequests cuts an entry off from the store and from its
// peers. It could run requests on a withdrawn version, so it must refuse them until
// it is reconnected.
func TestIsolatedEntryRefusesRequests(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		isolated := testsite.Host(testsite.EntryName(3))
		si.Net.Cut(isolated, testsite.StoreAddress)
		for n := 1; n <= 2; n++ {
			si.Net.Cut(isolated, testsite.PeerAddress(n))
			si.Net.Cut(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(3))
		}
		si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		time.Sleep(propagationLimit)
		an := si.Chat(testsite.Call{Entry: 3})
		qt.Assert(t, an.Status, qt.Equals, 503)
		qt.Assert(t, an.Body, qt.Contains, "isolated")
		qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		qt.Assert(t, len(si.Addresses(1)), qt.Equals, 2)
		qt.Assert(t, si.Chat(testsite.Call{Entry: 1}).Header.Get(entry.HeaderVersion), qt.Equals, "m-2")
		si.Net.Restore(isolated, testsite.StoreAddress)
		si.Eventually(propagationLimit, "reconnected entry serves the new stable version", func() bool {
			return si.Chat(testsite.Call{Entry: 3}).Header.Get(entry.HeaderVersion) == "m-2"
		})
	})
}

// TestStoreOutageDoesNotStopService serves chat requests for a minute while the store
// does not answer.
func TestStoreOutageDoesNotStopService(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		si.Store.SetFaults(standin.Faults{Freeze: true})
		for range 60 {
			for n := 1; n <= 3; n++ {
				an := si.Chat(testsite.Call{Entry: n})
				qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
			}
			time.Sleep(time.Second)
		}
	})
}
