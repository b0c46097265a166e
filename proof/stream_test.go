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

func TestBrokenAndSilentStreamsGoOnWhole(t *testing.T) {
	faults := map[string]func(si *testsite.Site){
		"engine breaks the connection": func(si *testsite.Site) {
			si.Engines["engine-1"].Set(standin.Faults{CutAfter: 5, CutStreams: 1})
		},
		"engine breaks it twice": func(si *testsite.Site) {
			si.Engines["engine-1"].Set(standin.Faults{CutAfter: 3, CutStreams: 2})
		},
		"engine goes silent": func(si *testsite.Site) {
			si.Engines["engine-1"].Set(standin.Faults{SilentAfter: 4, SilentStreams: 1})
		},
	}
	for name, fault := range faults {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: alone()}, func(t *testing.T, si *testsite.Site) {
					fault(si)
					an := si.Chat(testsite.Call{Tokens: 20, Stream: stream})
					qt.Assert(t, an.Complete, qt.IsTrue, qt.Commentf("%s", an.Body))
					qt.Assert(t, an.Text, qt.Equals, testsite.EngineText("m-1", 20))
					qt.Assert(t, len(si.Engines["engine-1"].Ran()), qt.Equals, 1)
					qt.Assert(t, si.State(1).StreamsResumed > 0, qt.IsTrue)
				})
			})
		}
	}
}

// alone gives settings for a site of one entry, which has no peer to hold
// copies of its bills.
func alone() map[string]string { return map[string]string{"billing": "copies = 0"} }

func TestConnectionSilentInMidStreamGoesOnWhole(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: alone()}, func(t *testing.T, si *testsite.Site) {
		an := si.Chat(testsite.Call{Tokens: 60, Stream: true, OnChunk: func(n int) {
			if n == 10 || n == 30 {
				si.Net.Blackhole(testsite.Host(testsite.EntryName(1)), testsite.EngineAddress(1))
			}
		}})
		qt.Assert(t, an.Complete, qt.IsTrue)
		qt.Assert(t, an.Text, qt.Equals, testsite.EngineText("m-1", 60))
	})
}

func TestCrossedAnswersAreDropped(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 2, EntrySettings: alone()}, func(t *testing.T, si *testsite.Site) {
		for _, en := range si.Engines {
			en.Set(standin.Faults{CrossAnswers: 1})
		}
		for range 4 {
			an := si.Chat(testsite.Call{Tokens: 5, Stream: true, Prompt: fmt.Sprint(time.Now())})
			qt.Assert(t, an.Text == "" || an.Text == testsite.EngineText("m-1", 5), qt.IsTrue)
			qt.Assert(t, an.Text != "" || !an.Complete, qt.IsTrue, qt.Commentf("an empty answer passed as whole: %s", an.Body))
		}
		qt.Assert(t, si.State(1).AnswersDropped > 0, qt.IsTrue)
	})
}

func TestAnswersBelongToTheirRequests(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for n := 1; n <= 3; n++ {
			for worker := range 5 {
				wg.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						model := []string{"m", "large"}[(worker+i)%2]
						tokens := 3 + (worker+i)%9
						an := si.Chat(testsite.Call{Entry: n, Model: model, Tokens: tokens, Stream: i%2 == 0})
						if an.Complete {
							qt.Check(t, an.Text, qt.Equals, testsite.EngineText(model+"-1", tokens))
						}
					}
				})
			}
		}
		for range 20 {
			for n := 1; n <= 3; n++ {
				si.Engines[fmt.Sprintf("engine-%d", n)].Set(standin.Faults{CutAfter: 2, CutStreams: 2})
				si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.EngineAddress(n))
			}
			time.Sleep(200 * time.Millisecond)
		}
		wg.Wait()
	})
}

func TestSilentLinksDoNotStopService(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2, Plains: 1}, func(t *testing.T, si *testsite.Site) {
		silenceAll := func() {
			for n := 1; n <= 3; n++ {
				ho := testsite.Host(testsite.EntryName(n))
				si.Net.Blackhole(ho, testsite.StoreAddress)
				si.Net.Blackhole(ho, testsite.VMsAddress)
				for m := 1; m <= 3; m++ {
					si.Net.Blackhole(ho, testsite.PeerAddress(m))
				}
				for m := 1; m <= 2; m++ {
					si.Net.Blackhole(ho, testsite.EngineAddress(m))
				}
			}
		}
		for round := range 5 {
			si.Chat(testsite.Call{Entry: 1})
			silenceAll()
			for n := 1; n <= 3; n++ {
				an := si.Chat(testsite.Call{Entry: n})
				qt.Assert(t, an.Status, qt.Equals, 200, qt.Commentf("round %d entry %d: %s", round, n, an.Body))
			}
			revision := si.Apply(describe(round))
			si.Eventually(inForceLimit, "change in force", inForce(si, revision, 1, 2, 3))
		}
	})
}

