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

// billed tells how often each bill is stored, and fails on one stored twice.
func billed(t *testing.T, si *testsite.Site) map[string]bool {
	t.Helper()
	li := si.Bills()
	qt.Assert(t, li.Stored, qt.Equals, len(li.Bills)+len(li.Repeated), qt.Commentf("a bill is stored twice"))
	out := map[string]bool{}
	for _, bi := range li.Bills {
		out[bi.GetId()] = true
	}
	return out
}

// answers collects the bills of whole answers.
type answers struct {
	mu    sync.Mutex
	bills []string
}

func (an *answers) add(got testsite.Answer) {
	if got.Err != nil || !got.Complete {
		return
	}
	an.mu.Lock()
	defer an.mu.Unlock()
	an.bills = append(an.bills, got.Header.Get(entry.HeaderBill))
}

// load asks entries for answers until ctx ends.
func load(ctx context.Context, si *testsite.Site, an *answers, wg *sync.WaitGroup, entries ...int) {
	for _, n := range entries {
		for range 4 {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					an.add(si.Chat(testsite.Call{Entry: n, Stream: n%2 == 0, Prompt: fmt.Sprint("sheet ", n, i)}))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
}

func TestEveryAnswerOfAKilledEntryIsBilledOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 5, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var an answers
		var wg sync.WaitGroup
		load(ctx, si, &an, &wg, 1, 2, 3)
		time.Sleep(1300 * time.Millisecond)
		si.KillEntry(1)
		time.Sleep(700 * time.Millisecond)
		si.KillEntry(2)
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
		time.Sleep(15 * time.Second)
		got := billed(t, si)
		qt.Assert(t, len(an.bills) > 100, qt.IsTrue)
		for _, id := range an.bills {
			qt.Assert(t, got[id], qt.IsTrue, qt.Commentf("bill %s of a whole answer is missing", id))
		}
	})
}

func TestBillsSurviveAStoreOutageAndAKillWithinIt(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var an answers
		var wg sync.WaitGroup
		load(ctx, si, &an, &wg, 1, 2)
		time.Sleep(time.Second)
		si.Store.Set(standin.Faults{Down: true})
		time.Sleep(3 * time.Second)
		si.KillEntry(1)
		time.Sleep(10 * time.Second)
		si.Store.Set(standin.Faults{LoseAnswers: 7})
		time.Sleep(2 * time.Second)
		cancel()
		wg.Wait()
		time.Sleep(15 * time.Second)
		got := billed(t, si)
		for _, id := range an.bills {
			qt.Assert(t, got[id], qt.IsTrue, qt.Commentf("bill %s is missing", id))
		}
		qt.Assert(t, si.State(2).BillsUnsealed, qt.Equals, int64(0))
	})
}

func TestLostAnswersOfBillWritesDoubleNothing(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var an answers
		var wg sync.WaitGroup
		load(ctx, si, &an, &wg, 1, 2, 3)
		for range 10 {
			si.Store.Set(standin.Faults{LoseAnswers: 3})
			time.Sleep(400 * time.Millisecond)
		}
		si.Store.Set(standin.Faults{})
		cancel()
		wg.Wait()
		time.Sleep(10 * time.Second)
		qt.Assert(t, len(billed(t, si)), qt.Equals, len(an.bills))
	})
}

func TestOwnerCutOffWhilePeersSealForItDoublesNothing(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		var an answers
		for range 10 {
			an.add(si.Chat(testsite.Call{Entry: 1}))
		}
		si.Store.Set(standin.Faults{Down: true})
		for range 10 {
			an.add(si.Chat(testsite.Call{Entry: 1}))
		}
		// The peers lose sight of entry-1, and seal for it; then it comes back
		// with the same bills.
		for n := 2; n <= 3; n++ {
			si.Net.Cut(testsite.Host(testsite.EntryName(1)), testsite.PeerAddress(n))
			si.Net.Cut(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(1))
		}
		si.Net.Cut(testsite.Host(testsite.EntryName(1)), testsite.StoreAddress)
		si.Store.Set(standin.Faults{})
		time.Sleep(12 * time.Second)
		si.Net.Restore(testsite.Host(testsite.EntryName(1)), testsite.StoreAddress)
		for n := 2; n <= 3; n++ {
			si.Net.Restore(testsite.Host(testsite.EntryName(1)), testsite.PeerAddress(n))
			si.Net.Restore(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(1))
		}
		time.Sleep(10 * time.Second)
		qt.Assert(t, len(an.bills), qt.Equals, 20)
		qt.Assert(t, len(billed(t, si)), qt.Equals, 20)
	})
}

func TestRetriesAndRepeatedRequestIDsAreBilledOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		si.Engines["engine-1"].Set(standin.Faults{FailModel: "m-1"})
		si.Engines["engine-2"].Set(standin.Faults{FailModel: "m-1"})
		for range 5 {
			qt.Assert(t, si.Chat(testsite.Call{Entry: 1}).Status, qt.Equals, 200)
		}
		for n := 1; n <= 2; n++ {
			si.Chat(testsite.Call{Entry: n, Header: map[string]string{entry.HeaderRequestID: "same"}})
		}
		time.Sleep(5 * time.Second)
		li := si.Bills()
		qt.Assert(t, len(li.Bills), qt.Equals, 6)
		qt.Assert(t, len(li.Repeated), qt.Equals, 1)
	})
}

func TestCancelledIsBilledForWhatCameAndCutIsNot(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 1}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		si.Chat(testsite.Call{Entry: 1, Stream: true, Tokens: 50, Context: ctx, OnChunk: func(n int) {
			if n == 10 {
				cancel()
			}
		}})
		time.Sleep(3 * time.Second)
		li := si.Bills()
		qt.Assert(t, len(li.Bills), qt.Equals, 1)
		qt.Assert(t, li.Bills[0].GetOutcome(), qt.Equals, "cancelled")
		tokens := li.Bills[0].GetOutputTokens()
		qt.Assert(t, tokens >= 10 && tokens < 20, qt.IsTrue, qt.Commentf("%d tokens", tokens))

		an := si.Chat(testsite.Call{Entry: 1, Stream: true, Tokens: 50, OnChunk: func(n int) {
			if n == 10 {
				si.Net.Kill("engine-1")
			}
		}})
		qt.Assert(t, an.Complete, qt.IsFalse)
		qt.Assert(t, an.Body, qt.Contains, "answer_incomplete")
		time.Sleep(3 * time.Second)
		qt.Assert(t, len(si.Bills().Bills), qt.Equals, 1)
	})
}

// TestMissingPeersDoNotFloodTheStore has fewer peers than copies are set: bills
// must not go to the store one by one.
func TestMissingPeersDoNotFloodTheStore(t *testing.T) {
	for _, entries := range []int{1, 2} {
		withSite(t, testsite.Options{Entries: entries, Engines: 3}, func(t *testing.T, si *testsite.Site) {
			ctx, cancel := context.WithCancel(t.Context())
			var an answers
			var wg sync.WaitGroup
			_, before := si.Store.Calls()
			load(ctx, si, &an, &wg, 1, 1, 1, 1)
			time.Sleep(10 * time.Second)
			cancel()
			wg.Wait()
			_, after := si.Store.Calls()
			writes := float64(after-before) / 10
			t.Logf("%d entries: %d answers, %.1f writes a second", entries, len(an.bills), writes)
			qt.Assert(t, writes <= 50, qt.IsTrue, qt.Commentf("%.1f writes a second", writes))
		})
	}
}
