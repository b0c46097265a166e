package limit_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// BenchmarkRequestAfterAHeartbeat measures the first request after each heartbeat of one of 240
// endpoints that are warm.
func BenchmarkRequestAfterAHeartbeat(b *testing.B) {
	endpoint := func(sequence int) *rpc.Endpoint {
		return &rpc.Endpoint{Kind: rpc.EndpointKind_PLAIN, Url: "http://10.0.0.1:80", Service: "s", FailureDomain: "fd-1", Slots: 32, StartedAtMs: int64(sequence)}
	}
	specs := map[string]proto.Message{}
	for n := range 240 {
		specs[fmt.Sprint("e-", n)] = endpoint(1)
	}
	ho := configuration.NewHolder(event.Discard())
	replaceRecords(b, ho, 10, map[policy.Kind]map[string]proto.Message{policy.KindService: {"s": &rpc.Service{ColdPerSecond: 11}}, policy.KindEndpoint: specs})
	li, now := limit.New(time.Now(), loneGroup("vm-0", ho), ho, event.Discard()), time.Now()
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		re, _ := policy.NewRecord(policy.KindEndpoint, "e-0", endpoint(n+2))
		ho.Update(store.Revision(n+11), []policy.StoredRecord{re.Stored(store.Revision(n + 11))})
		b.StartTimer()
		li.Take(now, "e-1")
	}
}
