// Package network opens listeners and connections. Tests replace it with
// connections in memory.
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

// idleLimit is how long a pooled connection is trusted: something between the
// ends may forget it after that.
const idleLimit = 3 * time.Second

// Network is how a daemon reaches others and is reached.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// unacknowledgedLimit is how long sent data may stay unacknowledged before a
// connection fails: a peer behind a partition gives no other sign.
const unacknowledgedLimit = 2500 * time.Millisecond

// Real gives the machine's network over TCP.
func Real() Network {
	di := &net.Dialer{Timeout: time.Second, KeepAlive: time.Second, Control: limitUnacknowledged}
	li := &net.ListenConfig{KeepAlive: time.Second, Control: limitUnacknowledged}
	return Network{
		Listen: func(address string) (net.Listener, error) {
			return li.Listen(context.Background(), "tcp", address)
		},
		Dial: di.DialContext,
	}
}

// limitUnacknowledged sets TCP_USER_TIMEOUT; accepted connections inherit it.
func limitUnacknowledged(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Serve opens a listener and serves on it in a goroutine of a group, until the
// server is closed. failed hears why it ended otherwise.
func (ne Network) Serve(gr *worker.Group, address string, sv *http.Server, failed func(err error)) error {
	li, err := ne.Listen(address)
	if err != nil {
		return eris.Wrapf(err, "Network.Serve: %s", address)
	}
	gr.Go(func(context.Context) {
		if err := sv.Serve(li); !eris.Is(err, http.ErrServerClosed) {
			failed(err)
		}
	})
	return nil
}

// Client gives an HTTP client that pools up to idle connections a host.
func (ne Network) Client(idle int) *http.Client {
	return &http.Client{CheckRedirect: keepRedirect, Transport: &http.Transport{
		DialContext:         ne.Dial,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}}
}

// UnpooledClient gives an HTTP client that opens a new connection for each
// request. net/http then never sends a request a second time by itself, which
// it may do on a pooled connection.
func (ne Network) UnpooledClient() *http.Client {
	return &http.Client{CheckRedirect: keepRedirect, Transport: &http.Transport{
		DialContext:        ne.Dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}
}

// keepRedirect gives a redirect back as the answer that it is.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
