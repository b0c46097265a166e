package proof_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

func TestCallersMistakesGetClearErrors(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: map[string]string{"serving": "max_body_bytes = 2048", "billing": "copies = 0"}}, func(t *testing.T, si *testsite.Site) {
		for _, ca := range []struct {
			call   testsite.Call
			status int
			code   string
		}{
			{testsite.Call{Prompt: strings.Repeat("x", 4096)}, 413, "body_too_large"},
			{testsite.Call{Header: map[string]string{entry.HeaderRank: "none"}}, 400, "invalid_request"},
			{testsite.Call{Header: map[string]string{entry.HeaderDeadline: "-1"}}, 400, "invalid_request"},
			{testsite.Call{Header: map[string]string{entry.HeaderSession: "forged"}}, 400, "invalid_request"},
			{testsite.Call{Header: map[string]string{entry.HeaderSessionID: strings.Repeat("x", 300)}}, 400, "invalid_request"},
			{testsite.Call{Header: map[string]string{entry.HeaderDeadline: "1"}}, 429, "deadline_unreachable"},
		} {
			an := si.Chat(ca.call)
			qt.Assert(t, an.Status, qt.Equals, ca.status, qt.Commentf("%s", an.Body))
			qt.Assert(t, an.Body, qt.Contains, ca.code)
			qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		}
		qt.Assert(t, si.Engines["engine-1"].Ran(), qt.HasLen, 0)
	})
}

func TestOrganisationsBoundIsKept(t *testing.T) {
	bound := testsite.Record("organisation", "chest", fmt.Sprintf(`{"key_hashes":[%q],"allowed_models":["*"],"max_in_flight":3}`, hashOf(testsite.CallerKey)))
	withSite(t, testsite.Options{Entries: 1, Engines: 1, Records: []string{bound}, EntrySettings: alone()}, func(t *testing.T, si *testsite.Site) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for range 10 {
			wg.Go(func() {
				an := si.Chat(testsite.Call{Tokens: 40})
				mu.Lock()
				defer mu.Unlock()
				if an.Status == 429 {
					refused++
					qt.Check(t, an.Body, qt.Contains, "organisation_limit")
				}
			})
		}
		wg.Wait()
		qt.Assert(t, refused, qt.Equals, 7)
		qt.Assert(t, si.Chat(testsite.Call{}).Status, qt.Equals, 200)
	})
}

// TestSlowCallersAreGivenUp opens connections that send their headers, or
// their body, too slowly.
func TestSlowCallersAreGivenUp(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: alone()}, func(t *testing.T, si *testsite.Site) {
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
		for name, ca := range map[string]struct {
			text  string
			limit time.Duration
		}{
			"headers": {head, 6 * time.Second},
			"body":    {head + "Authorization: Bearer " + testsite.CallerKey + "\r\nContent-Length: 100\r\n\r\n{", 17 * time.Second},
		} {
			co, err := si.Net.ForHost(testsite.Caller).Dial(t.Context(), "tcp", testsite.EntryAddress(1))
			qt.Assert(t, err, qt.IsNil)
			started := time.Now()
			_, err = co.Write([]byte(ca.text))
			qt.Assert(t, err, qt.IsNil)
			_, _ = io.ReadAll(co)
			qt.Assert(t, time.Since(started) <= ca.limit, qt.IsTrue, qt.Commentf("%s: held for %s", name, time.Since(started)))
			_ = co.Close()
		}
		si.Eventually(time.Second, "nothing in flight", func() bool { return si.State(1).InFlight == 0 })
	})
}

func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	withSite(t, testsite.Options{Entries: 1, Engines: 1, EntrySettings: alone()}, func(t *testing.T, si *testsite.Site) {
		co, err := si.Net.ForHost(testsite.Caller).Dial(t.Context(), "tcp", testsite.EntryAddress(1))
		qt.Assert(t, err, qt.IsNil)
		body := `{"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"x"}]}`
		_, err = fmt.Fprintf(co, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testsite.CallerKey, len(body), body)
		qt.Assert(t, err, qt.IsNil)
		si.Eventually(time.Second, "request in service", func() bool { return si.State(1).InFlight == 1 })
		// The connection is open, and nobody reads from it.
		si.Eventually(15*time.Second, "caller given up", func() bool { return si.State(1).InFlight == 0 })
		_ = co.Close()
		// The endpoint is not blamed, and what came is billed.
		qt.Assert(t, si.State(1).Endpoints["engine-1"].Failures, qt.Equals, 0)
		time.Sleep(2 * time.Second)
		qt.Assert(t, si.Bills().Bills[0].GetOutcome(), qt.Equals, "cancelled")
	})
}

