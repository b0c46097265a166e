package endpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/testsite"
)

// earlyAnswer is an endpoint that answers each request at once, before it has read the body, and
// resets the connection while the body is still being written.
func earlyAnswer(t *testing.T, readBytes int64, pause time.Duration) (url string) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	testsite.AcceptEach(t, li, func(co net.Conn) {
		_, _ = io.CopyN(io.Discard, co, readBytes)
		_, _ = io.WriteString(co, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of an answer")
		time.Sleep(pause)
		_ = co.(*net.TCPConn).SetLinger(0)
	})
	return "http://" + li.Addr().String()
}

// TestAnswerResetDuringTheUploadIsNotComplete counts answers that look complete although their
// connection was reset while the request was being written. A write that fails takes the error
// from the read, which then sees an ordinary end.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	body := make([]byte, 4<<20)
	cl := endpoint.NewClient(network.Real(), 5*time.Second)
	defer cl.Close()
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, readBytes := range []int64{1, 1 << 20} {
			t.Run(fmt.Sprintf("after %v and %d bytes", pause, readBytes), func(t *testing.T) {
				url := earlyAnswer(t, readBytes, pause)
				forwarded, called := 0, 0
				const calls = 60
				for n := range calls {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					an, err := cl.Forward(ctx, endpoint.ForwardCall{
						URL: url, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: body, Repeatable: n%2 == 0,
						HeaderDeadline: time.Now().Add(5 * time.Second), IdleTimeout: 5 * time.Second,
					})
					if err == nil {
						if _, err = io.ReadAll(an); err == nil {
							forwarded++
						}
						an.Close()
					}
					_, err = cl.CallPlain(ctx, endpoint.PlainCall{
						URL: url, Attempt: "a", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: body, Repeatable: n%2 == 0,
						FirstByteDeadline: time.Now().Add(5 * time.Second), MaxBytes: 1 << 20,
					})
					if err == nil {
						called++
					}
					cancel()
				}
				qt.Check(t, forwarded, qt.Equals, 0, qt.Commentf("of %d", calls))
				qt.Check(t, called, qt.Equals, 0, qt.Commentf("of %d", calls))
			})
		}
	}
}
