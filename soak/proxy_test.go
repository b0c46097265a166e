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

// proxy passes connections on to an address over the loopback interface, and
// harms them on order.
type proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silent holds the connections that carry nothing more, refused tells that
	// new ones are reset, delay is added to what is carried.
	silent  map[net.Conn]bool
	refused bool
	delay   time.Duration
}

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

func (px *proxy) accept() {
	for {
		near, err := px.listener.Accept()
		if err != nil {
			return
		}
		px.mu.Lock()
		refused := px.refused
		px.mu.Unlock()
		far, err := net.DialTimeout("tcp", px.to, time.Second)
		if refused || err != nil {
			_ = near.Close()
			if far != nil {
				_ = far.Close()
			}
			continue
		}
		px.mu.Lock()
		px.conns[near], px.conns[far] = true, true
		px.mu.Unlock()
		go px.carry(near, far)
		go px.carry(far, near)
	}
}

// carry copies one way; a silent connection swallows what comes.
func (px *proxy) carry(from, to net.Conn) {
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

// each visits the open connections.
func (px *proxy) each(fn func(co net.Conn)) {
	px.mu.Lock()
	defer px.mu.Unlock()
	for co := range px.conns {
		fn(co)
	}
}

func (px *proxy) reset() {
	px.each(func(co net.Conn) {
		if tc, ok := co.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = co.Close()
	})
}

// silence makes the open connections carry nothing more, one way or both.
func (px *proxy) silence(oneWay bool) {
	other := false
	px.each(func(co net.Conn) {
		other = !other
		if other || !oneWay {
			px.silent[co] = true
		}
	})
}

func (px *proxy) set(refused bool, delay time.Duration) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.refused, px.delay = refused, delay
}