// TestPartitionedFailureDomain cuts two entries and their stewards' store off
// from the rest, changes the configuration, and mends the cut.
func TestPartitionedFailureDomain(t *testing.T) {
	withSite(t, testsite.Options{Entries: 6, Engines: 2, Plains: 1}, func(t *testing.T, si *testsite.Site) {
		lost := []int{3, 6}
		each := func(fn func(from testsite.Host, to string)) {
			for _, a := range lost {
				fn(testsite.Host(testsite.EntryName(a)), testsite.StoreAddress)
				for _, b := range []int{1, 2, 4, 5} {
					fn(testsite.Host(testsite.EntryName(a)), testsite.PeerAddress(b))
					fn(testsite.Host(testsite.EntryName(b)), testsite.PeerAddress(a))
				}
			}
		}
		each(si.Net.Cut)
		revision := si.Apply(testsite.Record("version", "m-1", `{"model":"m","state":"WITHDRAWN"}`), testsite.Record("model", "m", `{"stable_version":"m-2"}`))
		si.Eventually(inForceLimit, "in force on the side of the store", inForce(si, revision, 1, 2, 4, 5))
		si.Eventually(inForceLimit, "the other side refuses", func() bool {
			return si.Chat(testsite.Call{Entry: 3}).Status == 503 && si.Chat(testsite.Call{Entry: 6}).Status == 503
		})
		refusedAt := time.Now()
		time.Sleep(5 * time.Second)
		qt.Assert(t, lastRun(si, "m-1").After(refusedAt), qt.IsFalse)
		an := si.Checkout(testsite.Call{Entry: 3}, "POST", "order-1", "{}")
		qt.Assert(t, an.Ran(), qt.Equals, entry.NotRun)
		qt.Assert(t, len(si.Addresses(1)), qt.Equals, 4)
		each(si.Net.Restore)
		si.Eventually(inForceLimit, "all serve the newest", func() bool {
			for n := 1; n <= 6; n++ {
				if si.Chat(testsite.Call{Entry: n}).Header.Get(entry.HeaderVersion) != "m-2" {
					return false
				}
			}
			return true
		})
	})
}

// TestRetriesAreNoStorm loses a failure domain under load.
func TestRetriesAreNoStorm(t *testing.T) {
	withSite(t, testsite.Options{Entries: 2, Engines: 3}, func(t *testing.T, si *testsite.Site) {
		received, sent := 0, func() int {
			n := 0
			for _, en := range si.Engines {
				n += len(en.Ran())
			}
			return n
		}
		failed := 0
		si.Engines["engine-1"].Set(standin.Faults{Freeze: true})
		for i := range 300 {
			received++
			an := si.Chat(testsite.Call{Entry: 1 + i%2, Prompt: fmt.Sprint("sheet ", i)})
			if an.Status != 200 {
				failed++
			}
		}
		qt.Assert(t, float64(sent()) <= 1.1*float64(received), qt.IsTrue)
		qt.Assert(t, failed <= 10, qt.IsTrue, qt.Commentf("%d of %d failed", failed, received))
	})
}

// TestEntriesShareThePoolWhateverTheirNames has entry-1 beside entry-10 and
// entry-11: each one's report counts once.
func TestEntriesShareThePoolWhateverTheirNames(t *testing.T) {
	withSite(t, testsite.Options{Entries: 11, Engines: 4}, func(t *testing.T, si *testsite.Site) {
		ctx, cancel := context.WithCancel(t.Context())
		var an answers
		var wg sync.WaitGroup
		load(ctx, si, &an, &wg, 1, 2, 10, 11)
		time.Sleep(2 * time.Second)
		const samples = 100
		sum := 0.0
		for range samples {
			for n := 1; n <= 11; n++ {
				sum += si.State(n).Pools["model/m"].Capacity / samples
			}
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		wg.Wait()
		const slots = 4 * 8
		qt.Assert(t, sum > 0.9*slots && sum < 1.1*slots, qt.IsTrue, qt.Commentf("entries share %.1f slots of %d", sum, slots))
	})
}
