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

// proxy listens on the loopback interface and forwards its connections to an address.
// Tests make it reset, silence, refuse or delay them.
type proxy struct {
	to       string
	listener net.Listener

	mu sync.Mutex
	// conns holds the open connections: that of the client and that to the server for
	// each forwarded connection.
	conns map[net.Conn]bool
	// silent holds the members of conns from which nothing is forwarded any more.
	silent map[net.Conn]bool
	// refuse reports whether new connections are closed at once.
	refuse bool
	// delay is added before each write.
	delay time.Duration
}

// newProxy starts a proxy to an address. It is closed at the end of the test.
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

// forward copies what from sends to to, until one of them ends, and closes both. While
// from is silent, what it sends is discarded.
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

// each calls fn for each member of conns, with mu held.
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

// silence stops forwarding on the open connections without closing them. With oneWay it
// silences every second member of conns, in the random order of the map, so that some
// forwarded connections still carry data in one direction.
func (px *proxy) silence(oneWay bool) {
	odd := false
	px.each(func(co net.Conn) {
		odd = !odd
		if odd || !oneWay {
			px.silent[co] = true
		}
	})
}

// setLink sets whether new connections are refused, and the delay before each write on
// any connection.
func (px *proxy) setLink(refuse bool, delay time.Duration) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.refuse, px.delay = refuse, delay
}
