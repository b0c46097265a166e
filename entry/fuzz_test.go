package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// FuzzChat sends chat requests with arbitrary bodies and headers to an entry that
// has a policy but no endpoints. It guards against input that causes an internal
// error or that is answered with 200, which needs an endpoint.
func FuzzChat(f *testing.F) {
	gin.SetMode(gin.ReleaseMode)
	es := &rpc.EntrySettings{
		Vm: &rpc.VMSection{Id: "e"}, Listen: &rpc.ListenSection{}, Store: &rpc.StoreSection{Urls: []string{"http://127.0.0.1:1"}},
		Platform: &rpc.PlatformSection{VmListUrl: "http://127.0.0.1:1"}, Peers: &rpc.PeersSection{SharedKey: "k"},
		Serving: &rpc.ServingSection{MaxBodyBytes: 1 << 16, MaxRequests: 100, MaxQueue: 100, MaxAttempts: 1},
		Billing: &rpc.BillingSection{MaxUnsealed: 10},
	}
	da, err := entry.New(es, network.Real(), event.Discard())
	if err != nil {
		f.Fatal(err)
	}
	da.ApplyPolicy([]policy.StoredRecord{
		{Key: "rank/r", Value: []byte(`{"schema_version":2,"kind":"rank","id":"r","spec":{}}`), ModRevision: 1},
		{Key: "organisation/o", Value: []byte(`{"schema_version":2,"kind":"organisation","id":"o","spec":{"key_hashes":["` + policy.HashKey("k") + `"],"allowed_models":["*"]}}`), ModRevision: 2},
		{Key: "model/m", Value: []byte(`{"schema_version":2,"kind":"model","id":"m","spec":{"stable_version":"m-1"}}`), ModRevision: 3},
		{Key: "version/m-1", Value: []byte(`{"schema_version":2,"kind":"version","id":"m-1","spec":{"model":"m"}}`), ModRevision: 4},
	})
	ha := da.Handler()
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}]}`, "r", "1000", "")
	f.Add(`{"model":"m","messages":[],"max_tokens":1e99}`, "", "-1", "a.b")
	f.Fuzz(func(t *testing.T, body, rank, deadline, session string) {
		rq := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		rq.Header.Set("Authorization", "Bearer k")
		rq.Header.Set(entry.HeaderRank, rank)
		rq.Header.Set(entry.HeaderDeadline, deadline)
		rq.Header.Set(entry.HeaderSession, session)
		rs := httptest.NewRecorder()
		ha.ServeHTTP(rs, rq)
		if rs.Code == http.StatusInternalServerError || rs.Code == http.StatusOK {
			t.Fatalf("entry without endpoints responded with %d, want neither 200 nor 500: %s", rs.Code, rs.Body)
		}
	})
}
