package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// TestPlaceAtAnOverfullEndpointStaysTaken ends a request while others wait that the endpoint has no
// room for: the next one, sent at once, made it fall over.
func TestPlaceAtAnOverfullEndpointStaysTaken(t *testing.T) {
	const places = 5
	for _, tt := range []struct {
		name    string
		waiting int
		taken   time.Duration
	}{
		{"half without room", 5, 500 * time.Millisecond},
		{"room for all", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start, ho := time.Now(), configuration.NewHolder(event.Discard())
			replaceRecords(t, ho, 10, map[policy.Kind]map[string]proto.Message{
				policy.KindService: {"s": &rpc.Service{}},
				policy.KindEndpoint: {"e": &rpc.Endpoint{
					Kind: rpc.EndpointKind_PLAIN, Url: "http://10.0.0.1:80", Service: "s", FailureDomain: "fd-1", Slots: places,
				}},
			})
			en, _ := ho.Set().Endpoints.ByID("e")
			br := limit.NewBrittle(start.Add(-time.Minute), loneGroup("vm-0", ho), ho, event.Discard())
			br.Named(start, en, 1)
			br.Reported(start, en, limit.Occupancy{Running: places, Waiting: tt.waiting})
			br.Served(start, en, time.Second)
			if tt.taken > 0 {
				qt.Check(t, br.Allowance(start.Add(tt.taken-time.Millisecond), en).Places, qt.Equals, places-1)
			}
			qt.Check(t, br.Allowance(start.Add(tt.taken), en).Places, qt.Equals, places)
		})
	}
}
