// Package testsite runs a whole site in the process of a test: stand-ins for the
// platform's services and for endpoints, with entries and stewards (Site) or routers
// (RouterSite). They communicate by connections in memory. A test can cut a link,
// drop its traffic or kill a host. Sites work under the virtual time of
// testing/synctest.
package testsite

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/network"
)

// Host names a host on the network. Each process of a site is a host of its own.
type Host string

// Network connects hosts by connections in memory.
//
// mu guards all fields. conns holds both ends of each open connection, and busyUntil until when the
// slow links of hosts are busy with what has been sent.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	faults    map[link]linkFault
	killed    map[Host]bool
	bytesSent map[Host]int64
	bandwidth map[Host]int
	busyUntil map[Host]time.Time
}

// link identifies the connections that the host from opens to the address to. Those
// that the other host opens belong to another link.
type link struct {
	from Host
	to   string
}

// linkFault is what happens to new connections of a link.
type linkFault int

const (
	// linkRefuses refuses them at once.
	linkRefuses linkFault = iota + 1
	// linkHangs leaves them without an answer.
	linkHangs
)

// dialTimeout is how long a dial waits for a link that hangs, as network.Real does.
const dialTimeout = time.Second

// packetBytes is how much is sent at once over a slow link.
const packetBytes = 8 << 10

// NewNetwork returns a network without listeners or connections.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, conns: map[*conn]bool{},
		faults: map[link]linkFault{}, killed: map[Host]bool{}, bytesSent: map[Host]int64{},
		bandwidth: map[Host]int{}, busyUntil: map[Host]time.Time{},
	}
}

// ForHost returns the functions with which a host listens and dials. Dialling fails
// while the host is killed or the link is cut.
func (nw *Network) ForHost(ho Host) network.Network {
	return network.Network{
		Listen: func(address string) (net.Listener, error) { return nw.listen(ho, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return nw.dial(ctx, ho, address)
		},
	}
}

// BytesSent returns the number of bytes that a host has written to connections so
// far. Bytes that Blackhole dropped are included.
func (nw *Network) BytesSent(ho Host) int64 {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.bytesSent[ho]
}

// LimitBandwidth sets how many bytes a second arrive at a host.
func (nw *Network) LimitBandwidth(ho Host, bytesPerSecond int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.bandwidth[ho] = bytesPerSecond
}

// arrivalAt returns when bytes that are sent now have arrived at a host, and whether its link is slow.
func (nw *Network) arrivalAt(ho Host, bytes int) (at time.Time, slow bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	rate := nw.bandwidth[ho]
	if rate == 0 {
		return time.Time{}, false
	}
	if now := time.Now(); nw.busyUntil[ho].Before(now) {
		nw.busyUntil[ho] = now
	}
	nw.busyUntil[ho] = nw.busyUntil[ho].Add(time.Second * time.Duration(bytes) / time.Duration(rate))
	return nw.busyUntil[ho], true
}

func (nw *Network) addSent(ho Host, n int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.bytesSent[ho] += int64(n)
}

// Cut closes the open connections of a link, and refuses new ones until Restore.
func (nw *Network) Cut(from Host, to string) {
	nw.RefuseNew(from, to)
	nw.Reset(from, to)
}

// Reset closes the open connections of a link.
func (nw *Network) Reset(from Host, to string) {
	nw.eachConn(link{from, to}, func(co *conn) { _ = co.Close() })
}

// RefuseNew refuses new connections on a link until Restore. Open ones live on.
func (nw *Network) RefuseNew(from Host, to string) { nw.setFault(from, to, linkRefuses) }

// HangNew leaves new connections on a link without an answer until Restore. Open ones live
// on.
func (nw *Network) HangNew(from Host, to string) { nw.setFault(from, to, linkHangs) }

func (nw *Network) setFault(from Host, to string, fault linkFault) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.faults[link{from, to}] = fault
}

// Restore allows new connections on a link again.
func (nw *Network) Restore(from Host, to string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.faults, link{from, to})
}

// Blackhole drops all further data, in both directions, on the open connections of a
// link and leaves them open, as a firewall that lost its state does. New connections
// are not affected.
func (nw *Network) Blackhole(from Host, to string) {
	nw.eachConn(link{from, to}, (*conn).blackhole)
}

