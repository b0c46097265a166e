package network_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// guardedServer serves a handler on connections that a guard bounds, and returns its address.
func guardedServer(tb testing.TB, cb *network.ConnBudget, opt network.GuardOptions, ha http.HandlerFunc) (gu *network.Guard, address string) {
	tb.Helper()
	gu = network.NewGuard(cb, opt)
	ne := gu.Track(network.CallerConn, network.Network{Listen: func(string) (net.Listener, error) {
		li, err := network.Real().Listen("127.0.0.1:0")
		if err == nil {
			address = li.Addr().String()
		}
		return li, err
	}})
	gr := worker.NewGroup()
	sv := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: gu.ConnState, Handler: ha}
	gu.Bind(sv)
	qt.Assert(tb, ne.Serve(gr, "", sv, func(error) {}), qt.IsNil)
	tb.Cleanup(func() {
		_ = sv.Close()
		gr.Close()
	})
	return gu, address
}

func connect(tb testing.TB, address string) net.Conn {
	tb.Helper()
	co, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = co.Close() })
	return co
}

// waitLimit is how long a test waits for what the server does by itself.
const waitLimit = 30 * time.Second

var generousGuard = network.GuardOptions{MaxHeadLines: 16_384, MinReadSpeed: 4096}

func serveText(wr http.ResponseWriter, rq *http.Request) {
	_, _ = io.Copy(io.Discard, rq.Body)
	_, _ = io.WriteString(wr, "served")
}

// TestLargestLegalHeadIsServed sends requests whose heads are as costly as 16 KiB can make them,
// in pieces of different sizes, on one connection.
func TestLargestLegalHeadIsServed(t *testing.T) {
	cb := newBudget(10, 16*mib)
	_, address := guardedServer(t, cb, generousGuard, serveText)
	co := connect(t, address)
	text := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	for _, size := range []int{len(text), 1000, 1, 3} {
		for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
			_, err := io.WriteString(co, rest[:min(size, len(rest))])
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, answered(co), qt.IsTrue, qt.Commentf("pieces of %d", size))
	}
}

// TestHeadThatFindsNoRoomIsNotRun sends a head that takes more than there is, with and without a
// request before it on the connection. No handler may run, and the connection is closed.
func TestHeadThatFindsNoRoomIsNotRun(t *testing.T) {
	served := make(chan string, 10)
	gu, address := guardedServer(t, newBudget(10, mib), generousGuard, func(wr http.ResponseWriter, rq *http.Request) {
		served <- rq.URL.Path
		_, _ = io.WriteString(wr, "served")
	})
	for _, first := range []bool{false, true} {
		co := connect(t, address)
		if first {
			ask(t, co)
			qt.Assert(t, answered(co), qt.IsTrue)
			qt.Assert(t, <-served, qt.Equals, "/")
		}
		_, _ = io.WriteString(co, "GET /large HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 4000)+"\r\n")
		qt.Assert(t, answered(co), qt.IsFalse)
	}
	qt.Assert(t, served, qt.HasLen, 0)
	qt.Assert(t, gu.Counts()[string(network.CauseHead)], qt.Equals, 2.0)
}

// TestHeadInTheServersBufferIsCounted sends a second head together with a small request, so that the
// server has it before it reads again.
func TestHeadInTheServersBufferIsCounted(t *testing.T) {
	arrived := make(chan struct{})
	cb := newBudget(10, 16*mib)
	_, address := guardedServer(t, cb, generousGuard, func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/second" {
			arrived <- struct{}{}
			arrived <- struct{}{}
		}
		_, _ = io.WriteString(wr, "served")
	})
	co := connect(t, address)
	_, err := io.WriteString(co, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 900)+"\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-arrived
	qt.Assert(t, cb.Bytes() > 900*400, qt.IsTrue, qt.Commentf("%d bytes are counted", cb.Bytes()))
	<-arrived
}

// TestHeadInTheServersBufferThatFindsNoRoomIsNotRun sends such a second head while there is no room
// for it. Its handler was run although the connection was closed.
func TestHeadInTheServersBufferThatFindsNoRoomIsNotRun(t *testing.T) {
	var seconds atomic.Int64
	gu, address := guardedServer(t, newBudget(10, mib), generousGuard, func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/second" {
			seconds.Add(1)
		}
		_, _ = io.WriteString(wr, "served")
	})
	co := connect(t, address)
	_, err := io.WriteString(co, "GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST /second HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 900)+"\r\n")
	qt.Assert(t, err, qt.IsNil)
	_ = co.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, co)
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	qt.Assert(t, gu.Counts()[string(network.CauseHead)], qt.Equals, 1.0)
	qt.Assert(t, seconds.Load(), qt.Equals, int64(0))
}

