package router_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

const (
	// grace is the time from the signal to the end of the process.
	grace = 8 * time.Second
	// drainLimit is the part of it in which a router shuts down gracefully.
	drainLimit = 7500 * time.Millisecond
	// countedAfter is the time from the signal from which a request that was taken must be
	// answered, and lastPart is the end of the grace, in which an earlier one that still runs may
	// be cut.
	countedAfter = 3 * time.Second
	lastPart     = grace / 6
)

// stopGracefully stops router-N as its command does at SIGTERM.
func stopGracefully(rs *testsite.RouterSite, n int) {
	da := rs.Routers[n]
	delete(rs.Routers, n)
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	da.Drain(ctx)
	da.Close(context.Background())
}

// callerConn is a caller's connection to a router.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialRouter(rs *testsite.RouterSite, n int) (*callerConn, error) {
	co, err := rs.Net.ForHost("caller").Dial(context.Background(), "tcp", testsite.RouterAddress(n, 80))
	if err != nil {
		return nil, err
	}
	return &callerConn{co, bufio.NewReader(co)}, nil
}

const drainBody = "loan"

// head returns the head of a request with drainBody.
func head(method, path, id string) string {
	out := fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nKey: %s\r\nDeadline-Remaining: 20000\r\n", method, path, testsite.RouteHost, id, testsite.CallerKey)
	if path == testsite.EngineRoute {
		out += "Model: *\r\nToken-Usage: 170,40\r\nPrompt-Prefix: aa:100," + id + ":20\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", out, len(drainBody))
}

