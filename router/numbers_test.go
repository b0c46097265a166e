package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// outsideNumbers are numbers that an operator may write for "no limit", or by mistake. The users'
// pages bound none of them.
var outsideNumbers = []string{
	"0", "-1", "2147483648", "9007199254740993", "9223372036854775807", "-9223372036854775808", "9223372036854775808",
	"18446744073709551616", "4611686018427387904", "1500.5", "2e3", "1e308", "1e400", strings.Repeat("9", 400),
}

// configurationNumbers are the paths of the numbers in the configuration of a test site that
// routers use.
var configurationNumbers = []string{
	"routes.0.timeout_ms", "routes.1.timeout_ms", "routes.0.target_latency_ms", "routes.1.target_latency_ms", "routes.2.target_latency_ms",
	"routes.0.target_gap_ms", "routes.0.priority", "routes.1.priority", "routes.0.max_attempts", "routes.1.max_attempts",
	"services.0.max_connections", "services.1.max_connections", "services.0.engine.slots", "services.0.engine.kv_tokens",
	"limits.max_header_bytes", "limits.max_body_bytes", "limits.header_timeout_ms", "limits.idle_timeout_ms",
}

// TestAnyNumberOfAConfigurationIsServed has the operator write a configuration with one odd number.
// With the largest integer as timeout_ms, all routers answered each request of the route 503; a
// larger number or a fraction dropped the version.
func TestAnyNumberOfAConfigurationIsServed(t *testing.T) {
	for _, path := range configurationNumbers {
		t.Run(path, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 2, Engines: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				for i, number := range outsideNumbers {
					key, comment := fmt.Sprint("key of ", i), qt.Commentf("%s = %.25s", path, number)
					rs.ConfigureNumber(path, number, key)
					time.Sleep(applyLimit)
					for n := 1; n <= 2; n++ {
						for _, prefix := range []string{testsite.EngineRoute, testsite.UnsafeRoute, testsite.SafeRoute} {
							an := do(rs, request{router: n, id: fmt.Sprint("a", i, n, prefix[1:2]), key: key, path: prefix})
							qt.Check(t, an.err, qt.IsNil, comment)
							qt.Check(t, an.status, qt.Equals, http.StatusOK, comment)
						}
					}
					an := doBody(rs, fmt.Sprint("b", i), "loan", true)
					qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s = %.25s, body in chunks", path, number))
				}
			})
		})
	}
}

// TestLargestBodyLimitAllowsBodiesInChunks has the operator allow bodies of any size. All routers
// refused chunked bodies of more than 4 KiB, as if there were no memory.
func TestLargestBodyLimitAllowsBodiesInChunks(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		whole := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			_, _ = io.Copy(io.Discard, rq.Body)
			wr.Header().Set("Response-Signature", "signed")
			wr.Header().Set("Attempt-Id", rq.Header.Get("Attempt-Id"))
		})
		rs.Serve("desk", testsite.ReplicaAddress(testsite.PlainService, 1, "v1"), whole)
		rs.Register(testsite.PlainService, 1, "v1", "ready")
		for i, number := range []string{"1048576", "1099511627776", "9223372036854775806", "9223372036854775807", "1e308"} {
			rs.ConfigureNumber("limits.max_body_bytes", number, "any")
			time.Sleep(applyLimit)
			for _, chunked := range []bool{false, true} {
				an := doBody(rs, fmt.Sprint("b", i, chunked), strings.Repeat("x", 6000), chunked)
				qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s, chunked %t: %s", number, chunked, an.body))
			}
		}
	})
}
