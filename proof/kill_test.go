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

// secondFaults holds the faults that are injected right after the kill of entry-1,
// by the names of the subtests.
var secondFaults = map[string]func(si *testsite.Site){
	"no second fault":         func(*testsite.Site) {},
	"store loses responses":   func(si *testsite.Site) { si.Store.SetFaults(standin.Faults{LoseAnswers: 3}) },
	"store goes down":         func(si *testsite.Site) { si.Store.SetFaults(standin.Faults{Down: true}) },
	"another entry is killed": func(si *testsite.Site) { si.KillEntry(2) },
	"connections go silent": func(si *testsite.Site) {
		for n := 1; n <= 4; n++ {
			si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.StoreAddress)
			si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.PlainAddress(1))
			si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.EngineAddress(1))
		}
	},
}

// endStoreFaults ends the faults of the store. The other second faults need no
// end: killed entries are started again, and silence affects only the connections
// that were open.
func endStoreFaults(si *testsite.Site) { si.Store.SetFaults(standin.Faults{}) }

// TestEntryKilledAtAnyPointOfACall kills the entry that runs a call at times 4 ms
// apart, from before the claim to after the answer, with and without a second
// fault. The call must run at most once, and not at all if its answer says so.
// The store and the service answer after 10 ms, so that some kill falls into each
// step of the call.
func TestEntryKilledAtAnyPointOfACall(t *testing.T) {
	for name, second := range secondFaults {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 4, Plains: 1}, func(t *testing.T, si *testsite.Site) {
				for killAfter := time.Duration(0); killAfter <= 64*time.Millisecond; killAfter += 4 * time.Millisecond {
					key := fmt.Sprint("order-", killAfter)
					si.Store.SetFaults(standin.Faults{DelayMS: 10})
					si.Plains["desk-1"].SetFaults(standin.Faults{DelayMS: 10})
					var an testsite.Answer
					var wg sync.WaitGroup
					wg.Go(func() { an = si.Checkout(testsite.Call{Entry: 1}, "POST", key, "{}") })
					time.Sleep(killAfter)
					si.KillEntry(1)
					second(si)
					wg.Wait()
					if an.Err == nil && an.Ran() == entry.NotRun {
						qt.Check(t, timesRun(si, key), qt.Equals, 0)
					}
					time.Sleep(time.Second)
					endStoreFaults(si)
					time.Sleep(10 * time.Second)
					repeated := si.Checkout(testsite.Call{Entry: 3}, "POST", key, "{}")
					qt.Check(t, timesRun(si, key) <= 1, qt.IsTrue, qt.Commentf("killed after %s: ran %d times", killAfter, timesRun(si, key)))
					if repeated.Status == 200 {
						qt.Check(t, timesRun(si, key), qt.Equals, 1)
					}
					for n := 1; n <= 2; n++ {
						if _, ok := si.Entries[testsite.EntryName(n)]; !ok {
							si.StartEntry(n)
						}
					}
					si.WaitReady()
				}
			})
		})
	}
}

// TestEntryKilledAtAnyPointOfAnAnswer kills the entry that forwards an answer at
// times 4 ms apart, from the arrival of the request to after the sealing of the
// bill, with and without a second fault. Each answer that the caller received
// completely must be billed once.
func TestEntryKilledAtAnyPointOfAnAnswer(t *testing.T) {
	for name, second := range secondFaults {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 4, Engines: 1}, func(t *testing.T, si *testsite.Site) {
				var got billRecorder
				for killAfter := time.Duration(0); killAfter <= 80*time.Millisecond; killAfter += 4 * time.Millisecond {
					var an testsite.Answer
					var wg sync.WaitGroup
					wg.Go(func() { an = si.Chat(testsite.Call{Entry: 1, Stream: killAfter%8 == 0, Tokens: 5}) })
					time.Sleep(killAfter)
					si.KillEntry(1)
					second(si)
					wg.Wait()
					if an.Complete {
						qt.Check(t, an.Text, qt.Equals, testsite.EngineText("m-1", 5))
					}
					got.record(an)
					time.Sleep(time.Second)
					endStoreFaults(si)
					time.Sleep(8 * time.Second)
					for n := 1; n <= 2; n++ {
						if _, ok := si.Entries[testsite.EntryName(n)]; !ok {
							si.StartEntry(n)
						}
					}
					si.WaitReady()
				}
				time.Sleep(10 * time.Second)
				stored := storedBillIDs(t, si)
				for _, id := range got.billIDs {
					qt.Check(t, stored[id], qt.IsTrue, qt.Commentf("bill %s of a complete answer is missing", id))
				}
				qt.Check(t, len(got.billIDs) > 2, qt.IsTrue)
			})
		})
	}
}
