package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// maxHead is the largest head of an answer in bytes that a router may take in, as in
// the other direction.
const maxHead = 64 << 10

// endlessEndpoint answers each connection with the text of head and then with filler,
// until the connection is closed. taken counts the bytes of filler that were read.
type endlessEndpoint struct {
	head, filler string
	taken        atomic.Int64
}

func (ee *endlessEndpoint) serve(co net.Conn) {
	defer func() { _ = co.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(co)); err != nil {
		return
	}
	if _, err := io.WriteString(co, ee.head); err != nil {
		return
	}
	for {
		n, err := io.WriteString(co, ee.filler)
		ee.taken.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessHeadIsGivenUp has an endpoint send a head without end, in one line or in
// many, or bytes that are no HTTP. A router took in ten megabytes of each, and a VM may
// have a hundred.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	filler := strings.Repeat("x", 1000)
	for _, ee := range []*endlessEndpoint{
		{head: "HTTP/1.1 200 OK\r\nX-Long: ", filler: filler},
		{head: "HTTP/1.1 200 OK\r\n", filler: "X-Many: " + filler + "\r\n"},
		{head: "HTTP/1.1 200 ", filler: filler},
		{filler: filler},
	} {
		for _, repeatable := range []bool{true, false} {
			ee.taken.Store(0)
			gr := worker.NewGroup()
			cl := endpoint.NewClient(network.Network{Dial: func(context.Context, string, string) (net.Conn, error) {
				mine, theirs := net.Pipe()
				gr.Go(func(context.Context) { ee.serve(theirs) })
				return mine, nil
			}}, time.Second)
			an, err := cl.Forward(context.Background(), endpoint.ForwardCall{
				URL: "http://engine", Method: http.MethodPost, Target: "/", Header: http.Header{}, Repeatable: repeatable,
				HeaderDeadline: time.Now().Add(10 * time.Second), IdleTimeout: time.Second,
			})
			if err == nil {
				an.Close()
			}
			gr.Wait()
			cl.Close()
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, ee.taken.Load() < 2*maxHead, qt.IsTrue, qt.Commentf("head %q, repeatable %t: %d bytes", ee.head, repeatable, ee.taken.Load()))
		}
	}
}