// finish sends the rest of a request and reads the whole answer. sent reports whether the router
// took the request.
func (cc *callerConn) finish(rest string) (an response, sent bool) {
	if _, err := io.WriteString(cc, rest); err != nil {
		return response{err: err}, false
	}
	rs, err := http.ReadResponse(cc.reader, nil)
	if err != nil {
		return response{err: err}, true
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	if err == nil && rs.Close {
		rs.Header.Set("Connection", "close")
	}
	return response{status: rs.StatusCode, header: rs.Header, body: string(body), err: err}, true
}

// drainCall is a request at a router that shuts down, and how it ended.
type drainCall struct {
	kind, conn string
	// at is when the request is sent, and doneAt when it ended, from the signal.
	at, doneAt time.Duration
	answer     response
	sent       bool
}

func (dc drainCall) id() string {
	return fmt.Sprintf("%s-%s-%d", dc.kind, dc.conn, dc.at.Milliseconds())
}

func (dc drainCall) String() string {
	return fmt.Sprintf("%s on a %s connection at %v: ended at %v with %d %q %v", dc.kind, dc.conn, dc.at, dc.doneAt, dc.answer.status, clip(dc.answer.body), dc.answer.err)
}

func clip(text string) string { return text[:min(len(text), 60)] }

var drainRoutes = map[string]string{"unsafe": testsite.UnsafeRoute, "safe": testsite.SafeRoute, "stream": testsite.EngineRoute}

// mistake returns how the end of a call is wrong, "" if it is not. runs is the number of its runs.
func (dc drainCall) mistake(runs int) string {
	answered := dc.answer.err == nil
	early := dc.at <= countedAfter && dc.doneAt >= grace-lastPart
	switch {
	case dc.doneAt > grace:
		return "ended after the grace"
	case !dc.sent:
		return ""
	case runs == 0 && !answered:
		return "was read and not answered"
	case dc.kind == "unsafe" && runs > 1:
		return "ran twice"
	case runs > 0 && !answered && (dc.kind != "stream" || !early):
		return "was passed on and cut"
	case answered && dc.answer.status == http.StatusServiceUnavailable && runs > 0:
		return "ran although it was answered that it did not"
	case answered && dc.answer.status == http.StatusServiceUnavailable && (dc.answer.header.Get("Retry-After") == "" || dc.answer.header.Get("Connection") != "close"):
		return "was refused without Retry-After or Connection: close"
	case answered && dc.answer.status != http.StatusOK && dc.answer.status != http.StatusServiceUnavailable && !early:
		return "failed before the end of the grace"
	}
	return ""
}

// arrivalTimes returns when requests arrive, from the signal: every half second, and as the
// connections that are idle are ended.
func arrivalTimes() []time.Duration {
	out := []time.Duration{2505 * time.Millisecond}
	for at := -950 * time.Millisecond; at < grace; at += 500 * time.Millisecond {
		out = append(out, at)
	}
	return out
}

// playDrain stops router 2 while calls of all kinds arrive on all kinds of connections, and
// returns how they ended.
func playDrain(t *testing.T, rs *testsite.RouterSite) []drainCall {
	t.Helper()
	var mu sync.Mutex
	var ended []drainCall
	var wg sync.WaitGroup
	signal := time.Now().Add(4 * time.Second)
	for _, at := range arrivalTimes() {
		for _, kind := range []string{"unsafe", "safe", "stream"} {
			for _, conn := range []string{"new", "silent", "kept", "slow"} {
				dc := drainCall{kind: kind, conn: conn, at: at}
				wg.Go(func() {
					dc.play(rs, signal)
					mu.Lock()
					defer mu.Unlock()
					ended = append(ended, dc)
				})
			}
		}
	}
	time.Sleep(time.Until(signal))
	stopGracefully(rs, 2)
	qt.Check(t, time.Since(signal) <= grace, qt.IsTrue)
	wg.Wait()
	slices.SortFunc(ended, func(a, b drainCall) int { return strings.Compare(a.id(), b.id()) })
	return ended
}

// play sends the call at its time. A silent connection is opened a second and a half before, at
// most two seconds after the signal; on a kept one there has been a request before, and on a slow
// one the head of the request is sent as it is opened.
func (dc *drainCall) play(rs *testsite.RouterSite, signal time.Time) {
	opened := signal.Add(dc.at)
	if dc.conn != "new" {
		opened = signal.Add(min(dc.at-1500*time.Millisecond, 2*time.Second))
	}
	time.Sleep(time.Until(opened))
	co, err := dialRouter(rs, 2)
	if err != nil {
		dc.answer, dc.doneAt = response{err: err}, time.Since(signal)
		return
	}
	defer func() { _ = co.Close() }()
	method := http.MethodGet
	if dc.kind == "unsafe" {
		method = http.MethodPost
	}
	rest := head(method, drainRoutes[dc.kind], dc.id()) + drainBody
	switch dc.conn {
	case "kept":
		co.finish(head(http.MethodGet, "/", "first-"+dc.id()) + drainBody)
	case "slow":
		if _, err := io.WriteString(co, strings.TrimSuffix(rest, drainBody)); err != nil {
			return
		}
		rest = drainBody
	}
	time.Sleep(time.Until(signal.Add(dc.at)))
	dc.answer, dc.sent = co.finish(rest)
	dc.doneAt = time.Since(signal)
}

// longTimeouts lets requests run for longer than the grace.
func longTimeouts(co *testsite.Configuration) {
	for n := range co.Routes {
		co.Routes[n].TimeoutMS, co.Routes[n].TargetLatencyMS, co.Routes[n].TargetGapMS = 20_000, 12_000, 5_000
	}
}

func drainSite(lasts time.Duration) testsite.RouterOptions {
	const events = 4
	return testsite.RouterOptions{
		Routers: 2, Engines: 4, Plains: 4, Plain: standin.ReplicaOptions{Delay: lasts},
		Engine: standin.ReplicaOptions{Events: events, Gap: lasts / (events + 1), Delay: lasts / (events + 1), Confidence: map[string]string{testsite.SmallModel: "90", testsite.LargeModel: "95"}},
	}
}

// TestRequestsLateInTheGraceAreAnswered stops a router in calm while requests of all kinds arrive.
// Those that came late were taken and passed on, and at the end of the grace they were cut with
// no answer, among them requests that may not be repeated. Others were read and dropped.
func TestRequestsLateInTheGraceAreAnswered(t *testing.T) {
	const short = 20 * time.Millisecond
	for _, lasts := range []time.Duration{short, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 12 * time.Second} {
		for _, learnt := range []time.Duration{0, short, lasts} {
			t.Run(fmt.Sprintf("requests of %v, known as %v", lasts, learnt), func(t *testing.T) {
				withSite(t, drainSite(max(short, learnt)), func(t *testing.T, rs *testsite.RouterSite) {
					rs.Configure(longTimeouts)
					time.Sleep(2 * time.Second)
					if learnt > 0 {
						for kind, path := range drainRoutes {
							do(rs, request{router: 2, id: "learn-" + kind, path: path + "x"})
						}
					}
					setFaults(rs, standin.ReplicaFaults{Slowdown: int(lasts / max(short, learnt))})
					for _, dc := range playDrain(t, rs) {
						runs := len(runsOfRequest(rs, dc.id()))
						qt.Check(t, dc.mistake(runs), qt.Equals, "", qt.Commentf("%v, %d runs", dc, runs))
					}
				})
			})
		}
	}
}

// TestShutdownThatIsCutShortAnswersRequests ends a graceful shutdown early, as a second SIGINT
// does. Requests in service were cut with no answer.
func TestShutdownThatIsCutShortAnswersRequests(t *testing.T) {
	withSite(t, drainSite(6*time.Second), func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(longTimeouts)
		time.Sleep(2 * time.Second)
		answers := make(chan response, 2)
		for _, kind := range []string{"unsafe", "safe"} {
			go func() { answers <- do(rs, request{router: 2, id: kind, path: drainRoutes[kind] + "x"}) }()
		}
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), drainLimit)
		time.AfterFunc(time.Second, cancel)
		began := time.Now()
		rs.Routers[2].Drain(ctx)
		qt.Check(t, time.Since(began) < 1500*time.Millisecond, qt.IsTrue)
		for range 2 {
			an := <-answers
			qt.Check(t, an.err, qt.IsNil)
			qt.Check(t, an.status == http.StatusBadGateway || an.status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("%v", an))
		}
	})
}

