package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

const (
	// crashesOfRequest is the number of crashes under one request after which it may
	// reach endpoints in maxRetriesAfter more retries at most, sent later than
	// contactLimit after them (rule BUDGET of the users' platform).
	crashesOfRequest = 3
	maxRetriesAfter  = 3
)

// repeatedRequest sends the same request again and again, under new IDs and through random
// routers, until the returned function is called.
func repeatedRequest(rs *testsite.RouterSite, routers int, target string, every time.Duration) (stop func()) {
	gr := worker.NewGroup()
	gr.Go(func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(1, 5))
		wg := worker.NewGroup()
		defer wg.Close()
		for n := 0; worker.Sleep(ctx, every); n++ {
			to := 1 + rng.IntN(routers)
			wg.Go(func(context.Context) {
				do(rs, request{router: to, id: fmt.Sprint("again", n), path: target, body: "same"})
			})
		}
	})
	return gr.Close
}

// retriesAfter returns how many client attempts at a target reached endpoints after a time.
func retriesAfter(rs *testsite.RouterSite, target string, after time.Time) int {
	attempts := map[string]bool{}
	for _, re := range rs.Replicas {
		for _, ru := range re.Runs() {
			if ru.Target == target && ru.At.After(after) {
				attempts[ru.Request] = true
			}
		}
	}
	return len(attempts)
}

// soundShare sends sound requests to random routers, three of five with a target of their
// own and the others for a few targets that many ask for, and returns the share that was
// answered.
func soundShare(rs *testsite.RouterSite, routers int, path string, lasts time.Duration) float64 {
	rng := rand.New(rand.NewPCG(2, 6))
	gr := worker.NewGroup()
	results := make(chan bool, 1<<16)
	sent := 0
	for started := time.Now(); time.Since(started) < lasts; sent++ {
		target := fmt.Sprintf("%sown%d", path, sent)
		if rng.IntN(5) < 2 {
			target = fmt.Sprintf("%shot%d", path, rng.IntN(4))
		}
		to, id := 1+rng.IntN(routers), fmt.Sprintf("sound%d-%d", started.UnixNano(), sent)
		gr.Go(func(context.Context) {
			results <- do(rs, request{router: to, id: id, path: target}).status == http.StatusOK
		})
		time.Sleep(20 * time.Millisecond)
	}
	gr.Wait()
	answered := 0
	for range sent {
		if <-results {
			answered++
		}
	}
	return float64(answered) / float64(sent)
}

// TestRequestThatCrashesEndpointsIsRefused sends one request again and again, unchanged, that
// crashes each endpoint which begins to run it. The routers sent each coming to up to three.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	for _, site := range []struct {
		name    string
		routers int
		path    string
		every   time.Duration
	}{
		{"safe, plain", 8, testsite.SafeRoute, 500 * time.Millisecond},
		{"safe, plain, seldom", 8, testsite.SafeRoute, 2 * time.Second},
		{"unsafe, plain", 8, testsite.UnsafeRoute, 500 * time.Millisecond},
		{"stream", 8, testsite.EngineRoute, 500 * time.Millisecond},
		{"safe, plain, many routers", 40, testsite.SafeRoute, 300 * time.Millisecond},
	} {
		t.Run(site.name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: site.routers, Engines: 9, Plains: 5}, func(t *testing.T, rs *testsite.RouterSite) {
				target := site.path + "bad?x=1"
				usual := soundShare(rs, site.routers, site.path, 4*time.Second)
				setFaults(rs, standin.ReplicaFaults{CrashTarget: target})
				stop := repeatedRequest(rs, site.routers, target, site.every)
				for started := time.Now(); len(crashTimes(rs)) < crashesOfRequest && time.Since(started) < 20*time.Second; {
					soundShare(rs, site.routers, site.path, 100*time.Millisecond)
				}
				qt.Assert(t, len(crashTimes(rs)) >= crashesOfRequest, qt.IsTrue)
				third := crashTimes(rs)[crashesOfRequest-1]
				soundShare(rs, site.routers, site.path, 2*contactLimit)
				late := soundShare(rs, site.routers, site.path, 20*time.Second)
				stop()
				after := retriesAfter(rs, target, third.Add(contactLimit))
				t.Logf("%d crashes, %d retries later than %v after the third; sound requests answered: %.3f, before %.3f", len(crashTimes(rs)), after, contactLimit, late, usual)
				qt.Check(t, after <= maxRetriesAfter, qt.IsTrue, qt.Commentf("%d retries, %d crashes", after, len(crashTimes(rs))))
				// Rule LOST allows half of the usual share.
				qt.Check(t, late >= usual/2, qt.IsTrue, qt.Commentf("%v of the sound requests answered, %v before", late, usual))
			})
		})
	}
}

// TestRequestIsRefusedWhileRoutersRestart restarts routers, one after the other, while a
// request that crashes endpoints comes again and again.
func TestRequestIsRefusedWhileRoutersRestart(t *testing.T) {
	const routers = 6
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 5}, func(t *testing.T, rs *testsite.RouterSite) {
		target := testsite.SafeRoute + "bad"
		soundShare(rs, routers, testsite.SafeRoute, 2*time.Second)
		setFaults(rs, standin.ReplicaFaults{CrashTarget: target})
		stop := repeatedRequest(rs, routers, target, 500*time.Millisecond)
		rs.Eventually(20*time.Second, "three endpoints have crashed", func() bool {
			soundShare(rs, routers, testsite.SafeRoute, 100*time.Millisecond)
			return len(crashTimes(rs)) >= crashesOfRequest
		})
		third := crashTimes(rs)[crashesOfRequest-1]
		for n := 1; n <= routers; n++ {
			soundShare(rs, routers, testsite.SafeRoute, 2*time.Second)
			rs.KillRouter(n)
			rs.StartRouter(n)
		}
		soundShare(rs, routers, testsite.SafeRoute, 2*time.Second)
		stop()
		qt.Assert(t, retriesAfter(rs, target, third.Add(contactLimit)) <= maxRetriesAfter, qt.IsTrue)
	})
}

// TestCrashesOfManyEndpointsQuarantineNoRequest crashes endpoints again and again, all at
// once or in turn, for other reasons than the requests. None is refused for them.
func TestCrashesOfManyEndpointsQuarantineNoRequest(t *testing.T) {
	const routers, plains = 4, 5
	for name, pause := range map[string]time.Duration{"together": 0, "in turn": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: routers, Plains: plains}, func(t *testing.T, rs *testsite.RouterSite) {
				soundShare(rs, routers, testsite.SafeRoute, 2*time.Second)
				gr := worker.NewGroup()
				gr.Go(func(ctx context.Context) {
					for worker.Sleep(ctx, 4*time.Second) {
						for n := 1; n <= plains; n++ {
							rs.CrashReplica(testsite.PlainService, n, "v1")
							worker.Sleep(ctx, pause)
						}
					}
				})
				soundShare(rs, routers, testsite.SafeRoute, 24*time.Second)
				gr.Close()
				time.Sleep(5 * time.Second)
				qt.Assert(t, soundShare(rs, routers, testsite.SafeRoute, 4*time.Second) > 0.99, qt.IsTrue)
			})
		})
	}
}
