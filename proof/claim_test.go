package proof_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// timesRun returns how often the endpoints of the service "desk" ran the call with an
// idempotency key. An empty key stands for all calls without one.
func timesRun(si *testsite.Site, key string) int {
	n := 0
	for _, pl := range si.Plains {
		n += pl.RunCounts()[key]
	}
	return n
}

// callUntilRun repeats a call at entry-2, once a second and at most 40 times, until
// an answer says that the call was run. It returns the last answer.
func callUntilRun(si *testsite.Site, key string) testsite.Answer {
	var an testsite.Answer
	for range 40 {
		an = si.Checkout(testsite.Call{Entry: 2}, "POST", key, "{}")
		if an.Err == nil && an.Ran() == entry.HasRun {
			return an
		}
		time.Sleep(time.Second)
	}
	return an
}

// TestRepeatAtAnotherEntryReturnsSameAnswer repeats a finished call at every entry.
// The same key with a different body must be refused.
func TestRepeatAtAnotherEntryReturnsSameAnswer(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Plains: 2}, func(t *testing.T, si *testsite.Site) {
		first := si.Checkout(testsite.Call{Entry: 1}, "POST", "order-1", "{}")
		qt.Assert(t, first.Status, qt.Equals, 200)
		for n := 1; n <= 3; n++ {
			an := si.Checkout(testsite.Call{Entry: n}, "POST", "order-1", "{}")
			qt.Assert(t, an.Body, qt.Equals, first.Body)
			qt.Assert(t, an.Header.Get(entry.HeaderReplayed), qt.Equals, "true")
			qt.Assert(t, an.Header.Get(entry.HeaderBill), qt.Equals, first.Header.Get(entry.HeaderBill))
		}
		qt.Assert(t, timesRun(si, "order-1"), qt.Equals, 1)
		other := si.Checkout(testsite.Call{Entry: 2}, "POST", "order-1", `{"another":"call"}`)
		qt.Assert(t, other.Status, qt.Equals, 422)
		qt.Assert(t, other.Ran(), qt.Equals, entry.NotRun)
	})
}

// TestConcurrentDuplicateCallsRunOnce sends the same call to all entries at once.
func TestConcurrentDuplicateCallsRunOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Plains: 3}, func(t *testing.T, si *testsite.Site) {
		for round := range 20 {
			key := fmt.Sprintf("order-%d", round)
			var wg sync.WaitGroup
			for n := 1; n <= 4; n++ {
				wg.Go(func() { si.Checkout(testsite.Call{Entry: n}, "POST", key, "{}") })
			}
			wg.Wait()
			qt.Assert(t, timesRun(si, key), qt.Equals, 1)
			qt.Assert(t, callUntilRun(si, key).Status, qt.Equals, 200)
			qt.Assert(t, timesRun(si, key), qt.Equals, 1)
		}
	})
}

// TestClaimWithLostStoreResponseRunsOnce loses the store's responses to the writes of
// a claim. The entry must find out whether the claim was written before it runs the
// call or refuses it as not run.
func TestClaimWithLostStoreResponseRunsOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Plains: 2}, func(t *testing.T, si *testsite.Site) {
		for round := range 6 {
			key := fmt.Sprintf("order-%d", round)
			si.Store.SetFaults(standin.Faults{LoseAnswers: 1 + round%3})
			an := si.Checkout(testsite.Call{Entry: 1}, "POST", key, "{}")
			qt.Assert(t, an.Status == 200 || an.Ran() == entry.NotRun, qt.IsTrue, qt.Commentf("%d %s", an.Status, an.Body))
			if an.Ran() == entry.NotRun {
				qt.Assert(t, timesRun(si, key), qt.Equals, 0)
			}
			qt.Assert(t, callUntilRun(si, key).Status, qt.Equals, 200)
			qt.Assert(t, timesRun(si, key), qt.Equals, 1)
		}
	})
}

// TestCallsRefusedInStoreOutageAreNotRun checks that a call that cannot be claimed is
// refused as not run, and runs once after the outage.
func TestCallsRefusedInStoreOutageAreNotRun(t *testing.T) {
	for _, fault := range []standin.Faults{{Down: true}, {Freeze: true}} {
		withSite(t, testsite.Options{Entries: 3, Engines: 1, Plains: 2}, func(t *testing.T, si *testsite.Site) {
			si.Checkout(testsite.Call{Entry: 1}, "POST", "before", "{}")
			si.Store.SetFaults(fault)
			time.Sleep(5 * time.Second)
			an := si.Checkout(testsite.Call{Entry: 1}, "POST", "order-1", "{}")
			qt.Assert(t, an.Status, qt.Equals, 503)
			qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
			qt.Assert(t, an.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Assert(t, timesRun(si, "order-1"), qt.Equals, 0)
			// Requests that may be repeated need no claim and are still served.
			qt.Assert(t, si.Chat(testsite.Call{Entry: 2}).Status, qt.Equals, 200)
			si.Store.SetFaults(standin.Faults{})
			qt.Assert(t, callUntilRun(si, "order-1").Status, qt.Equals, 200)
			qt.Assert(t, timesRun(si, "order-1"), qt.Equals, 1)
		})
	}
}

// TestClaimLostInStoreOutageIsReleased checks that a claim whose outcome the entry
// did not learn in time is released after the outage. Otherwise repeats of the call
// would be refused until the claim expires.
func TestClaimLostInStoreOutageIsReleased(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Plains: 1}, func(t *testing.T, si *testsite.Site) {
		si.Checkout(testsite.Call{Entry: 1}, "POST", "warm", "{}")
		// The claim is written, but the store's responses are lost for longer than
		// the caller waits.
		si.Store.SetFaults(standin.Faults{LoseAnswers: 1000})
		an := si.Checkout(testsite.Call{Entry: 1}, "POST", "order-1", "{}")
		qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		qt.Assert(t, timesRun(si, "order-1"), qt.Equals, 0)
		si.Store.SetFaults(standin.Faults{})
		time.Sleep(5 * time.Second)
		qt.Assert(t, si.Checkout(testsite.Call{Entry: 2}, "POST", "order-1", "{}").Status, qt.Equals, 200)
		qt.Assert(t, timesRun(si, "order-1"), qt.Equals, 1)
	})
}