// TestShutdownWithoutAPolicyRefuses stops a router that has no policy yet, as the store is down.
func TestShutdownWithoutAPolicyRefuses(t *testing.T) {
	withSite(t, testsite.RouterOptions{Unconfigured: true}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.SetFaults(standin.Faults{Down: true})
		rs.StartRouter(1)
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), drainLimit)
		defer cancel()
		silent, err := dialRouter(rs, 1)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = silent.Close() }()
		ended := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			rs.Routers[1].Drain(ctx)
			ended <- time.Since(began)
		}()
		time.Sleep(time.Second)
		an := do(rs, request{id: "a", path: testsite.UnsafeRoute})
		qt.Check(t, an.err, qt.IsNil)
		qt.Check(t, an.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Check(t, <-ended < 3*time.Second, qt.IsTrue)
	})
}

// TestRequestOnAConnectionJustOpenedIsAnswered opens a connection shortly before a router that shuts
// down closes its listener. The connection was closed while the request was on its way.
func TestRequestOnAConnectionJustOpenedIsAnswered(t *testing.T) {
	for _, way := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		withSite(t, drainSite(20*time.Millisecond), func(t *testing.T, rs *testsite.RouterSite) {
			time.Sleep(2 * time.Second)
			stopped := make(chan bool)
			signal := time.Now()
			go func() {
				stopGracefully(rs, 2)
				close(stopped)
			}()
			time.Sleep(2450 * time.Millisecond)
			co, err := dialRouter(rs, 2)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = co.Close() }()
			time.Sleep(way)
			an, sent := co.finish(head(http.MethodPost, testsite.UnsafeRoute, "late") + drainBody)
			qt.Check(t, sent, qt.IsTrue)
			qt.Check(t, an.err, qt.IsNil)
			qt.Check(t, an.status, qt.Equals, http.StatusServiceUnavailable)
			<-stopped
			qt.Check(t, time.Since(signal) < 4*time.Second, qt.IsTrue)
		})
	}
}