// TestHeadOfTooManyLinesIsNotRun sends a head with more lines than are allowed.
func TestHeadOfTooManyLinesIsNotRun(t *testing.T) {
	gu, address := guardedServer(t, newBudget(10, 16*mib), network.GuardOptions{MaxHeadLines: 100}, serveText)
	co := connect(t, address)
	_, _ = io.WriteString(co, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n")
	qt.Assert(t, answered(co), qt.IsFalse)
	qt.Assert(t, gu.Counts()[string(network.CauseHead)], qt.Equals, 1.0)
}

// TestBodyIsNotCountedAsTheNextHead sends bodies of empty lines, which the server reads past its
// buffer, and an ordinary request after each. That was refused for the lines of the body.
func TestBodyIsNotCountedAsTheNextHead(t *testing.T) {
	const bodyBytes = 32 << 10
	_, address := guardedServer(t, newBudget(10, 16*mib), network.GuardOptions{MaxHeadLines: 1000}, serveText)
	co := connect(t, address)
	for n := range 20 {
		_, err := fmt.Fprintf(co, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Duration(n%2) * 5 * time.Millisecond)
		_, err = io.WriteString(co, strings.Repeat("\n", bodyBytes))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answered(co), qt.IsTrue, qt.Commentf("body %d", n))
		ask(t, co)
		qt.Assert(t, answered(co), qt.IsTrue, qt.Commentf("request after body %d", n))
	}
}

// TestByteAfterABufferedHeadDoesNotHideIt sends two requests together, and a byte that the server
// reads while it serves the first one. Only that byte was counted as the second head.
func TestByteAfterABufferedHeadDoesNotHideIt(t *testing.T) {
	arrived, second := make(chan struct{}), make(chan struct{})
	cb := newBudget(10, 16*mib)
	_, address := guardedServer(t, cb, generousGuard, func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/second" {
			second <- struct{}{}
			second <- struct{}{}
			return
		}
		arrived <- struct{}{}
		arrived <- struct{}{}
		_, _ = io.WriteString(wr, "served")
	})
	co := connect(t, address)
	_, err := io.WriteString(co, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 900)+"\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-arrived
	_, err = io.WriteString(co, "G")
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	<-arrived
	<-second
	qt.Assert(t, cb.Bytes() > 900*400, qt.IsTrue, qt.Commentf("%d bytes are counted", cb.Bytes()))
	<-second
}

// TestBudgetIsFreeAgain serves requests with bodies on some connections, and closes them.
func TestBudgetIsFreeAgain(t *testing.T) {
	cb := newBudget(10, 16*mib)
	_, address := guardedServer(t, cb, generousGuard, serveText)
	for range 5 {
		co := connect(t, address)
		for range 3 {
			_, err := fmt.Fprintf(co, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n%s", strings.Repeat("\n", 10_000))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, answered(co), qt.IsTrue)
		}
		qt.Assert(t, cb.Len() >= 1, qt.IsTrue)
		_ = co.Close()
	}
	for end := time.Now().Add(waitLimit); cb.Len() > 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%d connections remain", cb.Len()))
	}
	qt.Assert(t, cb.Bytes(), qt.Equals, int64(0))
}

// TestSlowReaderIsCut has a caller read nothing of a long answer. The answer must not look whole.
func TestSlowReaderIsCut(t *testing.T) {
	const size = 64 << 20
	gu, address := guardedServer(t, newBudget(10, 16*mib), generousGuard, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = wr.Write(make([]byte, size))
	})
	co := connect(t, address)
	ask(t, co)
	for end := time.Now().Add(waitLimit); gu.Counts()[string(network.CauseSlowReader)] == 0; time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the reader is not cut"))
		gu.CutSlowReaders(time.Now())
	}
	n, _ := io.Copy(io.Discard, co)
	qt.Assert(t, n < size, qt.IsTrue)
}

// BenchmarkRequest measures a small request on an open connection, with and without a guard.
func BenchmarkRequest(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded %t", guarded), func(b *testing.B) {
			var address string
			if guarded {
				_, address = guardedServer(b, newBudget(1000, 100*mib), generousGuard, serveText)
			} else {
				address = plainServer(b)
			}
			co := connect(b, address)
			text := []byte("GET /notes/one HTTP/1.1\r\nHost: drawers.example\r\nAttempt-Id: 1234\r\nKey: abcdefgh\r\nDeadline-Remaining: 20000\r\nPrompt-Prefix: a:100,b:200\r\nModel: *\r\nSession: s1\r\nLength-Hint: 100\r\n\r\n")
			buf := make([]byte, 4096)
			for b.Loop() {
				_, _ = co.Write(text)
				if _, err := co.Read(buf); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func plainServer(tb testing.TB) string {
	tb.Helper()
	li, err := network.Real().Listen("127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	gr, sv := worker.NewGroup(), &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(serveText)}
	gr.Go(func(context.Context) { _ = sv.Serve(li) })
	tb.Cleanup(func() {
		_ = sv.Close()
		gr.Close()
	})
	return li.Addr().String()
}