func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 3, Plains: 1}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var mu sync.Mutex
		var got answers
		sent, cutOff := 0, 0
		for caller := range 12 {
			wg.Go(func() {
				for ctx.Err() == nil {
					// Callers ask for addresses and keep the answer for as long
					// as it says.
					ads := si.Addresses(2 + caller%2)
					until := time.Now().Add(2 * time.Second)
					for len(ads) > 0 && time.Now().Before(until) && ctx.Err() == nil {
						an := si.Chat(testsite.Call{Entry: entryOf(ads[0]), Stream: caller%2 == 0, Tokens: 40})
						got.add(an)
						mu.Lock()
						sent++
						if !an.Complete {
							cutOff++
							t.Logf("cut off: %v %d %s", an.Err, an.Status, an.Body)
						}
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		da := si.Entries[testsite.EntryName(1)]
		draining, done := context.WithTimeout(t.Context(), time.Minute)
		da.Drain(draining)
		done()
		qt.Assert(t, si.Addresses(2), qt.HasLen, 2)
		closing, done := context.WithTimeout(t.Context(), 5*time.Second)
		da.Close(closing)
		done()
		delete(si.Entries, testsite.EntryName(1))
		time.Sleep(2 * time.Second)
		cancel()
		wg.Wait()
		time.Sleep(3 * time.Second)
		qt.Assert(t, sent > 100, qt.IsTrue)
		qt.Assert(t, cutOff, qt.Equals, 0)
		qt.Assert(t, len(billed(t, si)), qt.Equals, len(got.bills))
	})
}

func entryOf(address string) int {
	for n := 1; n <= 9; n++ {
		if testsite.EntryAddress(n) == address {
			return n
		}
	}
	return 0
}

func TestFailedEntryLeavesTheAddressAnswers(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		qt.Assert(t, si.Addresses(1), qt.HasLen, 8)
		for n := 5; n <= 8; n++ {
			si.KillEntry(n)
		}
		took := si.Eventually(3*time.Second, "dead entries left out everywhere", func() bool {
			for n := 1; n <= 4; n++ {
				if len(si.Addresses(n)) != 4 {
					return false
				}
			}
			return true
		})
		t.Logf("left out after %s", took)
		for n := 5; n <= 8; n++ {
			si.StartEntry(n)
		}
		si.Eventually(3*time.Second, "new entries in the answers", func() bool { return len(si.Addresses(1)) == 8 })
	})
}

// TestHealthyEntriesStayInTheAnswers looks for entries that are taken for
// failed, at the size of a site.
func TestHealthyEntriesStayInTheAnswers(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Stewards: 8, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for range 300 {
			for n := 1; n <= 8; n++ {
				qt.Assert(t, len(si.Addresses(n)), qt.Equals, 8)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

func TestAllEntriesReplacedUnderTrafficLosesAndDoublesNothing(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Engines: 3, Plains: 2}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var got answers
		for caller := range 8 {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					n := 1 + (caller+i)%8
					got.add(si.Chat(testsite.Call{Entry: n, Stream: i%2 == 0}))
					key := fmt.Sprintf("%d-%d", caller, i)
					an := si.Checkout(testsite.Call{Entry: n}, "POST", key, "{}")
					if an.Err == nil && an.Ran() == entry.NotRun {
						qt.Check(t, timesRun(si, key), qt.Equals, 0)
					}
					if an.Err == nil && an.Ran() == entry.HasRun && an.Status == 200 {
						got.add(an)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		for n := 1; n <= 8; n++ {
			si.KillEntry(n)
			time.Sleep(time.Second)
			si.StartEntry(n)
			time.Sleep(3 * time.Second)
		}
		cancel()
		wg.Wait()
		time.Sleep(15 * time.Second)
		stored := billed(t, si)
		for _, id := range got.bills {
			qt.Assert(t, stored[id], qt.IsTrue, qt.Commentf("bill %s is missing", id))
		}
		for _, pl := range si.Plains {
			for key, n := range pl.Ran() {
				qt.Assert(t, n, qt.Equals, 1, qt.Commentf("%s", key))
			}
		}
		t.Logf("%d whole answers, %d bills", len(got.bills), len(stored))
	})
}
