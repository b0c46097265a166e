package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// TestOnlyTenantNeedsItsKeyWhateverItsName has the operator give the only tenant another name. All
// routers ran requests with a key that no version held, and without the tenant's name (review/1).
func TestOnlyTenantNeedsItsKeyWhateverItsName(t *testing.T) {
	const routers = 3
	for _, name := range []string{"Map_Drawers", "नक्सा", "two words", "", strings.Repeat("x", 300)} {
		t.Run(name[:min(len(name), 20)], func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: routers, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.Configure(func(co *testsite.Configuration) { co.Tenants[0].Name, co.Tenants[0].APIKeys = name, []string{"own"} })
				time.Sleep(applyLimit)
				for n := 1; n <= routers; n++ {
					for _, key := range []string{"strange", "none"} {
						an := do(rs, request{router: n, id: fmt.Sprint(key, n), key: key, path: testsite.UnsafeRoute})
						qt.Check(t, an.status, qt.Equals, http.StatusUnauthorized, qt.Commentf("key %q", key))
					}
					id := fmt.Sprint("own", n)
					qt.Check(t, do(rs, request{router: n, id: id, key: "own", path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusOK)
					runs := runsOfRequest(rs, id)
					qt.Assert(t, runs, qt.HasLen, 1)
					qt.Check(t, runs[0].Header["Tenant"], qt.DeepEquals, []string{name})
				}
			})
		})
	}
}

// TestTenantThatCannotBeNamedIsRefusedAtOnce has a tenant whose name no header can hold. Replicas
// would take its requests for another tenant's; they are not run, and say so.
func TestTenantThatCannotBeNamedIsRefusedAtOnce(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			co.Tenants[0].Name, co.Tenants[0].APIKeys = " survey", []string{"own"}
			co.Tenants = append(co.Tenants, testsite.TenantConfiguration{Name: "survey", APIKeys: []string{"other"}})
		})
		time.Sleep(applyLimit)
		asked := time.Now()
		qt.Check(t, do(rs, request{id: "a", key: "own", path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, time.Since(asked) < 100*time.Millisecond, qt.IsTrue)
		qt.Check(t, runsOfRequest(rs, "a"), qt.HasLen, 0)
		qt.Check(t, do(rs, request{id: "b", key: "other", path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusOK)
	})
}

// TestModelThatCannotBeNamedHarmsNoEndpoint has a route list a model whose name no header can hold
// beside a sound one. Each send of it failed, and suspended the endpoint.
func TestModelThatCannotBeNamedHarmsNoEndpoint(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			co.Routes[0].Sizes = []string{"line\nend", testsite.SmallModel}
		})
		time.Sleep(applyLimit)
		for n := range 5 {
			qt.Check(t, do(rs, request{id: fmt.Sprint("a", n), path: testsite.EngineRoute}).status, qt.Equals, http.StatusOK)
		}
	})
}
