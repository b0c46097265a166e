package network_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// TestCallerThatStandsStillKeepsItsConnection has a caller read nothing for three seconds while a
// long answer waits. The connection was reset, and the rest of the answer lost.
func TestCallerThatStandsStillKeepsItsConnection(t *testing.T) {
	const size = 32 << 20
	gr := worker.NewGroup()
	var address string
	ne := network.Network{Listen: func(string) (net.Listener, error) {
		li, err := network.Real().Listen("127.0.0.1:0")
		if err == nil {
			address = li.Addr().String()
		}
		return li, err
	}}
	sv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write(make([]byte, size))
	})}
	qt.Assert(t, ne.Serve(gr, "", sv, func(error) {}), qt.IsNil)
	t.Cleanup(func() {
		_ = sv.Close()
		gr.Close()
	})
	co, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = co.Close() }()
	ask(t, co)
	time.Sleep(3 * time.Second)
	n, err := io.Copy(io.Discard, io.LimitReader(co, size))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(size))
}