// TestEntryKilledDuringCallLeavesOutcomeUnknown kills the entry that runs a call.
// Repeats must first find the call under way and then its outcome unknown; it must
// not run again.
func TestEntryKilledDuringCallLeavesOutcomeUnknown(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Plains: 1}, func(t *testing.T, si *testsite.Site) {
		si.Plains["desk-1"].SetFaults(standin.Faults{DelayMS: 300})
		var wg sync.WaitGroup
		wg.Go(func() { si.Checkout(testsite.Call{Entry: 1}, "POST", "order-1", "{}") })
		time.Sleep(150 * time.Millisecond)
		si.KillEntry(1)
		wg.Wait()
		an := si.Checkout(testsite.Call{Entry: 2}, "POST", "order-1", "{}")
		qt.Assert(t, an.Status, qt.Equals, 409)
		qt.Assert(t, an.Ran(), qt.Equals, entry.RanUnknown)
		qt.Assert(t, an.Body, qt.Contains, "call_under_way")
		time.Sleep(10 * time.Second)
		for n := 2; n <= 3; n++ {
			an = si.Checkout(testsite.Call{Entry: n}, "POST", "order-1", "{}")
			qt.Assert(t, an.Body, qt.Contains, "outcome_unknown")
		}
		qt.Assert(t, timesRun(si, "order-1") <= 1, qt.IsTrue)
	})
}

// TestUnrepeatableCallIsNeverSentTwice makes the service fail in ways that do not
// tell whether the call was run. The entry must not retry such a call, with or
// without an idempotency key.
func TestUnrepeatableCallIsNeverSentTwice(t *testing.T) {
	faults := map[string]func(si *testsite.Site){
		"service breaks the connection after running the call": func(si *testsite.Site) {
			for _, pl := range si.Plains {
				pl.SetFaults(standin.Faults{LoseAnswers: 1})
			}
		},
		"service never answers": func(si *testsite.Site) {
			for _, pl := range si.Plains {
				pl.SetFaults(standin.Faults{Freeze: true})
			}
		},
		"service breaks every connection immediately": func(si *testsite.Site) {
			for _, pl := range si.Plains {
				pl.SetFaults(standin.Faults{Down: true})
			}
		},
		"open connections go silent": func(si *testsite.Site) {
			for n := 1; n <= 2; n++ {
				si.Net.Blackhole(testsite.Host(testsite.EntryName(1)), testsite.PlainAddress(n))
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 2, Plains: 2}, func(t *testing.T, si *testsite.Site) {
				si.Checkout(testsite.Call{Entry: 1}, "POST", "warm", "{}")
				fault(si)
				for _, key := range []string{"order-1", ""} {
					an := si.Checkout(testsite.Call{Entry: 1}, "POST", key, "{}")
					if an.Ran() == entry.NotRun {
						qt.Assert(t, timesRun(si, key), qt.Equals, 0)
					}
					for _, pl := range si.Plains {
						pl.SetFaults(standin.Faults{})
					}
					if key != "" {
						callUntilRun(si, key)
					}
					qt.Assert(t, timesRun(si, key) <= 1, qt.IsTrue, qt.Commentf("%q ran %d times", key, timesRun(si, key)))
					fault(si)
				}
			})
		})
	}
}

// TestCallsAvoidDeadServiceEndpoint kills one of two endpoints of a service. Calls
// must run on the other one.
func TestCallsAvoidDeadServiceEndpoint(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Plains: 2, EntrySettings: map[string]string{"billing": "copies = 0"}}, func(t *testing.T, si *testsite.Site) {
		si.Net.Kill("desk-1")
		for round := range 10 {
			key := fmt.Sprintf("order-%d", round)
			an := si.Checkout(testsite.Call{Entry: 1}, "POST", key, "{}")
			qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("%s", an.Body))
			qt.Assert(t, timesRun(si, key), qt.Equals, 1)
		}
	})
}
