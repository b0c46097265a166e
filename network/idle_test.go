package network_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// stalledConn is a connection whose reads return nothing while its VM has no processor time.
type stalledConn struct {
	net.Conn
	vm *stalledVM
}

// Read returns what the connection has, once the VM runs.
func (sc stalledConn) Read(buf []byte) (int, error) {
	n, err := sc.Conn.Read(buf)
	sc.vm.running.Lock()
	defer sc.vm.running.Unlock()
	return n, err
}

// stalledVM stalls all connections while running is locked.
type stalledVM struct {
	running sync.Mutex
	served  atomic.Int64
}

type stalledListener struct {
	net.Listener
	vm *stalledVM
}

func (sl stalledListener) Accept() (net.Conn, error) {
	co, err := sl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stalledConn{co, sl.vm}, nil
}

// idleServer serves connections that a tracker can end, on a VM that can be stalled.
func idleServer(t *testing.T) (ic *network.IdleConns, vm *stalledVM, address string) {
	t.Helper()
	vm, ic = &stalledVM{}, network.NewIdleConns()
	ne := ic.Track(network.Network{Listen: func(string) (net.Listener, error) {
		li, err := network.Real().Listen("127.0.0.1:0")
		if err == nil {
			address = li.Addr().String()
		}
		return stalledListener{li, vm}, err
	}})
	gr := worker.NewGroup()
	sv := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: ic.ConnState, Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		vm.served.Add(1)
		_, _ = io.WriteString(wr, "served")
	})}
	qt.Assert(t, ne.Serve(gr, "", sv, func(error) {}), qt.IsNil)
	t.Cleanup(func() {
		_ = sv.Close()
		gr.Close()
	})
	return ic, vm, address
}

// ask sends a request on a connection.
func ask(t *testing.T, co net.Conn) {
	t.Helper()
	_, err := fmt.Fprintf(co, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
}

// answered reports whether an answer arrives on a connection.
func answered(co net.Conn) bool {
	_ = co.SetReadDeadline(time.Now().Add(5 * time.Second))
	rs, err := http.ReadResponse(bufio.NewReader(co), nil)
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	return err == nil && string(body) == "served"
}

// idleConnection returns a connection to an idleServer that is idle after one request.
func idleConnection(t *testing.T) (*network.IdleConns, *stalledVM, net.Conn) {
	t.Helper()
	ic, vm, address := idleServer(t)
	co, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = co.Close() })
	ask(t, co)
	qt.Assert(t, answered(co), qt.IsTrue)
	for ic.Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	return ic, vm, co
}

// TestRequestThatWaitsUnreadIsServedAtTheEnd ends an idle connection on which a request has
// arrived that the busy VM has not read. The connection was closed without an answer.
func TestRequestThatWaitsUnreadIsServedAtTheEnd(t *testing.T) {
	ic, vm, co := idleConnection(t)
	vm.running.Lock()
	// The read that waits fails by the deadline, before the request arrives.
	ic.End(time.Now())
	time.Sleep(50 * time.Millisecond)
	ask(t, co)
	time.Sleep(50 * time.Millisecond)
	vm.running.Unlock()
	qt.Assert(t, answered(co), qt.IsTrue)
}

// TestRequestThatIsServedAsItsConnectionEndsIsAnswered sends requests without a body at the moment
// at which their idle connections are ended. Those that arrive too late get no answer; none may
// be served without one.
func TestRequestThatIsServedAsItsConnectionEndsIsAnswered(t *testing.T) {
	for n := range 200 {
		ic, vm, co := idleConnection(t)
		var wg sync.WaitGroup
		wg.Go(func() {
			time.Sleep(10 * time.Millisecond)
			ic.End(time.Now())
		})
		time.Sleep(time.Duration(n) * 150 * time.Microsecond)
		_, _ = fmt.Fprint(co, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		ok := answered(co)
		wg.Wait()
		qt.Assert(t, ok || vm.served.Load() == 1, qt.IsTrue, qt.Commentf("served %d", vm.served.Load()))
	}
}

func TestIdleConnectionEnds(t *testing.T) {
	ic, _, co := idleConnection(t)
	ic.End(time.Now().Add(-time.Minute)) // it has not been idle for so long
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, ic.Len(), qt.Equals, 1)
	ic.End(time.Now())
	_ = co.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := co.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	for ic.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionThatEndsBeforeItsFirstReadIsClosed ends a connection before the server sets the
// deadline of its first request's head. That deadline replaced the end, and the connection stayed.
func TestConnectionThatEndsBeforeItsFirstReadIsClosed(t *testing.T) {
	ic, address := network.NewIdleConns(), ""
	ne := ic.Track(network.Network{Listen: func(string) (net.Listener, error) {
		li, err := network.Real().Listen("127.0.0.1:0")
		if err == nil {
			address = li.Addr().String()
		}
		return li, err
	}})
	gr := worker.NewGroup()
	sv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(serveText), ConnState: func(co net.Conn, st http.ConnState) {
		if st == http.StateNew {
			ic.ConnState(co, http.StateIdle)
			ic.End(time.Now().Add(time.Second))
			return
		}
		ic.ConnState(co, st)
	}}
	qt.Assert(t, ne.Serve(gr, "", sv, func(error) {}), qt.IsNil)
	t.Cleanup(func() {
		_ = sv.Close()
		gr.Close()
	})
	co := connect(t, address)
	_ = co.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := co.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
}
