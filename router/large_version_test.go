package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// TestVersionWithManyKeysReplacesTheOneBefore has the operator write a version in which a tenant
// has more keys than a record of 256 KiB holds, an old key is gone and a route is new. All routers
// went on with the version before, and had none after a restart (review/2).
func TestVersionWithManyKeysReplacesTheOneBefore(t *testing.T) {
	const routers, keys = 5, 12_000
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) { co.Tenants[0].APIKeys = append(co.Tenants[0].APIKeys, "taken away") })
		ask := func(router int, id, key, path string) int {
			return do(rs, request{router: router, id: fmt.Sprint(id, router, time.Now().UnixNano()), key: key, path: path, method: http.MethodGet}).status
		}
		rs.Eventually(applyLimit, "the first version is in force", func() bool { return ask(routers, "a", "taken away", testsite.SafeRoute) == http.StatusOK })
		rs.Configure(func(co *testsite.Configuration) {
			for n := range keys {
				co.Tenants[0].APIKeys = append(co.Tenants[0].APIKeys, fmt.Sprintf("key%017d", n))
			}
			route := co.Routes[len(co.Routes)-1]
			route.Name, route.Prefix, route.Kind, route.Service = "r-new", "/new/", "safe", testsite.PlainService
			co.Routes = append(co.Routes, route)
		})
		time.Sleep(applyLimit)
		check := func(when string) {
			for n := 1; n <= routers; n++ {
				qt.Check(t, ask(n, "b", "taken away", testsite.SafeRoute), qt.Equals, http.StatusUnauthorized, qt.Commentf("%s, router %d", when, n))
				qt.Check(t, ask(n, "c", fmt.Sprintf("key%017d", keys-1), "/new/x"), qt.Equals, http.StatusOK, qt.Commentf("%s, router %d", when, n))
			}
		}
		check("after the change")
		for n := 1; n <= routers; n++ {
			rs.KillRouter(n)
		}
		for n := 1; n <= routers; n++ {
			rs.StartRouter(n)
		}
		rs.Eventually(applyLimit+2*time.Second, "the routers are ready again", rs.AllReady)
		check("after a restart")
	})
}