// Kill closes all connections and listeners of a host at once. Until Revive, the host
// cannot dial.
func (nw *Network) Kill(ho Host) {
	nw.mu.Lock()
	nw.killed[ho] = true
	var closers []interface{ Close() error }
	for address, li := range nw.listeners {
		if li.host == ho {
			delete(nw.listeners, address)
			closers = append(closers, li)
		}
	}
	for co := range nw.conns {
		if co.link.from == ho || co.server == ho {
			closers = append(closers, co)
		}
	}
	nw.mu.Unlock()
	for _, cl := range closers {
		_ = cl.Close()
	}
}

// Revive allows a new process to use the name of a killed host.
func (nw *Network) Revive(ho Host) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.killed, ho)
}

// eachConn calls fn for both ends of each open connection of a link, without holding
// mu.
func (nw *Network) eachConn(li link, fn func(co *conn)) {
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
	li := &listener{network: nw, host: ho, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	nw.listeners[address] = li
	return li, nil
}

func (nw *Network) dial(ctx context.Context, from Host, address string) (net.Conn, error) {
	nw.mu.Lock()
	li, ok := nw.listeners[address]
	refused := !ok || nw.killed[from] || nw.faults[link{from, address}] == linkRefuses
	hangs := nw.faults[link{from, address}] == linkHangs
	nw.mu.Unlock()
	if hangs && !refused {
		return nil, hang(ctx, address)
	}
	if refused {
		return nil, eris.Errorf("dial %s: connection refused: no listener, killed host or cut link", address)
	}
	clientEnd, serverEnd := net.Pipe()
	cs := &connState{closed: make(chan struct{})}
	client := &conn{Conn: clientEnd, network: nw, link: link{from, address}, server: li.host, local: from, remote: li.host, state: cs}
	server := &conn{Conn: serverEnd, network: nw, link: link{from, address}, server: li.host, local: li.host, remote: from, state: cs}
	nw.mu.Lock()
	nw.conns[client], nw.conns[server] = true, true
	nw.mu.Unlock()
	select {
	case li.incoming <- server:
		return client, nil
	case <-li.closed:
	case <-ctx.Done():
	}
	_ = client.Close()
	_ = server.Close()
	return nil, eris.Errorf("dial %s: listener closed or context done before the connection was accepted", address)
}

// hang blocks for dialTimeout, or until ctx is done, and returns the error of the dial.
func hang(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	<-ctx.Done()
	return eris.Wrapf(ctx.Err(), "dial %s: no answer", address)
}

// listener accepts connections that Network.dial opens.
type listener struct {
	network  *Network
	host     Host
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (li *listener) Accept() (net.Conn, error) {
	select {
	case co := <-li.incoming:
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

// connState is shared by the two ends of a connection; mu guards blackholed. closed is closed with either end.
type connState struct {
	mu         sync.Mutex
	blackholed bool
	closed     chan struct{}
	once       sync.Once
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	link    link
	// server is the host that accepted the connection, local the host at this end and remote that at
	// the other one.
	server Host
	local  Host
	remote Host
	state  *connState
}

func (co *conn) blackhole() {
	co.state.mu.Lock()
	defer co.state.mu.Unlock()
	co.state.blackholed = true
}

func (co *conn) blackholed() bool {
	co.state.mu.Lock()
	defer co.state.mu.Unlock()
	return co.state.blackholed
}

// Write implements net.Conn. After Blackhole it reports success but sends nothing.
func (co *conn) Write(buf []byte) (int, error) {
	co.network.addSent(co.local, len(buf))
	written := 0
	for written < len(buf) && !co.blackholed() {
		packet := buf[written:]
		if at, slow := co.network.arrivalAt(co.remote, min(len(packet), packetBytes)); slow {
			packet = packet[:min(len(packet), packetBytes)]
			co.await(at)
		}
		n, err := co.Conn.Write(packet)
		if written += n; err != nil {
			return written, err //nolint:wrapcheck // callers expect the errors of net.Conn
		}
	}
	return len(buf), nil
}

// await blocks until a time, or until one end of the connection is closed.
func (co *conn) await(at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-co.state.closed:
	}
}

// Close closes this end. The other end then reads io.EOF, also after Blackhole.
func (co *conn) Close() error {
	co.network.mu.Lock()
	delete(co.network.conns, co)
	co.network.mu.Unlock()
	co.state.once.Do(func() { close(co.state.closed) })
	return co.Conn.Close()
}
