package router_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

const (
	// pauseOfReplicas is how long sound replicas may send nothing.
	pauseOfReplicas = 1300 * time.Millisecond
	// longPause is so long that routers give the replicas up if there are others.
	longPause = 4 * time.Second
)

// pausedEngine is a replica whose streams last longer than a pause.
var pausedEngine = standin.ReplicaOptions{
	Events: 25, Gap: 100 * time.Millisecond, Delay: 20 * time.Millisecond,
	Confidence: map[string]string{testsite.SmallModel: "90", testsite.LargeModel: "95"},
}

// pauseTrial has callers' requests under way while replicas pause.
type pauseTrial struct {
	name string
	// engines is the number of replicas, paused the number of those that pause.
	engines, paused int
	streams         int
	pause           time.Duration
	// sentAt is when the streams are sent, relative to the pause.
	sentAt time.Duration
	// beside happens as the pause begins.
	beside func(rs *testsite.RouterSite)
}

// startRequests sends requests at once through two routers. The returned function waits
// for the answers.
func startRequests(rs *testsite.RouterSite, name, path, method string, count int) (answers func() []response) {
	out := make([]response, count)
	gr := worker.NewGroup()
	var done sync.WaitGroup
	done.Add(count)
	for n := range count {
		gr.Go(func(context.Context) {
			defer done.Done()
			out[n] = do(rs, request{router: 1 + n%2, id: fmt.Sprint(name, "-", n), path: path + "x", method: method, header: map[string]string{"Session": fmt.Sprint(name, n)}})
		})
	}
	return func() []response {
		done.Wait()
		gr.Close()
		return out
	}
}

// checkStreams checks that all streams were answered whole, with each event once.
func checkStreams(t *testing.T, name string, ans []response) {
	t.Helper()
	var want []string
	for n := range pausedEngine.Events {
		want = append(want, fmt.Sprint(n+1))
	}
	broken := 0
	for n, an := range ans {
		if an.err != nil || an.status != http.StatusOK || !slices.Equal(eventIDs(an.body), want) {
			broken++
			t.Logf("%s-%d: status %d, %v, %d events", name, n, an.status, an.err, len(eventIDs(an.body)))
		}
	}
	qt.Check(t, broken, qt.Equals, 0, qt.Commentf("%s: %d of %d streams are not whole", name, broken, len(ans)))
}

func (pt pauseTrial) run(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: pt.engines, Plains: pt.engines, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
		pauseAt := time.Now().Add(time.Second)
		time.Sleep(time.Second + min(0, pt.sentAt))
		early := startRequests(rs, "early", testsite.EngineRoute, http.MethodPost, pt.streams)
		time.Sleep(time.Until(pauseAt))
		for n := 1; n <= pt.paused; n++ {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v1")].Pause(pt.pause)
			rs.Replicas[testsite.ReplicaID(testsite.PlainService, n, "v1")].Pause(pt.pause)
		}
		if pt.beside != nil {
			pt.beside(rs)
		}
		unsafe := startRequests(rs, "unsafe", testsite.UnsafeRoute, http.MethodPost, 8)
		time.Sleep(pt.pause)
		checkStreams(t, "early", early())
		for n, an := range unsafe() {
			qt.Check(t, an.err, qt.IsNil)
			qt.Check(t, len(runsOfRequest(rs, fmt.Sprint("unsafe-", n))) <= 1, qt.IsTrue)
		}
	})
}

// TestStreamsOutliveAPauseOfTheirReplicas has sound replicas send nothing for 1.3 s and then
// go on. The routers cancelled runs for which there was no place elsewhere, and closed the
// callers' connections.
func TestStreamsOutliveAPauseOfTheirReplicas(t *testing.T) {
	changeTimeout := func(rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			co.Routes[0].TimeoutMS = 15_000
			co.Limits.IdleTimeoutMS = 5000
		})
	}
	rollOut := func(rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.EngineService, "v2", rolloutLimit)
		addEngines(rs, 2)
	}
	const before, during = -500 * time.Millisecond, 0
	for _, pt := range []pauseTrial{
		{"one of four", 4, 1, 24, pauseOfReplicas, before, nil},
		{"three of four", 4, 3, 24, pauseOfReplicas, before, nil},
		{"all of four", 4, 4, 24, pauseOfReplicas, before, nil},
		{"one of two, both full", 2, 1, 30, pauseOfReplicas, before, nil},
		{"all of two, both full", 2, 2, 30, pauseOfReplicas, before, nil},
		{"all, beside a change of the configuration", 4, 4, 24, pauseOfReplicas, before, changeTimeout},
		{"the only one of the release in use, beside a roll-out", 1, 1, 12, pauseOfReplicas, before, rollOut},
		{"one of four, before the first event", 4, 1, 24, pauseOfReplicas, during, nil},
		{"three of four, before the first event", 4, 3, 24, pauseOfReplicas, during, nil},
		{"one of two, both full, for long", 2, 1, 30, longPause, before, nil},
		{"all of two, both full, for long", 2, 2, 30, longPause, before, nil},
		{"all of four, for long", 4, 4, 24, longPause, before, nil},
		{"the only one of the release in use, beside a roll-out, for long", 1, 1, 12, longPause, before, rollOut},
		{"all of four, before the first event", 4, 4, 24, pauseOfReplicas, during, nil},
	} {
		t.Run(pt.name, pt.run)
	}
}

