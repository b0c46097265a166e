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

// storedBillIDs returns the IDs of the bills in the store. It fails the test if a
// bill is stored twice.
func storedBillIDs(t *testing.T, si *testsite.Site) map[string]bool {
	t.Helper()
	li := si.Bills()
	qt.Assert(t, li.Stored, qt.Equals, len(li.Bills)+len(li.Repeated), qt.Commentf("a bill is stored twice"))
	ids := map[string]bool{}
	for _, bi := range li.Bills {
		ids[bi.GetId()] = true
	}
	return ids
}

// billRecorder collects the bill IDs of the answers that callers received
// completely.
type billRecorder struct {
	mu      sync.Mutex
	billIDs []string
}

func (br *billRecorder) record(got testsite.Answer) {
	if got.Err != nil || !got.Complete {
		return
	}
	br.mu.Lock()
	defer br.mu.Unlock()
	br.billIDs = append(br.billIDs, got.Header.Get(entry.HeaderBill))
}

// generateLoad starts four goroutines for each element of entries, which send chat
// requests to that entry until ctx ends. An entry that is given twice gets eight.
// Entries with an even number are asked for streams. wg counts the goroutines.
func generateLoad(ctx context.Context, si *testsite.Site, br *billRecorder, wg *sync.WaitGroup, entries ...int) {
	for _, n := range entries {
		for range 4 {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					br.record(si.Chat(testsite.Call{Entry: n, Stream: n%2 == 0, Prompt: fmt.Sprint("sheet ", n, i)}))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
}

// TestEveryAnswerOfAKilledEntryIsBilledOnce kills two entries under load. The
// peers that hold copies of their bills must seal them.
func TestEveryAnswerOfAKilledEntryIsBilledOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 5, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var br billRecorder
		var wg sync.WaitGroup
		generateLoad(ctx, si, &br, &wg, 1, 2, 3)
		time.Sleep(1300 * time.Millisecond)
		si.KillEntry(1)
		time.Sleep(700 * time.Millisecond)
		si.KillEntry(2)
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
		time.Sleep(15 * time.Second)
		got := storedBillIDs(t, si)
		qt.Assert(t, len(br.billIDs) > 100, qt.IsTrue)
		for _, id := range br.billIDs {
			qt.Assert(t, got[id], qt.IsTrue, qt.Commentf("bill %s of a complete answer is missing", id))
		}
	})
}

// TestBillsSurviveStoreOutageAndEntryKill kills an entry while the store is down,
// so that its unsealed bills exist only at its peers.
func TestBillsSurviveStoreOutageAndEntryKill(t *testing.T) {
	withSite(t, testsite.Options{Entries: 4, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var br billRecorder
		var wg sync.WaitGroup
		generateLoad(ctx, si, &br, &wg, 1, 2)
		time.Sleep(time.Second)
		si.Store.SetFaults(standin.Faults{Down: true})
		time.Sleep(3 * time.Second)
		si.KillEntry(1)
		time.Sleep(10 * time.Second)
		si.Store.SetFaults(standin.Faults{LoseAnswers: 7})
		time.Sleep(2 * time.Second)
		cancel()
		wg.Wait()
		time.Sleep(15 * time.Second)
		got := storedBillIDs(t, si)
		for _, id := range br.billIDs {
			qt.Assert(t, got[id], qt.IsTrue, qt.Commentf("bill %s of a complete answer is missing", id))
		}
		qt.Assert(t, si.State(2).BillsUnsealed, qt.Equals, int64(0))
	})
}

// TestLostStoreResponsesDoNotDuplicateBills lets the store carry out writes of bills
// whose responses are lost, so that entries repeat them.
func TestLostStoreResponsesDoNotDuplicateBills(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var br billRecorder
		var wg sync.WaitGroup
		generateLoad(ctx, si, &br, &wg, 1, 2, 3)
		for range 10 {
			si.Store.SetFaults(standin.Faults{LoseAnswers: 3})
			time.Sleep(400 * time.Millisecond)
		}
		si.Store.SetFaults(standin.Faults{})
		cancel()
		wg.Wait()
		time.Sleep(10 * time.Second)
		qt.Assert(t, len(storedBillIDs(t, si)), qt.Equals, len(br.billIDs))
	})
}

