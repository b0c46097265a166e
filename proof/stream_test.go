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

// TestInterruptedStreamsAreResumed makes the engine break or stall the connection
// within an answer. The caller must receive the complete answer, and the engine must
// run the request once.
func TestInterruptedStreamsAreResumed(t *testing.T) {
	faults := map[string]func(si *testsite.Site){
		"engine breaks the connection": func(si *testsite.Site) {
			si.Engines["engine-1"].SetFaults(standin.Faults{CutAfter: 5, CutStreams: 1})
		},
		"engine breaks the connection twice": func(si *testsite.Site) {
			si.Engines["engine-1"].SetFaults(standin.Faults{CutAfter: 3, CutStreams: 2})
		},
		"engine goes silent": func(si *testsite.Site) {
			si.Engines["engine-1"].SetFaults(standin.Faults{SilentAfter: 4, SilentStreams: 1})
		},
	}
	for name, fault := range faults {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: singleEntrySettings()}, func(t *testing.T, si *testsite.Site) {
					fault(si)
					an := si.Chat(testsite.Call{Tokens: 20, Stream: stream})
					qt.Assert(t, an.Complete, qt.IsTrue, qt.Commentf("%s", an.Body))
					qt.Assert(t, an.Text, qt.Equals, testsite.EngineText("m-1", 20))
					qt.Assert(t, len(si.Engines["engine-1"].Runs()), qt.Equals, 1)
					qt.Assert(t, si.State(1).StreamsResumed > 0, qt.IsTrue)
				})
			})
		}
	}
}

// singleEntrySettings returns the settings for a site of one entry. It asks for no
// copies of bills, as there is no peer to hold them.
func singleEntrySettings() map[string]string { return map[string]string{"billing": "copies = 0"} }

// TestStreamIsResumedAfterConnectionStalls silences the connections to the engine
// twice within one answer, without closing them.
func TestStreamIsResumedAfterConnectionStalls(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: singleEntrySettings()}, func(t *testing.T, si *testsite.Site) {
		an := si.Chat(testsite.Call{Tokens: 60, Stream: true, OnChunk: func(n int) {
			if n == 10 || n == 30 {
				si.Net.Blackhole(testsite.Host(testsite.EntryName(1)), testsite.EngineAddress(1))
			}
		}})
		qt.Assert(t, an.Complete, qt.IsTrue)
		qt.Assert(t, an.Text, qt.Equals, testsite.EngineText("m-1", 60))
	})
}

// TestAnswersToOtherRequestsAreDropped lets engines answer with another request's ID.
// No such answer may reach a caller.
func TestAnswersToOtherRequestsAreDropped(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 2, EntrySettings: singleEntrySettings()}, func(t *testing.T, si *testsite.Site) {
		for _, en := range si.Engines {
			en.SetFaults(standin.Faults{CrossAnswers: 1})
		}
		for range 4 {
			an := si.Chat(testsite.Call{Tokens: 5, Stream: true, Prompt: fmt.Sprint(time.Now())})
			qt.Assert(t, an.Text == "" || an.Text == testsite.EngineText("m-1", 5), qt.IsTrue)
			qt.Assert(t, an.Text != "" || !an.Complete, qt.IsTrue, qt.Commentf("empty answer forwarded as complete: %s", an.Body))
		}
		qt.Assert(t, si.State(1).AnswersDropped > 0, qt.IsTrue)
	})
}

// TestAnswersMatchTheirRequests sends requests for different models and lengths at
// once, while engines cut streams and connections go silent. Every complete answer must
// be that of its own request.
func TestAnswersMatchTheirRequests(t *testing.T) {
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
				si.Engines[fmt.Sprintf("engine-%d", n)].SetFaults(standin.Faults{CutAfter: 2, CutStreams: 2})
				si.Net.Blackhole(testsite.Host(testsite.EntryName(n)), testsite.EngineAddress(n))
			}
			time.Sleep(200 * time.Millisecond)
		}
		wg.Wait()
	})
}

// TestSilentConnectionsDoNotStopService silences all open connections of all entries at
// once. Requests must be served and changes applied on new connections.
func TestSilentConnectionsDoNotStopService(t *testing.T) {
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
			revision := si.Apply(modelRecord(round))
			si.Eventually(propagationLimit, "change applied", hasRevision(si, revision, 1, 2, 3))
		}
	})
}

