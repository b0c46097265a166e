package capacity_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/setting"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/store"
)

// benchTokens is the length of the answers in BenchmarkAnswer.
const benchTokens = 100

// startEntry starts an entry that sends requests to the engine at an address, and
// returns the entry's base URL.
func startEntry(b *testing.B, engineAddress string) string {
	gin.SetMode(gin.ReleaseMode)
	st := standin.NewStore()
	platform := http.NewServeMux()
	platform.Handle("/v3/", st.Handler())
	platform.Handle("/vms", standin.NewVMList(0).Handler())
	address := serveHandler(b, platform)
	applyPolicy(b, address, engineAddress)
	text := fmt.Sprintf("[vm]\nid = e\nsite = s\nfailure_domain = f\n[listen]\ncallers = 127.0.0.1:18801\nadmin = 127.0.0.1:18901\npeers = 127.0.0.1:18701\n[store]\nurls = http://%s\n[platform]\nvm_list_url = http://%s/vms\n[peers]\nshared_key = 0123456789abcdef\n", address, address)
	file := filepath.Join(b.TempDir(), "entry.ini")
	qt.Assert(b, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	var es rpc.EntrySettings
	qt.Assert(b, setting.Load(file, &es), qt.IsNil)
	da, err := entry.New(&es, network.Real(), event.Discard())
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, da.Start(), qt.IsNil)
	b.Cleanup(func() { da.Close(b.Context()) })
	for da.Dump().(entry.State).PolicyRevision == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return "http://127.0.0.1:18801"
}

// serveHandler serves a handler on a free port until the benchmark ends, and returns
// its address.
func serveHandler(b *testing.B, ha http.Handler) string {
	li, err := network.Real().Listen("127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Second}
	var wg sync.WaitGroup
	wg.Go(func() { _ = sv.Serve(li) })
	b.Cleanup(func() {
		_ = sv.Close()
		wg.Wait()
	})
	return li.Addr().String()
}

// applyPolicy writes the policy of BenchmarkAnswer, with one model and one endpoint, to
// the store.
func applyPolicy(b *testing.B, storeAddress, engineAddress string) {
	cl := store.NewClient(store.Options{URLs: []string{"http://" + storeAddress}, Timeout: time.Second, Dial: network.Real().Dial})
	defer cl.Close()
	var rq configuration.Request
	for _, text := range []string{
		`{"schema_version":2,"kind":"rank","id":"standard","spec":{"order":0}}`,
		`{"schema_version":2,"kind":"model","id":"m","spec":{"stable_version":"m-1"}}`,
		`{"schema_version":2,"kind":"version","id":"m-1","spec":{"model":"m","engine_model":"m","cost":{"input":1,"output":2}}}`,
		fmt.Sprintf(`{"schema_version":2,"kind":"endpoint","id":"e","spec":{"url":"http://%s","failure_domain":"f","versions":["m-1"],"slots":64,"echoes_request_id":true}}`, engineAddress),
		fmt.Sprintf(`{"schema_version":2,"kind":"organisation","id":"o","spec":{"key_hashes":[%q],"allowed_models":["*"]}}`, policy.HashKey("chest-key")),
	} {
		re, err := policy.ParseRecord([]byte(text))
		qt.Assert(b, err, qt.IsNil)
		rq.Changes = append(rq.Changes, configuration.Change{Record: re})
	}
	_, err := configuration.NewWriter(configuration.Keys{Root: "tanager/"}, cl).Apply(b.Context(), rq)
	qt.Assert(b, err, qt.IsNil)
}

// BenchmarkAnswer measures streamed answers directly from an engine and through an
// entry, in one run so that the figures can be compared. The entry has no peer to keep
// copies of its bills, so it writes each bill to the store before the last chunk of
// the answer.
func BenchmarkAnswer(b *testing.B) {
	engineAddress := serveEngine(b)
	for _, variant := range []struct{ name, url string }{
		{"direct", "http://" + engineAddress},
		{"through-entry", startEntry(b, engineAddress)},
	} {
		b.Run(variant.name, func(b *testing.B) {
			client := network.Real().Client(64)
			var firstEventTimes []time.Duration
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				first, _ := streamChat(b, client, variant.url, benchTokens, n)
				firstEventTimes = append(firstEventTimes, first)
			}
			slices.Sort(firstEventTimes)
			b.ReportMetric(float64(firstEventTimes[len(firstEventTimes)/2].Microseconds()), "first-us-p50")
			b.ReportMetric(float64(firstEventTimes[len(firstEventTimes)*95/100].Microseconds()), "first-us-p95")
		})
	}
}
