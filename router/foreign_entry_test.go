package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// foreignEntries returns what another writer may leave among the entries of replicas, by name.
// None of them names a replica. Those with an address that the network of tests takes
// name one that counts its connections.
func foreignEntries() map[string]string {
	const good = `{"service":"desk","address":"10.66.0.1:80","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":5`
	with := func(old, text string) string {
		if !strings.Contains(good, old) {
			panic("no " + old)
		}
		return strings.Replace(good, old, text, 1) + "}"
	}
	return map[string]string{
		"nested":            good + `,"later":` + strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000) + "}",
		"nested, not ended": strings.Repeat(`{"a":`, 200_000),
		"port too large":    with("10.66.0.1:80", "10.66.0.1:65536"),
		"port far too large": with(
			"10.66.0.1:80", "10.66.0.1:99999999999"),
		"port zero":          with("10.66.0.1:80", "10.66.0.1:0"),
		"port name":          with("10.66.0.1:80", "10.66.0.1:http"),
		"port with line end": with("10.66.0.1:80", `10.66.0.1:80\r\nx`),
		"address with user":  with("10.66.0.1:80", "user@10.66.0.1:80"),
		"address of any":     with("10.66.0.1:80", "0.0.0.0:80"),
		"slots overflow":     with(`"slots":8`, `"slots":4611686018427387904`),
		"slots too large":    with(`"slots":8`, `"slots":1e400`),
		"cold too large":     with(`"cold_remaining_ms":0`, `"cold_remaining_ms":1e400`),
		"born too large":     with(`"born":5`, `"born":9223372036854775808`),
		"sequence too large": with(`"sequence":1`, `"sequence":1e99999999`),
		"huge zone":          with("zone-a", strings.Repeat("z", 900<<10)),
		"no text":            "\xff\xfe\x00",
		"nothing":            "",
	}
}

// dialled counts the connections to the addresses of foreignEntries.
func dialled(rs *testsite.RouterSite) *atomic.Int64 {
	var count atomic.Int64
	for _, address := range []string{"10.66.0.1:80", "10.66.0.1:65536", "10.66.0.1:99999999999", "10.66.0.1:0", "10.66.0.1:", "0.0.0.0:80"} {
		rs.Serve(testsite.Host("odd "+address), address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	}
	return &count
}

// TestForeignEntriesLeaveTheOthersInForce has another writer leave odd entries among those of
// the replicas: before the routers start, and while they run. They must get no request, at the
// routers that read the store and at those that follow them. A later change must arrive.
func TestForeignEntriesLeaveTheOthersInForce(t *testing.T) {
	const routers = 5
	withSite(t, testsite.RouterOptions{Plains: 2, Unconfigured: true}, func(t *testing.T, rs *testsite.RouterSite) {
		odd := dialled(rs)
		entries := foreignEntries()
		write := func(prefix string) {
			number := 0
			for _, text := range entries {
				number++
				rs.Store.Write(fmt.Sprint("servers/", prefix, number), []byte(text))
			}
		}
		checkServed := func(when string) {
			for n := range 14 {
				an := do(rs, request{router: 1 + n%routers, id: fmt.Sprint(when, n), path: testsite.SafeRoute + "x"})
				qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %v", when, an))
			}
			qt.Check(t, odd.Load(), qt.Equals, int64(0), qt.Commentf("%s: requests at foreign entries", when))
		}
		write("a-")
		rs.Configure(nil)
		for n := 1; n <= routers; n++ {
			rs.StartRouter(n)
		}
		time.Sleep(4 * time.Second)
		checkServed("read")
		write("z-")
		rs.AddReplica(testsite.PlainService, 3, "v1")
		write("m-")
		time.Sleep(2 * time.Second)
		checkServed("watched")
		rs.Unregister(testsite.PlainService, 1, "v1")
		inForceAfter(rs, 2*time.Second, others(routers, nil))
	})
}

// TestReplicaIsBackAfterAForeignEntry has another writer replace a replica's entry, and the
// replica write its own again.
func TestReplicaIsBackAfterAForeignEntry(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		odd := dialled(rs)
		// Until then a registration that is gone is kept, as after an outage of the store.
		time.Sleep(5 * time.Second)
		for name, text := range foreignEntries() {
			rs.Store.Write("servers/"+testsite.ReplicaID(testsite.PlainService, 1, "v1"), []byte(text))
			time.Sleep(time.Second)
			for n := range 6 {
				an := do(rs, request{router: 1 + n%3, id: fmt.Sprint(name, n), path: testsite.SafeRoute + "x"})
				qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %v", name, an))
			}
			qt.Check(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs()), qt.Equals, 0, qt.Commentf("%s", name))
		}
		qt.Check(t, odd.Load(), qt.Equals, int64(0))
		rs.Register(testsite.PlainService, 1, "v1", "ready")
		rs.Unregister(testsite.PlainService, 2, "v1")
		time.Sleep(time.Second)
		for n := range 6 {
			an := do(rs, request{router: 1 + n%3, id: fmt.Sprint("back", n), path: testsite.SafeRoute + "x"})
			qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%v", an))
		}
		qt.Check(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs()), qt.Equals, 6)
	})
}

// TestManyLargeEntriesLeaveTheStoreFollowed has another writer leave more, between two answers of
// the watch, than a router reads of one answer. The watch began again at the same revision, for
// the same answer, and no later change came into force.
func TestManyLargeEntriesLeaveTheStoreFollowed(t *testing.T) {
	const routers = 5
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		time.Sleep(5 * time.Second)
		for n := range 14 {
			rs.Store.Write(fmt.Sprint("servers/large-", n), []byte(strings.Repeat("{", 1_000_000)))
		}
		inForceAfter(rs, 2*time.Second, others(routers, nil))
	})
}