// TestGracefulShutdownTruncatesNoAnswers drains and closes entry-1 under load, while
// callers that learned its address before the drain still use it for up to two seconds.
// No answer may be truncated, and every complete one must be billed once.
func TestGracefulShutdownTruncatesNoAnswers(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 3, Plains: 1}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var mu sync.Mutex
		var got billRecorder
		sent, truncated := 0, 0
		for caller := range 12 {
			wg.Go(func() {
				for ctx.Err() == nil {
					// A caller asks another entry for the addresses, and uses the first
					// of them for two seconds.
					ads := si.Addresses(2 + caller%2)
					expiresAt := time.Now().Add(2 * time.Second)
					for len(ads) > 0 && time.Now().Before(expiresAt) && ctx.Err() == nil {
						an := si.Chat(testsite.Call{Entry: entryNumber(ads[0]), Stream: caller%2 == 0, Tokens: 40})
						got.record(an)
						mu.Lock()
						sent++
						if !an.Complete {
							truncated++
							t.Logf("answer truncated: error %v, status %d, body %s", an.Err, an.Status, an.Body)
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
		qt.Assert(t, truncated, qt.Equals, 0)
		qt.Assert(t, len(storedBillIDs(t, si)), qt.Equals, len(got.billIDs))
	})
}

// entryNumber returns the number of the entry with a caller address, or 0 if none
// has it.
func entryNumber(address string) int {
	for n := 1; n <= 9; n++ {
		if testsite.EntryAddress(n) == address {
			return n
		}
	}
	return 0
}

// TestFailedEntriesAreRemovedFromAddresses kills half of the entries. The others must
// stop listing them within three seconds, and list them again after their restart.
func TestFailedEntriesAreRemovedFromAddresses(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		qt.Assert(t, si.Addresses(1), qt.HasLen, 8)
		for n := 5; n <= 8; n++ {
			si.KillEntry(n)
		}
		took := si.Eventually(3*time.Second, "killed entries removed from all address lists", func() bool {
			for n := 1; n <= 4; n++ {
				if len(si.Addresses(n)) != 4 {
					return false
				}
			}
			return true
		})
		t.Logf("removed after %s", took)
		for n := 5; n <= 8; n++ {
			si.StartEntry(n)
		}
		si.Eventually(3*time.Second, "restarted entries listed again", func() bool { return len(si.Addresses(1)) == 8 })
	})
}

// TestHealthyEntriesStayInAddresses checks at the size of a production site that
// no entry is taken for failed without a fault.
func TestHealthyEntriesStayInAddresses(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Stewards: 8, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		for range 300 {
			for n := 1; n <= 8; n++ {
				qt.Assert(t, len(si.Addresses(n)), qt.Equals, 8)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// TestReplacingAllEntriesUnderLoadKeepsBillsAndCalls kills and restarts the entries one
// after the other. No bill may be lost or stored twice, and no call may run twice.
func TestReplacingAllEntriesUnderLoadKeepsBillsAndCalls(t *testing.T) {
	withSite(t, testsite.Options{Entries: 8, Engines: 3, Plains: 2}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var got billRecorder
		for caller := range 8 {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					n := 1 + (caller+i)%8
					got.record(si.Chat(testsite.Call{Entry: n, Stream: i%2 == 0}))
					key := fmt.Sprintf("%d-%d", caller, i)
					an := si.Checkout(testsite.Call{Entry: n}, "POST", key, "{}")
					if an.Err == nil && an.Ran() == entry.NotRun {
						qt.Check(t, timesRun(si, key), qt.Equals, 0)
					}
					if an.Err == nil && an.Ran() == entry.HasRun && an.Status == 200 {
						got.record(an)
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
		stored := storedBillIDs(t, si)
		for _, id := range got.billIDs {
			qt.Assert(t, stored[id], qt.IsTrue, qt.Commentf("bill %s of a complete answer is missing", id))
		}
		for _, pl := range si.Plains {
			for key, n := range pl.RunCounts() {
				qt.Assert(t, n, qt.Equals, 1, qt.Commentf("call %s ran more than once", key))
			}
		}
		t.Logf("%d complete answers, %d bills", len(got.billIDs), len(stored))
	})
}
