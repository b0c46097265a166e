package router_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// idleFor returns a caller's connection that has been idle for a time after one request.
func idleFor(t *testing.T, rs *testsite.RouterSite, du time.Duration) *callerConn {
	t.Helper()
	co, err := dialRouter(rs, 1)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = co.Close() })
	qt.Assert(t, co.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	an, _ := co.finish(head(http.MethodGet, testsite.SafeRoute, "first") + drainBody)
	qt.Assert(t, an.err, qt.IsNil)
	time.Sleep(du)
	return co
}

// beginRequest sends a request but for its last part, which it returns.
func beginRequest(t *testing.T, co *callerConn, sent int) (rest string) {
	t.Helper()
	text := head(http.MethodPost, testsite.UnsafeRoute, "second") + drainBody
	_, err := io.WriteString(co, text[:sent])
	qt.Assert(t, err, qt.IsNil)
	return text[sent:]
}

func shortIdleTimeout(co *testsite.Configuration) { co.Limits.IdleTimeoutMS = 3000 }

// TestRequestThatArrivesAsTheIdleTimeoutChangesIsServed shortens the idle timeout while the head
// of a request arrives slowly on a connection that was idle. The connection was closed without
// an answer.
func TestRequestThatArrivesAsTheIdleTimeoutChangesIsServed(t *testing.T) {
	for _, sent := range []int{1, 5, 40} {
		t.Run(fmt.Sprint("after ", sent, " bytes"), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
				co := idleFor(t, rs, 6*time.Second)
				rest := beginRequest(t, co, sent)
				rs.Configure(shortIdleTimeout)
				time.Sleep(applyLimit + 500*time.Millisecond)
				an, _ := co.finish(rest)
				qt.Check(t, an.err, qt.IsNil)
				qt.Check(t, an.status, qt.Equals, http.StatusOK)
			})
		})
	}
}

// TestRequestThatArrivesSlowlyDuringAShutdownIsAnswered stops a router while the head of a
// request arrives slowly. The connection was closed without an answer, also a new one.
func TestRequestThatArrivesSlowlyDuringAShutdownIsAnswered(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept ", kept), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
				co := idleFor(t, rs, time.Second)
				if !kept {
					var err error
					co, err = dialRouter(rs, 1)
					qt.Assert(t, err, qt.IsNil)
					defer func() { _ = co.Close() }()
				}
				stopped := make(chan bool)
				go func() {
					stopGracefully(rs, 1)
					close(stopped)
				}()
				time.Sleep(2 * time.Second)
				rest := beginRequest(t, co, 40)
				time.Sleep(2500 * time.Millisecond)
				an, _ := co.finish(rest)
				qt.Check(t, an.err, qt.IsNil)
				qt.Check(t, an.status, qt.Equals, http.StatusServiceUnavailable)
				<-stopped
			})
		})
	}
}

// TestRequestThatNeverArrivesDoesNotKeepItsConnection sends the begin of a request and no more.
func TestRequestThatNeverArrivesDoesNotKeepItsConnection(t *testing.T) {
	for _, sent := range []int{1, 40} {
		t.Run(fmt.Sprint(sent, " bytes"), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.Configure(shortIdleTimeout)
				co := idleFor(t, rs, 2*time.Second)
				beginRequest(t, co, sent)
				began := time.Now()
				_, err := co.Read(make([]byte, 1))
				qt.Assert(t, err, qt.Equals, io.EOF)
				qt.Assert(t, time.Since(began) < 7*time.Second, qt.IsTrue)
			})
		})
	}
}
