//go:build soak

package soak_test

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// proxy forwards connections to an address over the loopback interface. Tests
// make it reset, silence, refuse or delay them.
type proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silent holds the connections from which nothing is forwarded any more.
	silent map[net.Conn]bool
	// refuse tells whether new connections are closed at once.
	refuse bool
	// delay is added before each write.
	delay time.Duration
}

// newProxy starts a proxy to an address. It ends with the test.
func newProxy(t *testing.T, to string) *proxy {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	px := &proxy{to: to, listener: li, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = li.Close()
		px.reset()
	})
	go px.accept()
	return px
}

func (px *proxy) address() string { return px.listener.Addr().String() }

// accept opens a connection to the target for each one that it accepts, until the
// listener is closed.
func (px *proxy) accept() {
	for {
		client, err := px.listener.Accept()
		if err != nil {
			return
		}
		px.mu.Lock()
		refuse := px.refuse
		px.mu.Unlock()
		server, err := net.DialTimeout("tcp", px.to, time.Second)
		if refuse || err != nil {
			_ = client.Close()
			if server != nil {
				_ = server.Close()
			}
			continue
		}
		px.mu.Lock()
		px.conns[client], px.conns[server] = true, true
		px.mu.Unlock()
		go px.forward(client, server)
		go px.forward(server, client)
	}
}

// forward copies one direction of a connection until it ends. What a silent
// connection sends is discarded.
func (px *proxy) forward(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		px.mu.Lock()
		silent, delay := px.silent[from], px.delay
		px.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !silent {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil && !(silent && errors.Is(err, net.ErrClosed)) {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	px.mu.Lock()
	delete(px.conns, from)
	delete(px.silent, from)
	px.mu.Unlock()
}

// each calls fn for each open connection, with the lock held.
func (px *proxy) each(fn func(co net.Conn)) {
	px.mu.Lock()
	defer px.mu.Unlock()
	for co := range px.conns {
		fn(co)
	}
}

// reset closes the open connections with a TCP reset.
func (px *proxy) reset() {
	px.each(func(co net.Conn) {
		if tc, ok := co.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = co.Close()
	})
}

// silence stops forwarding on the open connections without closing them. With
// oneWay it marks every second end that it visits, in the random order of a map, so
// that some connections still carry data in one direction.
func (px *proxy) silence(oneWay bool) {
	mark := false
	px.each(func(co net.Conn) {
		mark = !mark
		if mark || !oneWay {
			px.silent[co] = true
		}
	})
}

// set sets whether new connections are refused, and the delay of all.
func (px *proxy) set(refuse bool, delay time.Duration) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.refuse, px.delay = refuse, delay
}
