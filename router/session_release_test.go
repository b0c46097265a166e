package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// maxMoves is how many requests may run on another release than the request before
// them in their session (rule PINNED of the users' platform).
const maxMoves = 3

// sessionLoad sends sessions through random routers and records on which release each
// request ran.
type sessionLoad struct {
	site    *testsite.RouterSite
	routers int
	// callers is the number of sessions at a time, requests their length (the first one
	// of each caller is shorter), and pause the time between an answer and the next
	// request.
	callers, requests int
	pause             time.Duration

	mu    sync.Mutex
	moves []sessionMove
	// runs counts the answers by release.
	runs map[string]int
}

// sessionMove is a request that ran on another release than the one before it.
type sessionMove struct {
	at       time.Duration
	from, to string
	session  string
}

// start sends the load until the returned function is called. It drops what an earlier
// load recorded.
func (sl *sessionLoad) start() (stop func()) {
	sl.runs, sl.moves = map[string]int{}, nil
	started := time.Now()
	gr := worker.NewGroup()
	for caller := range sl.callers {
		gr.Go(func(ctx context.Context) {
			rng := rand.New(rand.NewPCG(uint64(caller), 1))
			worker.Sleep(ctx, time.Duration(rng.Int64N(int64(sl.pause)+1)))
			requests := 1 + rng.IntN(sl.requests)
			for n := 0; ctx.Err() == nil; n++ {
				sl.runSession(ctx, rng, started, fmt.Sprintf("s%d-%d-%d", started.UnixNano(), caller, n), requests)
				requests = sl.requests
			}
		})
	}
	return gr.Close
}

func (sl *sessionLoad) runSession(ctx context.Context, rng *rand.Rand, started time.Time, session string, requests int) {
	last := ""
	for n := range requests {
		an := do(sl.site, request{
			router: 1 + rng.IntN(sl.routers), id: fmt.Sprintf("%s-%d", session, n), path: testsite.EngineRoute,
			header: map[string]string{"Session": session},
		})
		if an.err == nil && an.status == http.StatusOK {
			last = sl.record(time.Since(started), session, last, an)
		}
		if !worker.Sleep(ctx, sl.pause) {
			return
		}
	}
}

// record records an answer and returns the release that it came from. last is the
// release of the session's answer before it.
func (sl *sessionLoad) record(at time.Duration, session, last string, an response) string {
	signature := an.header.Get("Response-Signature")
	release := signature[strings.LastIndex(signature, "-")+1:]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.runs[release]++
	if last != "" && last != release {
		sl.moves = append(sl.moves, sessionMove{at, last, release, session})
	}
	return release
}

// movesFrom returns the moves from a release within a time since the start.
func (sl *sessionLoad) movesFrom(release string, until time.Duration) []sessionMove {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	var out []sessionMove
	for _, sm := range sl.moves {
		if sm.from == release && sm.at < until {
			out = append(out, sm)
		}
	}
	return out
}

// addEngines starts engines of release v2.
func addEngines(rs *testsite.RouterSite, engines int) {
	for n := 1; n <= engines; n++ {
		rs.AddReplica(testsite.EngineService, n, "v2")
	}
}

// TestSessionsDoNotMoveBackAsTrialEnds starts its load so late that the candidate gets
// its answers only after the earliest end of the trial. Each router ended the trial when
// it had itself heard of enough answers; until all had, sessions moved back at those
// that had not.
func TestSessionsDoNotMoveBackAsTrialEnds(t *testing.T) {
	const routers = 40
	withSite(t, testsite.RouterOptions{Routers: routers, Engines: 6}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.EngineService, "v2", rolloutLimit)
		addEngines(rs, 6)
		time.Sleep(rolloutLimit * 4 / 10)
		sl := &sessionLoad{site: rs, routers: routers, callers: 40, requests: 8, pause: 200 * time.Millisecond}
		stop := sl.start()
		rs.Eventually(rolloutLimit, "the roll-out is completed", func() bool { return rs.RolloutState(testsite.EngineService) == "completed" })
		stop()
		moves := sl.movesFrom("v2", rolloutLimit)
		qt.Assert(t, len(moves) <= maxMoves, qt.IsTrue, qt.Commentf("%d sessions moved back: %v", len(moves), moves))
	})
}

