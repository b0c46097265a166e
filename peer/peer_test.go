package peer_test

import (
	"bytes"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
)

func newHandler() (*peer.Group, http.Handler) {
	ho := configuration.NewHolder(event.Discard())
	gr := peer.NewGroup(peer.Options{Self: &rpc.Member{Vm: "a", Role: peer.RoleEntry}, SharedKey: "the shared key", FailedAfter: time.Second}, ho, network.Real(), event.Discard())
	return gr, peer.NewServer(gr, nil, nil).Handler()
}

func TestCallsNeedTheSharedKey(t *testing.T) {
	_, ha := newHandler()
	for _, ca := range []struct {
		header string
		status int
	}{{"", 401}, {"Bearer wrong", 401}, {"the shared key", 401}, {"Bearer the shared key", 200}} {
		rq := httptest.NewRequest(http.MethodPost, "/twirp/tanager.peer.PeerService/Exchange", bytes.NewReader(nil))
		rq.Header.Set("Content-Type", "application/protobuf")
		rq.Header.Set("Authorization", ca.header)
		rs := httptest.NewRecorder()
		ha.ServeHTTP(rs, rq)
		qt.Assert(t, rs.Code, qt.Equals, ca.status, qt.Commentf("%q: %s", ca.header, rs.Body))
	}
}

// TestTablesConvergeInAnyOrder writes the same items to two tables in different
// orders, with repeats. Both tables must keep the newest version of each key.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type write struct {
			key string
			ve  peer.Version
		}
		var writes []write
		for range rapid.IntRange(1, 20).Draw(rt, "writes") {
			writes = append(writes, write{
				key: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"),
				ve:  peer.Version{Fence: rapid.Int64Range(1, 3).Draw(rt, "fence"), Sequence: rapid.Int64Range(1, 3).Draw(rt, "sequence")},
			})
		}
		one, other := peer.NewTable(), peer.NewTable()
		for _, wr := range writes {
			one.Put(wr.key, wr.ve, nil, time.Now())
		}
		for _, wr := range rapid.Permutation(writes).Draw(rt, "order") {
			other.Put(wr.key, wr.ve, nil, time.Now())
		}
		as, bs := one.List(""), other.List("")
		if len(as) != len(bs) {
			rt.Fatalf("tables hold %d and %d items", len(as), len(bs))
		}
		for i := range as {
			if as[i].Version != bs[i].Version {
				rt.Fatalf("item %s has version %v in one table and %v in the other", as[i].Key, as[i].Version, bs[i].Version)
			}
		}
	})
}

// TestItemsOfOddAgesAreNotOfTheFuture has a peer send items of odd ages. The largest one wrapped, so
// that an item of unknown age counted as new, and negative ones kept an item for as long as they said.
func TestItemsOfOddAgesAreNotOfTheFuture(t *testing.T) {
	for age, kept := range map[int64]bool{0: true, 1000: true, -5000: true, math.MinInt64: true, 60_000: false, math.MaxInt64: false, 1 << 62: false} {
		gr, ha := newHandler()
		text, err := proto.Marshal(&rpc.ExchangeRequest{From: &rpc.Member{Vm: "b"}, Items: []*rpc.Item{{Key: "load/b", Fence: 1, Sequence: 1, Value: []byte{}, AgeMs: age}}})
		qt.Assert(t, err, qt.IsNil)
		rq := httptest.NewRequest(http.MethodPost, "/twirp/tanager.peer.PeerService/Exchange", bytes.NewReader(text))
		rq.Header.Set("Content-Type", "application/protobuf")
		rq.Header.Set("Authorization", "Bearer the shared key")
		ha.ServeHTTP(httptest.NewRecorder(), rq)
		it, ok := gr.Table().Get("load/b")
		qt.Check(t, ok, qt.Equals, kept, qt.Commentf("%d", age))
		qt.Check(t, it.WrittenAt.After(time.Now()), qt.IsFalse, qt.Commentf("%d: %v", age, it.WrittenAt))
	}
}

// FuzzExchange sends arbitrary request bodies, such as items with a negative age
// or undecodable members; the server must not panic.
func FuzzExchange(f *testing.F) {
	text, err := proto.Marshal(&rpc.ExchangeRequest{
		From:  &rpc.Member{Vm: "b", Incarnation: "i"},
		Items: []*rpc.Item{{Key: "member/entry/b", Fence: 1, Sequence: 1, Value: []byte{1}, AgeMs: -5}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		gr, ha := newHandler()
		rq := httptest.NewRequest(http.MethodPost, "/twirp/tanager.peer.PeerService/Exchange", bytes.NewReader(text))
		rq.Header.Set("Content-Type", "application/protobuf")
		rq.Header.Set("Authorization", "Bearer the shared key")
		ha.ServeHTTP(httptest.NewRecorder(), rq)
		_ = gr.Members()
	})
}
