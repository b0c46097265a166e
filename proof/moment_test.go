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

// seconds are the faults that come together with a kill.
var seconds = map[string]func(si *testsite.Site){
	"alone":               func(*testsite.Site) {},
	"store loses answers": func(si *testsite.Site) { si.Store.Set(standin.Faults{LoseAnswers: 3}) },
	"store goes down":     func(si *testsite.Site) { si.Store.Set(standin.Faults{Down: true}) },
	"another entry dies":  func(si *testsite.Site) { si.KillEntry(2) },
	"links go silent": func(si *testsite.Site) {
		for n := 1; n <= 4; n++ {
			si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.StoreAddress)
			si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.PlainAddress(1))
			si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.EngineAddress(1))
		}
	},
}

// mend ends the second fault.
func mend(si *testsite.Site) { si.Store.Set(standin.Faults{}) }

// TestKillAtEveryMomentOfACall kills the entry that runs a call at each of many
// moments, from before the claim to after the answer, alone and with a second
// fault. The store and the service take a while, so that each step of the call
// has a moment.
func TestKillAtEveryMomentOfACall(t *testing.T) {
	for name, second := range seconds {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 4, Plains: 1}, func(t *testing.T, si *testsite.Site) {
				for moment := time.Duration(0); moment <= 64*time.Millisecond; moment += 4 * time.Millisecond {
					key := fmt.Sprint("order-", moment)
					si.Store.Set(standin.Faults{DelayMS: 10})
					si.Plains["desk-1"].Set(standin.Faults{DelayMS: 10})
					var an testsite.Answer
					var wg sync.WaitGroup
					wg.Go(func() { an = si.Checkout(testsite.Call{Entry: 1}, "POST", key, "{}") })
					time.Sleep(moment)
					si.KillEntry(1)
					second(si)
					wg.Wait()
					if an.Err == nil && an.Ran() == entry.NotRun {
						qt.Check(t, timesRun(si, key), qt.Equals, 0)
					}
					time.Sleep(time.Second)
					mend(si)
					time.Sleep(10 * time.Second)
					last := si.Checkout(testsite.Call{Entry: 3}, "POST", key, "{}")
					qt.Check(t, timesRun(si, key) <= 1, qt.IsTrue, qt.Commentf("%s: ran %d times", moment, timesRun(si, key)))
					if last.Status == 200 {
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

// TestKillAtEveryMomentOfAnAnswer kills the entry that passes on an answer at
// each of many moments, from the arrival to after the bill: what the caller got
// whole is billed once.
func TestKillAtEveryMomentOfAnAnswer(t *testing.T) {
	for name, second := range seconds {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.Options{Entries: 4, Engines: 1}, func(t *testing.T, si *testsite.Site) {
				var got answers
				for moment := time.Duration(0); moment <= 80*time.Millisecond; moment += 4 * time.Millisecond {
					var an testsite.Answer
					var wg sync.WaitGroup
					wg.Go(func() { an = si.Chat(testsite.Call{Entry: 1, Stream: moment%8 == 0, Tokens: 5}) })
					time.Sleep(moment)
					si.KillEntry(1)
					second(si)
					wg.Wait()
					if an.Complete {
						qt.Check(t, an.Text, qt.Equals, testsite.EngineText("m-1", 5))
					}
					got.add(an)
					time.Sleep(time.Second)
					mend(si)
					time.Sleep(8 * time.Second)
					for n := 1; n <= 2; n++ {
						if _, ok := si.Entries[testsite.EntryName(n)]; !ok {
							si.StartEntry(n)
						}
					}
					si.WaitReady()
				}
				time.Sleep(10 * time.Second)
				stored := billed(t, si)
				for _, id := range got.bills {
					qt.Check(t, stored[id], qt.IsTrue, qt.Commentf("bill %s is missing", id))
				}
				qt.Check(t, len(got.bills) > 2, qt.IsTrue)
			})
		})
	}
}
