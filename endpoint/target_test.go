package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"net/http"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

// requestLine sends a call with a target, and returns the first line that the endpoint receives.
func requestLine(t *testing.T, target string, repeatable bool) string {
	t.Helper()
	gr := worker.NewGroup()
	line := ""
	cl := endpoint.NewClient(network.Network{Dial: func(context.Context, string, string) (net.Conn, error) {
		mine, theirs := net.Pipe()
		gr.Go(func(context.Context) {
			defer func() { _ = theirs.Close() }()
			rd := bufio.NewReader(theirs)
			line, _ = rd.ReadString('\n')
			for text := line; text != "\r\n" && text != ""; {
				text, _ = rd.ReadString('\n')
			}
			_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		})
		return mine, nil
	}}, time.Second)
	defer cl.Close()
	an, err := cl.Forward(context.Background(), endpoint.ForwardCall{
		URL: "http://engine", Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}, Repeatable: repeatable,
		HeaderDeadline: time.Now().Add(time.Second), IdleTimeout: time.Second,
	})
	if err != nil {
		return ""
	}
	an.Close()
	gr.Wait()
	return strings.TrimSuffix(line, "\r\n")
}

// TestTargetsReachEndpointsUnchanged sends targets as callers write them. One that begins with two
// slashes reached the endpoint as http://a/b, the request of another host (review/4).
func TestTargetsReachEndpointsUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/a", "//a/b", "///a", "//", "//a", "//a?b", "//a?", "//a//b?c//d", "//%61/%2f%2F?x=%zz", "/%61/{x}", "//a;b=c/@:!$&'()*+,", "//..//.", "//user@host:80/p", "/a?b?c#d",
	} {
		for _, repeatable := range []bool{true, false} {
			qt.Check(t, requestLine(t, target, repeatable), qt.Equals, "GET "+target+" HTTP/1.1")
		}
		qt.Check(t, endpoint.IsTarget(target), qt.IsTrue, qt.Commentf("%q", target))
	}
	// What cannot be sent unchanged is not sent.
	for _, target := range []string{"//a/{x}", "//a/%zz", "//a/|"} {
		qt.Check(t, endpoint.IsTarget(target), qt.IsFalse, qt.Commentf("%q", target))
		qt.Check(t, requestLine(t, target, true), qt.Equals, "")
	}
}