// TestPauseBetweenDistantEventsMovesNoStream has a replica pause whose events come half a second
// apart, so that it is silent for longer than the pause. The routers ran its streams again at
// another one.
func TestPauseBetweenDistantEventsMovesNoStream(t *testing.T) {
	distant := standin.ReplicaOptions{Events: 8, Gap: 500 * time.Millisecond, Delay: 20 * time.Millisecond, Confidence: pausedEngine.Confidence}
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 4, Engine: distant}, func(t *testing.T, rs *testsite.RouterSite) {
		answers := startRequests(rs, "early", testsite.EngineRoute, http.MethodPost, 24)
		time.Sleep(time.Second)
		for n := 1; n <= 2; n++ {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v1")].Pause(pauseOfReplicas)
		}
		for n, an := range answers() {
			qt.Check(t, an.err, qt.IsNil)
			qt.Check(t, eventIDs(an.body), qt.HasLen, distant.Events)
			qt.Check(t, runsOfRequest(rs, fmt.Sprint("early-", n)), qt.HasLen, 1)
		}
	})
}

// TestBrokenStreamSparesReplicasThatRefuseIt has a replica break off a stream, and the others
// refuse to continue it for a while. They were asked again three times a second.
func TestBrokenStreamSparesReplicasThatRefuseIt(t *testing.T) {
	const wait, perSecond = 6 * time.Second, 1
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 3, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
		for n := range 20 {
			// Fills the retry budget.
			qt.Assert(t, do(rs, request{id: fmt.Sprint("whole-", n), path: testsite.EngineRoute + "x"}).err, qt.IsNil)
		}
		setFaults(rs, standin.ReplicaFaults{CutAfter: 5})
		answers := startRequests(rs, "broken", testsite.EngineRoute, http.MethodPost, 1)
		time.Sleep(300 * time.Millisecond)
		// It holds for requests that come after this.
		setFaults(rs, standin.ReplicaFaults{NotRun: true})
		time.Sleep(wait)
		refusals := 0
		for _, re := range rs.Replicas {
			refusals += len(re.Refusals())
		}
		qt.Assert(t, refusals <= perSecond*int(wait.Seconds())+1, qt.IsTrue, qt.Commentf("%d refusals", refusals))
		qt.Assert(t, refusals > 2, qt.IsTrue, qt.Commentf("%d refusals", refusals))
		setFaults(rs, standin.ReplicaFaults{})
		checkStreams(t, "broken", answers())
	})
}

// TestStreamsAreResumedOnceThePathIsBack cuts a router's paths to all replicas in the middle
// of streams. The router closed the callers' connections at once.
func TestStreamsAreResumedOnceThePathIsBack(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 2, Engines: 3, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
				answers := startRequests(rs, "early", testsite.EngineRoute, http.MethodPost, 8)
				time.Sleep(500 * time.Millisecond)
				cutEngines(3, rs.Net.Cut)
				time.Sleep(away)
				cutEngines(3, rs.Net.Restore)
				restored := time.Now()
				checkStreams(t, "early", answers())
				t.Logf("%s after the paths are back", time.Since(restored))
				qt.Check(t, time.Since(restored) < suspensionLimit, qt.IsTrue)
			})
		})
	}
}

// cutEngines cuts or restores the links of router-1 to so many replicas.
func cutEngines(engines int, change func(from testsite.Host, to string)) {
	for n := 1; n <= engines; n++ {
		change(testsite.Host(testsite.RouterName(1)), testsite.ReplicaAddress(testsite.EngineService, n, "v1"))
	}
}

// TestPauseDoesNotSuspendReplicas has all replicas pause under a light load. The routers
// suspended them, and refused requests that would have been answered in time.
func TestPauseDoesNotSuspendReplicas(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, pauseOfReplicas, 1500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) { runPauseUnderLoad(t, pause) })
	}
}

// readTime is less than the time-out of the site's reads.
const readTime = 700 * time.Millisecond

func runPauseUnderLoad(t *testing.T, pause time.Duration) {
	const steps, reads = 24, 2
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 3, Plains: 3, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
		early := startRequests(rs, "early", testsite.EngineRoute, http.MethodPost, 24)
		time.Sleep(500 * time.Millisecond)
		for _, re := range rs.Replicas {
			re.Pause(pause)
		}
		var inTime, late []func() []response
		for n := range steps {
			answers := startRequests(rs, fmt.Sprint("read", n), testsite.SafeRoute, http.MethodGet, reads)
			if pause*time.Duration(steps-n)/steps < readTime {
				inTime = append(inTime, answers)
			} else {
				late = append(late, answers)
			}
			time.Sleep(pause / steps)
		}
		inTime = append(inTime, startRequests(rs, "after", testsite.SafeRoute, http.MethodGet, 12))
		failed := 0
		for _, answers := range inTime {
			for _, an := range answers() {
				if an.status != http.StatusOK {
					failed++
				}
			}
		}
		qt.Check(t, failed, qt.Equals, 0, qt.Commentf("%d of %d reads", failed, reads*len(inTime)+10))
		for _, answers := range late {
			for _, an := range answers() {
				qt.Check(t, an.err, qt.IsNil)
			}
		}
		checkStreams(t, "early", early())
	})
}
