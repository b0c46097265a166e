// Package capacity_test measures the figures from which docs/CAPACITY.md
// extrapolates: how time, memory and network traffic grow with the number of daemons,
// replicas, records and requests.
package capacity_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/session"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/store"
)

// publishMembers publishes the states of n members through a group, each with a new
// sequence number.
func publishMembers(gr *peer.Group, n int) {
	for i := range n {
		me := &rpc.Member{
			Vm: fmt.Sprintf("np-central-%d", i), Role: peer.RoleEntry, Incarnation: "01M8ZDYG1CVNSVXNP0W41AC5YR", FailureDomain: "np-central-a",
			PeerAddress: "10.20.0.11:7700", CallersAddress: "10.20.0.11:7800", AdminAddress: "10.20.0.11:7900",
		}
		gr.PublishVersion(fmt.Sprintf("member/entry/np-central-%d", i), peer.Version{Fence: 1, Sequence: time.Now().UnixNano()}, me)
	}
}

// newGroup returns a group of peers whose only member is itself, and the server that
// answers calls from peers.
func newGroup(name string) (*peer.Group, *peer.Server) {
	ho := configuration.NewHolder(event.Discard())
	gr := peer.NewGroup(peer.Options{
		Self: &rpc.Member{Vm: name, Role: peer.RoleEntry}, SharedKey: "k", FailedAfter: 2 * time.Second,
	}, ho, network.Real(), event.Discard())
	return gr, peer.NewServer(gr, nil, nil)
}

// BenchmarkExchange measures one exchange between peers in which the state of every
// member is sent, as in operation, where each member's heartbeat changes once in each
// exchange interval.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{16, 70, 420} {
		b.Run(fmt.Sprintf("daemons-%d", n), func(b *testing.B) {
			gr, se := newGroup("a")
			rq := &rpc.ExchangeRequest{From: &rpc.Member{Vm: "b"}}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				publishMembers(gr, n)
				rs, err := se.Exchange(b.Context(), rq)
				qt.Assert(b, err, qt.IsNil)
				size = proto.Size(rs)
			}
			b.ReportMetric(float64(size), "bytes/exchange")
		})
	}
}

// endpointRecord returns the stored endpoint record of replica i, with revision i+1.
func endpointRecord(i int) policy.StoredRecord {
	text := fmt.Sprintf(`{"schema_version":2,"kind":"endpoint","id":"replica-%d","spec":{"kind":"ENGINE","url":"http://10.1.0.1:8000","failure_domain":"fd-%d","versions":["m-1","m-2"],"slots":8,"echoes_request_id":true}}`, i, i%16)
	return policy.StoredRecord{Key: fmt.Sprintf("endpoint/replica-%d", i), Value: []byte(text), ModRevision: store.Revision(i + 1)}
}

// BenchmarkPolicyChange measures the change of one record in policy sets of several
// sizes, and the heap that a record takes.
func BenchmarkPolicyChange(b *testing.B) {
	for _, n := range []int{20, 220, 2200} {
		b.Run(fmt.Sprintf("records-%d", n), func(b *testing.B) {
			var records []policy.StoredRecord
			for i := range n {
				records = append(records, endpointRecord(i))
			}
			heapBefore := liveHeap()
			se := policy.NewSet().WithChanges(0, records)
			heapUsed := liveHeap() - heapBefore
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				ch := endpointRecord(i % n)
				ch.ModRevision = store.Revision(n + i + 1)
				se = se.WithChanges(0, []policy.StoredRecord{ch})
			}
			b.ReportMetric(float64(heapUsed)/float64(n), "heap-bytes/record")
		})
	}
}

// liveHeap returns the bytes of heap that are in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// BenchmarkPin measures the time that it takes to pin a new session at the entry that
// stores the pin, and the heap that a pin takes.
func BenchmarkPin(b *testing.B) {
	gr, _ := newGroup("a")
	pi := session.NewPins(gr, session.EntryPinTTL)
	before := liveHeap()
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		rq := &rpc.PinRequest{Session: string(session.NewKey("survey-office", "tanager-scribes", session.ID(fmt.Sprint(n)))), Version: "tanager-scribes-1"}
		_, err := pi.Pin(context.Background(), rq)
		qt.Assert(b, err, qt.IsNil)
	}
	b.StopTimer()
	b.ReportMetric(float64(liveHeap()-before)/float64(pi.Len()), "heap-bytes/pin")
}

// BenchmarkBillSize measures the encoded size of a bill, which is the same on the
// wire and in a sealed batch.
func BenchmarkBillSize(b *testing.B) {
	bi := &rpc.Bill{
		Id: "01M8ZDYM5SZZCC49B9A5Z50SMP", Organisation: "survey-office", RequestId: "01M8ZDYM5SZZCC49B9A7DJX0Z9",
		Model: "tanager-scribes", Version: "tanager-scribes-1", Rank: "standard", InputTokens: 812, OutputTokens: 380,
		Cost: 2332, FinishedAtMs: 1796351152000, Outcome: "answered",
	}
	for b.Loop() {
		_, err := proto.Marshal(bi)
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(proto.Size(bi)), "bytes/bill")
}

// serveEngine starts a stand-in engine that answers without delay, and returns its
// address.
func serveEngine(b *testing.B) string {
	return serveHandler(b, standin.NewEngine(standin.EngineOptions{Slots: 64, CachedPrefixes: 4}).Handler())
}

// streamChat requests a streamed answer with a number of tokens, and returns the times
// until its first byte and until its end. n makes the request id unique.
func streamChat(b *testing.B, client *http.Client, url string, tokens, n int) (first, total time.Duration) {
	started := time.Now()
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	rq, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	qt.Assert(b, err, qt.IsNil)
	rq.Header.Set("Authorization", "Bearer chest-key")
	rq.Header.Set("X-Request-Id", fmt.Sprintf("bench-%d", n))
	rs, err := client.Do(rq)
	qt.Assert(b, err, qt.IsNil)
	buf := make([]byte, 1)
	_, err = io.ReadFull(rs.Body, buf)
	qt.Assert(b, err, qt.IsNil)
	first = time.Since(started)
	_, err = io.Copy(io.Discard, rs.Body)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, rs.Body.Close(), qt.IsNil)
	qt.Assert(b, rs.StatusCode, qt.Equals, http.StatusOK)
	return first, time.Since(started)
}
