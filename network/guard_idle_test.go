package network_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// TestConnectionMakesRoomWhileItIsAccepted has two listeners share a budget of few connections, so
// that each new connection ends one that the other listener has just accepted. It is for the race
// detector.
func TestConnectionMakesRoomWhileItIsAccepted(t *testing.T) {
	gu := network.NewGuard(newBudget(3, 16*mib), generousGuard)
	var addresses []string
	for range 2 {
		ic := network.NewIdleConns()
		ne := ic.Track(gu.Track(network.OtherConn, network.Network{Listen: func(string) (net.Listener, error) {
			li, err := network.Real().Listen("127.0.0.1:0")
			if err == nil {
				addresses = append(addresses, li.Addr().String())
			}
			return li, err
		}}))
		gr := worker.NewGroup()
		sv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(serveText), ConnState: func(co net.Conn, st http.ConnState) {
			gu.ConnState(co, st)
			ic.ConnState(co, st)
		}}
		qt.Assert(t, ne.Serve(gr, "", sv, func(error) {}), qt.IsNil)
		t.Cleanup(func() {
			_ = sv.Close()
			gr.Close()
		})
	}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for range 200 {
				co, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", addresses[n%len(addresses)])
				if err == nil {
					_ = co.Close()
				}
			}
		})
	}
	wg.Wait()
	qt.Assert(t, gu.Counts()[string(network.CauseIdle)] > 0, qt.IsTrue)
}
