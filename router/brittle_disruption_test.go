package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// These services are asked for twice or three times what they have room for.
var (
	overloadedPlain   = brittleCase{8, testsite.PlainService, 4, 2, 3, 2, 0}
	overloadedEngines = brittleCase{8, testsite.EngineService, 9, 2, 3, 2, 0}
	fragilePlain      = brittleCase{8, testsite.PlainService, 4, 3, 1, 0, 0}
)

// TestBrittleReplicasDoNotFallOverAsRoutersRestart kills routers while replicas are brittle:
// the new processes know nothing of it at first.
func TestBrittleReplicasDoNotFallOverAsRoutersRestart(t *testing.T) {
	for name, restart := range map[string]func(rs *testsite.RouterSite, routers int){
		"all at once": restartAll,
		"one": func(rs *testsite.RouterSite, _ int) {
			rs.KillRouter(2)
			time.Sleep(time.Second)
			rs.StartRouter(2)
		},
		"in turn": func(rs *testsite.RouterSite, routers int) {
			for n := 1; n <= routers; n++ {
				rs.KillRouter(n)
				time.Sleep(400 * time.Millisecond)
				rs.StartRouter(n)
				time.Sleep(400 * time.Millisecond)
			}
		},
	} {
		for _, bc := range []brittleCase{overloadedPlain, overloadedEngines, fragilePlain} {
			t.Run(fmt.Sprint(name, ", ", bc), func(t *testing.T) {
				bc.start(t, func(t *testing.T, rs *testsite.RouterSite, load *openLoad) {
					bc.turnBrittle(rs)
					time.Sleep(5 * time.Second)
					restart(rs, bc.routers)
					time.Sleep(6 * time.Second)
					bc.checkFalls(t, rs)
					from := time.Now()
					time.Sleep(5 * time.Second)
					bc.checkServed(t, load, from, from.Add(4*time.Second))
				})
			})
		}
	}
}

// TestBrittleReplicasDoNotFallOverAfterOneAnother has some or all replicas crash as they become
// brittle, or when they are: what they carried must not topple the others, nor themselves as they
// return.
func TestBrittleReplicasDoNotFallOverAfterOneAnother(t *testing.T) {
	for _, bc := range []brittleCase{overloadedPlain, overloadedEngines} {
		for _, crashes := range []struct {
			replicas int
			after    time.Duration
		}{{bc.replicas, 100 * time.Millisecond}, {bc.replicas, 5 * time.Second}, {2, 5 * time.Second}} {
			t.Run(fmt.Sprintf("%d crash after %v, %v", crashes.replicas, crashes.after, bc), func(t *testing.T) {
				bc.start(t, func(t *testing.T, rs *testsite.RouterSite, load *openLoad) {
					bc.turnBrittle(rs)
					time.Sleep(crashes.after)
					for n := 1; n <= crashes.replicas; n++ {
						rs.CrashReplica(bc.service, n, "v1")
					}
					time.Sleep(9 * time.Second)
					bc.checkFalls(t, rs)
					from := time.Now()
					time.Sleep(5 * time.Second)
					bc.checkServed(t, load, from, from.Add(4*time.Second))
				})
			})
		}
	}
}

// TestBrittleReplicasDoNotFallOverWithoutTheExchange cuts the routers off from one another as
// the replicas become brittle.
func TestBrittleReplicasDoNotFallOverWithoutTheExchange(t *testing.T) {
	for _, bc := range []brittleCase{overloadedPlain, overloadedEngines} {
		t.Run(bc.String(), func(t *testing.T) {
			bc.start(t, func(t *testing.T, rs *testsite.RouterSite, _ *openLoad) {
				for from := 1; from <= bc.routers; from++ {
					for to := 1; to <= bc.routers; to++ {
						rs.Net.Cut(testsite.Host(testsite.RouterName(from)), testsite.RouterAddress(to, 83))
					}
				}
				bc.turnBrittle(rs)
				time.Sleep(12 * time.Second)
				bc.checkFalls(t, rs)
			})
		})
	}
}

// TestReplicasAreUsedFullyAfterTheirBrittleness has replicas be brittle for a while. Afterwards
// no router must know them as brittle, and all room must be used.
func TestReplicasAreUsedFullyAfterTheirBrittleness(t *testing.T) {
	bc := overloadedPlain
	bc.start(t, func(t *testing.T, rs *testsite.RouterSite, load *openLoad) {
		bc.turnBrittle(rs)
		time.Sleep(6 * time.Second)
		setFaults(rs, standin.ReplicaFaults{})
		time.Sleep(2 * time.Second)
		from := time.Now()
		time.Sleep(3 * time.Second)
		bc.checkServed(t, load, from, from.Add(2*time.Second))
		for _, da := range rs.Routers {
			qt.Check(t, da.Dump().(router.State).Relay.Brittle, qt.HasLen, 0)
		}
	})
}

// TestRoomOfBrittleReplicasIsUsedAgain has brittle replicas refuse everything for a while, though
// they have room. A router that has lost its places by that hears of no load, and must get them back.
func TestRoomOfBrittleReplicasIsUsedAgain(t *testing.T) {
	bc := brittleCase{8, testsite.PlainService, 4, 2, 1000, 2, 0}
	bc.start(t, func(t *testing.T, rs *testsite.RouterSite, load *openLoad) {
		fragile := &standin.Brittleness{Refusals: bc.refusals, Queue: bc.queue}
		setFaults(rs, standin.ReplicaFaults{Brittle: fragile})
		time.Sleep(4 * time.Second)
		setFaults(rs, standin.ReplicaFaults{Brittle: fragile, NotRun: true})
		time.Sleep(3 * time.Second)
		setFaults(rs, standin.ReplicaFaults{Brittle: fragile})
		time.Sleep(25 * time.Second)
		from := time.Now()
		time.Sleep(3 * time.Second)
		bc.checkServed(t, load, from, from.Add(2*time.Second))
	})
}

// TestRefusalByABrittleReplicaEndsTheCall has all replicas of a brittle service refuse requests
// for want of room. A request must not go on from one to the next, and a replica that refused gets
// nothing for a while.
func TestRefusalByABrittleReplicaEndsTheCall(t *testing.T) {
	const replicas = 3
	spare := limit.SpareTime(1, 1)
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: replicas}, func(t *testing.T, rs *testsite.RouterSite) {
		fragile := &standin.Brittleness{Refusals: 1}
		setFaults(rs, standin.ReplicaFaults{Brittle: fragile})
		qt.Assert(t, do(rs, request{id: "served", path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		setFaults(rs, standin.ReplicaFaults{Brittle: fragile, NotRun: true})
		began := time.Now()
		an := do(rs, request{id: "refused", path: testsite.SafeRoute})
		qt.Assert(t, an.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, refusals(rs), qt.Equals, 1)
		for _, an := range sendRounds(rs, 1, testsite.SafeRoute, spare-100*time.Millisecond) {
			qt.Check(t, an.status, qt.Equals, http.StatusServiceUnavailable)
		}
		qt.Assert(t, refusals(rs), qt.Equals, replicas)
		time.Sleep(time.Until(began.Add(spare + 100*time.Millisecond)))
		setFaults(rs, standin.ReplicaFaults{})
		qt.Assert(t, do(rs, request{id: "back", path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
	})
}

// refusals returns how many requests the replicas have refused.
func refusals(rs *testsite.RouterSite) int {
	sum := 0
	for _, re := range rs.Replicas {
		sum += len(re.Refusals())
	}
	return sum
}