// TestPartitionedOwnerDoesNotDuplicateBillsSealedByPeers cuts an entry with unsealed
// bills off from its peers and from the store, and reconnects it after its peers
// sealed the bills for it. The entry then seals them as well; none may be stored
// twice.
func TestPartitionedOwnerDoesNotDuplicateBillsSealedByPeers(t *testing.T) {
	withSite(t, testsite.Options{Entries: 3, Engines: 2}, func(t *testing.T, si *testsite.Site) {
		var br billRecorder
		for range 10 {
			br.record(si.Chat(testsite.Call{Entry: 1}))
		}
		si.Store.SetFaults(standin.Faults{Down: true})
		for range 10 {
			br.record(si.Chat(testsite.Call{Entry: 1}))
		}
		// During the 12 seconds the peers take entry-1 for failed and seal the copies
		// that they hold of its bills. Then entry-1 reaches the store again and seals
		// the same bills.
		for n := 2; n <= 3; n++ {
			si.Net.Cut(testsite.Host(testsite.EntryName(1)), testsite.PeerAddress(n))
			si.Net.Cut(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(1))
		}
		si.Net.Cut(testsite.Host(testsite.EntryName(1)), testsite.StoreAddress)
		si.Store.SetFaults(standin.Faults{})
		time.Sleep(12 * time.Second)
		si.Net.Restore(testsite.Host(testsite.EntryName(1)), testsite.StoreAddress)
		for n := 2; n <= 3; n++ {
			si.Net.Restore(testsite.Host(testsite.EntryName(1)), testsite.PeerAddress(n))
			si.Net.Restore(testsite.Host(testsite.EntryName(n)), testsite.PeerAddress(1))
		}
		time.Sleep(10 * time.Second)
		qt.Assert(t, len(br.billIDs), qt.Equals, 20)
		qt.Assert(t, len(storedBillIDs(t, si)), qt.Equals, 20)
	})
}

// TestRetriesAndRepeatedRequestIDsAreBilledOnce checks that an answer that took
// several attempts has one bill. Of two answers to the same request ID, the bill of the
// second must be stored as repeated.
func TestRetriesAndRepeatedRequestIDsAreBilledOnce(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		si.Engines["engine-1"].SetFaults(standin.Faults{FailModel: "m-1"})
		si.Engines["engine-2"].SetFaults(standin.Faults{FailModel: "m-1"})
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

// TestCancelledAnswerIsBilledAndTruncatedAnswerIsNot checks that an answer that its
// caller cancels is billed for the tokens sent until then, and that an answer that
// the failure of an engine cuts off is not billed.
func TestCancelledAnswerIsBilledAndTruncatedAnswerIsNot(t *testing.T) {
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

// TestMissingPeersDoNotOverloadStore runs fewer peers than the settings ask for
// copies of each bill. An entry without any peer has to seal a bill before it sends the
// end of the answer, and must batch the bills instead of storing each by itself. With a
// round of sealing every 25 ms it makes about 40 writes a second; without batches it
// would make one for each answer, of which it gives about 200 a second.
func TestMissingPeersDoNotOverloadStore(t *testing.T) {
	for _, entries := range []int{1, 2} {
		withSite(t, testsite.Options{Entries: entries, Engines: 3}, func(t *testing.T, si *testsite.Site) {
			ctx, cancel := context.WithCancel(t.Context())
			var br billRecorder
			var wg sync.WaitGroup
			_, writesBefore := si.Store.Calls()
			generateLoad(ctx, si, &br, &wg, 1, 1, 1, 1)
			time.Sleep(10 * time.Second)
			cancel()
			wg.Wait()
			_, writesAfter := si.Store.Calls()
			writes := float64(writesAfter-writesBefore) / 10
			t.Logf("%d entries: %d answers, %.1f store writes/s", entries, len(br.billIDs), writes)
			qt.Assert(t, writes <= 50, qt.IsTrue, qt.Commentf("%.1f store writes/s, limit 50", writes))
		})
	}
}
