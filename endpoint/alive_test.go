package endpoint_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/testsite"
)

// TestOnlyAnEndpointThatKeepsConnectionsIsAlive asks of a process that listens, of one that has
// ended, and of a proxy before one that has ended.
func TestOnlyAnEndpointThatKeepsConnectionsIsAlive(t *testing.T) {
	listen := func(serve func(co net.Conn)) net.Listener {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		testsite.AcceptEach(t, li, serve)
		return li
	}
	running := listen(func(co net.Conn) { _, _ = io.Copy(io.Discard, co) })
	proxy := listen(func(net.Conn) {})
	ended := listen(func(net.Conn) {})
	qt.Assert(t, ended.Close(), qt.IsNil)
	paths := endpoint.NewPaths(network.Real())
	for _, te := range []struct {
		name     string
		listener net.Listener
		want     bool
	}{{"running", running, true}, {"ended", ended, false}, {"proxy", proxy, false}} {
		qt.Check(t, paths.Alive(t.Context(), "service", te.listener.Addr().String()), qt.Equals, te.want, qt.Commentf("%s", te.name))
	}
	qt.Check(t, paths.Alive(t.Context(), "service", ""), qt.IsFalse)
}
