package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/router"
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

// TestOddPromptLengthHarmsNoOtherCaller has one caller state odd lengths of its prompts. Two of 2^62
// tokens added up to a negative length: the router and its peers took the endpoint for one with the
// least work, and what they learnt from its answer made every estimate of the service 1e13 s long.
func TestOddPromptLengthHarmsNoOtherCaller(t *testing.T) {
	const routers, engines, mostWork = 3, 6, 20.0 // seconds: the timeout of the route
	for _, prompt := range []string{
		"a:4611686018427387904,b:4611686018427387904", "a:9223372036854775807,b:9223372036854775807", "a:9223372036854775807", "a:4611686018427387904",
		"a:9007199254740993,b:1", "a:2147483648,b:2147483648", "a:18446744073709551616", "a:484470,b:" + strings.Repeat("9", 400), "a:0",
	} {
		t.Run(fmt.Sprintf("%.60s", prompt), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: routers, Engines: engines}, func(t *testing.T, rs *testsite.RouterSite) {
				load := &promptLoad{site: rs, routers: routers, callers: 24, pause: 300 * time.Millisecond}
				defer load.start()()
				time.Sleep(5 * time.Second)
				from := time.Now()
				for n := range 30 {
					an := do(rs, request{router: 1 + n%routers, id: fmt.Sprint("odd", n), path: testsite.EngineRoute, header: map[string]string{"Prompt-Prefix": prompt}})
					qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s", an.body))
					for r := 1; r <= routers; r++ {
						for id, lo := range rs.Routers[r].Dump().(router.State).Relay.Endpoints {
							work := float64(lo.Backlog)
							qt.Check(t, work >= 0 && work <= float64(lo.Running)*mostWork, qt.IsTrue, qt.Commentf("router %d, %s: %g s for %d requests", r, id, work, lo.Running))
						}
					}
				}
				time.Sleep(5 * time.Second)
				qt.Check(t, load.share(from, time.Now().Add(-time.Second)) >= 0.99, qt.IsTrue, qt.Commentf("%.3f served", load.share(from, time.Now().Add(-time.Second))))
				most, sum := 0, 0
				for n := 1; n <= engines; n++ {
					runs := len(runsBetween(rs, n, from, time.Now()))
					most, sum = max(most, runs), sum+runs
				}
				mean := float64(sum) / engines
				qt.Check(t, float64(most) <= 1.5*mean, qt.IsTrue, qt.Commentf("the busiest endpoint got %d requests, the mean is %.0f", most, mean))
			})
		})
	}
}

// TestEventsWithOddNumbersAreNotDropped has a replica number its events oddly. Events with a negative
// number, and those after one of 2^63-1, were left out of an answer that ended as complete.
func TestEventsWithOddNumbersAreNotDropped(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		for _, ids := range [][]string{
			{"1", "2", "3"}, {"-3", "-2", "-1"}, {"9223372036854775807", "1", "2"}, {"18446744073709551616", "1", "2"}, {"-9223372036854775808", "1", "2"},
			{"1.5", "1", "2"}, {"9007199254740993", "1", "2"}, {strings.Repeat("9", 400), "1", "2"}, {"NaN", "1", "2"},
		} {
			t.Run(fmt.Sprintf("resumable %t, %.20s", resumable, ids[0]), func(t *testing.T) {
				withSite(t, testsite.RouterOptions{Routers: 1}, func(t *testing.T, rs *testsite.RouterSite) {
					rs.Serve("scribe", testsite.ReplicaAddress(testsite.EngineService, 1, "v1"), http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
						wr.Header().Set("Content-Type", "text/event-stream")
						wr.Header().Set("Response-Signature", "signed")
						wr.Header().Set("Attempt-Id", rq.Header.Get("Attempt-Id"))
						for n, id := range ids {
							_, _ = fmt.Fprintf(wr, "id: %s\ndata: piece %d\n\n", id, n)
						}
					}))
					rs.Register(testsite.EngineService, 1, "v1", "ready")
					rs.Configure(func(co *testsite.Configuration) { co.Routes[0].StreamResume = resumable })
					time.Sleep(applyLimit)
					an := do(rs, request{id: "a", path: testsite.EngineRoute})
					if an.err != nil || an.status != http.StatusOK {
						return // not taken for a complete answer
					}
					for n := range ids {
						qt.Check(t, strings.Count(an.body, fmt.Sprint("piece ", n)), qt.Equals, 1, qt.Commentf("%q", an.body))
					}
				})
			})
		}
	}
}