// TestRestartDoesNotPutPromotedReleaseOnTrialAgain restarts every router after all
// sessions have moved to the candidate. The new processes, which had seen none of its
// answers, sent most sessions to the release in use, and each ended the new trial by
// itself.
func TestRestartDoesNotPutPromotedReleaseOnTrialAgain(t *testing.T) {
	const routers = 4
	withSite(t, testsite.RouterOptions{Routers: routers, Engines: 6}, func(t *testing.T, rs *testsite.RouterSite) {
		sl := &sessionLoad{site: rs, routers: routers, callers: 40, requests: 8, pause: 200 * time.Millisecond}
		stop := sl.start()
		rs.OrderRollout(testsite.EngineService, "v2", 2*rolloutLimit)
		addEngines(rs, 6)
		time.Sleep(2*rolloutLimit*52/100 + 1200*time.Millisecond)
		stop()
		restartAll(rs, routers)
		rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
		qt.Assert(t, rs.RolloutState(testsite.EngineService), qt.Equals, "running")
		stop = sl.start()
		time.Sleep(5 * time.Second)
		stop()
		qt.Assert(t, sl.runs["v2"] > 100, qt.IsTrue, qt.Commentf("%v", sl.runs))
		qt.Assert(t, sl.runs["v1"] <= maxMoves, qt.IsTrue, qt.Commentf("%v", sl.runs))
	})
}

// TestSessionsDoNotMoveAsTrialBegins has more routers than can hear of each other's
// sessions before the trial begins. A router that had not heard of a session on the
// release in use took it for a new one, and moved it to the candidate. With the longer
// pause, sessions have no request between the start of the roll-out and the trial.
func TestSessionsDoNotMoveAsTrialBegins(t *testing.T) {
	const routers = 60
	for _, pause := range []time.Duration{1500 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(fmt.Sprint("pause ", pause), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: routers, Engines: 8}, func(t *testing.T, rs *testsite.RouterSite) {
				sl := &sessionLoad{site: rs, routers: routers, callers: 400, requests: 4, pause: pause}
				stop := sl.start()
				time.Sleep(6 * time.Second)
				rs.OrderRollout(testsite.EngineService, "v2", rolloutLimit)
				addEngines(rs, 8)
				time.Sleep(rolloutLimit / 2)
				stop()
				qt.Assert(t, sl.runs["v2"] > maxMoves, qt.IsTrue, qt.Commentf("%v", sl.runs))
				qt.Assert(t, len(sl.moves) <= maxMoves, qt.IsTrue, qt.Commentf("%d sessions moved: %v", len(sl.moves), sl.moves))
			})
		})
	}
}

// TestSessionsStayWhenCandidateStartsLate has the candidate's endpoints appear after the
// trial's begin. Sessions that had begun since the start of the roll-out were not pinned
// while there was no candidate, and moved to it.
func TestSessionsStayWhenCandidateStartsLate(t *testing.T) {
	const routers = 8
	withSite(t, testsite.RouterOptions{Routers: routers, Engines: 8}, func(t *testing.T, rs *testsite.RouterSite) {
		sl := &sessionLoad{site: rs, routers: routers, callers: 200, requests: 12, pause: time.Second}
		stop := sl.start()
		time.Sleep(2 * time.Second)
		rs.OrderRollout(testsite.EngineService, "v2", rolloutLimit)
		time.Sleep(rolloutLimit / 3)
		addEngines(rs, 8)
		time.Sleep(rolloutLimit / 6)
		stop()
		qt.Assert(t, sl.runs["v2"] > maxMoves, qt.IsTrue, qt.Commentf("%v", sl.runs))
		qt.Assert(t, len(sl.moves) <= maxMoves, qt.IsTrue, qt.Commentf("%d sessions moved: %v", len(sl.moves), sl.moves))
	})
}
