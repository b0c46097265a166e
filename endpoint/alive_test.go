package endpoint_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
)

// TestOnlyAnEndpointThatKeepsConnectionsIsAlive asks of a process that listens, of one that has
// ended, and of a proxy before one that has ended.
func TestOnlyAnEndpointThatKeepsConnectionsIsAlive(t *testing.T) {
	listen := func(accepted func(co net.Conn)) net.Listener {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = li.Close() })
		go func() {
			for {
				co, err := li.Accept()
				if err != nil {
					return
				}
				accepted(co)
			}
		}()
		return li
	}
	running := listen(func(co net.Conn) { t.Cleanup(func() { _ = co.Close() }) })
	proxy := listen(func(co net.Conn) { _ = co.Close() })
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
