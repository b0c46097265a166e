// Package testsite brings up a whole site in one process for tests: stand-ins,
// entries and stewards over connections in memory, whose links can be cut, go
// silent, or end with their host. It works in virtual time (testing/synctest).
package testsite

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/network"
)

// Host names a process on the network.
type Host string

// Network joins hosts by connections in memory.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[link]bool
	dead      map[Host]bool
	written   map[Host]int64
}

// link is a direction from a host to an address.
type link struct {
	from Host
	to   string
}

// NewNetwork gives a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cut: map[link]bool{}, dead: map[Host]bool{}, written: map[Host]int64{},
	}
}

// ForHost gives the network as a host sees it.
func (nw *Network) ForHost(ho Host) network.Network {
	return network.Network{
		Listen: func(address string) (net.Listener, error) { return nw.listen(ho, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return nw.dial(ctx, ho, address)
		},
	}
}

// BytesSent counts the bytes that a host has sent so far.
func (nw *Network) BytesSent(ho Host) int64 {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.written[ho]
}

func (nw *Network) count(ho Host, n int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.written[ho] += int64(n)
}

// Cut breaks a link: open connections end, and no new ones come up.
func (nw *Network) Cut(from Host, to string) {
	nw.mu.Lock()
	nw.cut[link{from, to}] = true
	nw.mu.Unlock()
	nw.each(link{from, to}, func(co *conn) { _ = co.Close() })
}

// Restore lets new connections come up on a cut link.
func (nw *Network) Restore(from Host, to string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.cut, link{from, to})
}

// Blackhole makes the open connections of a link carry nothing more, without an
// end; new ones work.
func (nw *Network) Blackhole(from Host, to string) {
	nw.each(link{from, to}, (*conn).silence)
}

// Kill ends a host's connections and listeners at once; it reaches nobody and
// nobody reaches it.
func (nw *Network) Kill(ho Host) {
	nw.mu.Lock()
	nw.dead[ho] = true
	var ends []interface{ Close() error }
	for address, li := range nw.listeners {
		if li.host == ho {
			delete(nw.listeners, address)
			ends = append(ends, li)
		}
	}
	for co := range nw.conns {
		if co.link.from == ho || co.server == ho {
			ends = append(ends, co)
		}
	}
	nw.mu.Unlock()
	for _, en := range ends {
		_ = en.Close()
	}
}

// Revive lets a killed host's name be used by a new process.
func (nw *Network) Revive(ho Host) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.dead, ho)
}

func (nw *Network) each(li link, fn func(co *conn)) {
	nw.mu.Lock()
	var found []*conn
	for co := range nw.conns {
		if co.link == li {
			found = append(found, co)
		}
	}
	nw.mu.Unlock()
	for _, co := range found {
		fn(co)
	}
}

func (nw *Network) listen(ho Host, address string) (net.Listener, error) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if _, ok := nw.listeners[address]; ok {
		return nil, eris.Errorf("address %s is in use", address)
	}
	li := &listener{network: nw, host: ho, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	nw.listeners[address] = li
	return li, nil
}

func (nw *Network) dial(ctx context.Context, from Host, address string) (net.Conn, error) {
	nw.mu.Lock()
	li, ok := nw.listeners[address]
	refused := !ok || nw.dead[from] || nw.cut[link{from, address}]
	nw.mu.Unlock()
	if refused {
		return nil, eris.Errorf("dial %s: connection refused", address)
	}
	near, far := net.Pipe()
	pair := &pair{}
	client := &conn{Conn: near, network: nw, link: link{from, address}, server: li.host, owner: from, pair: pair}
	server := &conn{Conn: far, network: nw, link: link{from, address}, server: li.host, owner: li.host, pair: pair}
	nw.mu.Lock()
	nw.conns[client], nw.conns[server] = true, true
	nw.mu.Unlock()
	select {
	case li.accepted <- server:
		return client, nil
	case <-li.closed:
	case <-ctx.Done():
	}
	_ = client.Close()
	_ = server.Close()
	return nil, eris.Errorf("dial %s: connection refused", address)
}

// listener accepts connections in memory.
type listener struct {
	network  *Network
	host     Host
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (li *listener) Accept() (net.Conn, error) {
	select {
	case co := <-li.accepted:
		return co, nil
	case <-li.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (li *listener) Close() error {
	li.once.Do(func() {
		close(li.closed)
		li.network.mu.Lock()
		defer li.network.mu.Unlock()
		if li.network.listeners[li.address] == li {
			delete(li.network.listeners, li.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (li *listener) Addr() net.Addr { return address(li.address) }

type address string

func (ad address) Network() string { return "memory" }
func (ad address) String() string  { return string(ad) }

// pair is what both ends of a connection share.
type pair struct {
	mu     sync.Mutex
	silent bool
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	link    link
	server  Host
	// owner is the host at this end.
	owner Host
	pair  *pair
}

func (co *conn) silence() {
	co.pair.mu.Lock()
	defer co.pair.mu.Unlock()
	co.pair.silent = true
}

// Write drops what is written on a silent connection.
func (co *conn) Write(buf []byte) (int, error) {
	co.pair.mu.Lock()
	silent := co.pair.silent
	co.pair.mu.Unlock()
	co.network.count(co.owner, len(buf))
	if silent {
		return len(buf), nil
	}
	return co.Conn.Write(buf)
}

// Close ends the connection. The other end of a silent one hears nothing.
func (co *conn) Close() error {
	co.network.mu.Lock()
	delete(co.network.conns, co)
	co.network.mu.Unlock()
	return co.Conn.Close()
}
