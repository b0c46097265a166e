// Package network opens listeners and connections. Tests replace the network of the
// operating system by connections in memory.
package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"tanagerpoint.example/tanager/worker"
)

// idleConnTimeout is how long an idle pooled connection may be reused: after that, a
// device on the path, such as a firewall or NAT, may have dropped its state.
const idleConnTimeout = 3 * time.Second

// maxResponseHeaderBytes bounds the head of an answer: an endpoint in trouble may send
// one without end.
const maxResponseHeaderBytes = 64 << 10

// Network holds the functions with which a daemon opens its listeners and
// connections.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialledTimeout and acceptedTimeout are how long data that was sent may stay unacknowledged, or
// its receiver without room for more, before a connection fails that this VM has dialled or
// accepted. A peer behind a network partition gives no other sign. A caller that stands still for
// some seconds goes on with its answer.
const (
	dialledTimeout  = 2500 * time.Millisecond
	acceptedTimeout = 10 * time.Second
)

// Real returns the TCP network of the operating system. Keep-alive probes go out
// every second, and a dial fails after a second.
func Real() Network {
	di := &net.Dialer{Timeout: time.Second, KeepAlive: time.Second, Control: userTimeout(dialledTimeout)}
	li := &net.ListenConfig{KeepAlive: time.Second, Control: userTimeout(acceptedTimeout)}
	return Network{
		Listen: func(address string) (net.Listener, error) {
			return li.Listen(context.Background(), "tcp", address)
		},
		Dial: di.DialContext,
	}
}

// userTimeout returns a function that sets TCP_USER_TIMEOUT on a socket. Connections that a
// listening socket accepts inherit it.
func userTimeout(du time.Duration) func(network, address string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error {
		var failed error
		err := rc.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(du.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// Serve opens a listener and serves on it in a goroutine of gr until sv is closed.
// It returns an error if the listener cannot be opened, and calls failed if serving
// ends later for another reason than the closing of sv.
func (ne Network) Serve(gr *worker.Group, address string, sv *http.Server, failed func(err error)) error {
	li, err := ne.Listen(address)
	if err != nil {
		return eris.Wrapf(err, "Network.Serve: listening on %s", address)
	}
	gr.Go(func(context.Context) {
		if err := sv.Serve(li); !eris.Is(err, http.ErrServerClosed) {
			failed(err)
		}
	})
	return nil
}

// Client returns an HTTP client that pools at most idle unused connections to each
// host and does not follow redirects.
func (ne Network) Client(idle int) *http.Client {
	return &http.Client{CheckRedirect: returnRedirect, Transport: &http.Transport{
		DialContext:         ne.Dial,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// UnpooledClient returns an HTTP client that opens a new connection for each request
// and does not follow redirects. On a pooled connection net/http may send a request
// a second time by itself; on a new one it never does.
func (ne Network) UnpooledClient() *http.Client {
	return &http.Client{CheckRedirect: returnRedirect, Transport: &http.Transport{
		DialContext:        ne.Dial,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// returnRedirect is a CheckRedirect function that returns redirects to the caller
// instead of following them.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
