package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// ForwardCall is one attempt whose request is carried as it came.
type ForwardCall struct {
	URL    string
	Method string
	// Target is the request target, path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable calls may use a pooled connection.
	Repeatable bool
	// HeaderDeadline is when the answer's head must have come.
	HeaderDeadline time.Time
	// Progress is the longest silence after the head.
	Progress time.Duration
}

// ForwardAnswer is an answer whose body is being read. It is used by one
// goroutine, and must be closed.
type ForwardAnswer struct {
	Status int
	Header http.Header
	// Length is the body's, -1 when it is not known.
	Length int64
	conn   *connection
}

// Forward sends a call and waits for the answer's head. The error is a *Failure.
func (cl *Client) Forward(ctx context.Context, ca ForwardCall) (*ForwardAnswer, error) {
	rq, err := ca.request()
	if err != nil {
		return nil, &Failure{Cause: CauseUnreachable, Err: err}
	}
	hc := cl.unpooled
	if ca.Repeatable {
		hc = cl.pooled
	}
	co, fa := cl.open(ctx, hc, rq, time.Until(ca.HeaderDeadline))
	if fa != nil {
		return nil, fa
	}
	co.progress = ca.Progress
	co.timer.Reset(ca.Progress)
	rs := co.response
	return &ForwardAnswer{Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength, conn: co}, nil
}

func (ca ForwardCall) request() (*http.Request, error) {
	rq, err := http.NewRequest(ca.Method, ca.URL, nil)
	if err != nil {
		return nil, err
	}
	path, query, asked := strings.Cut(ca.Target, "?")
	rq.URL = &url.URL{Scheme: rq.URL.Scheme, Host: rq.URL.Host, Opaque: path, RawQuery: query, ForceQuery: asked && query == ""}
	rq.Host, rq.Header = ca.Host, ca.Header
	if len(ca.Body) > 0 || !ca.Repeatable {
		// Without GetBody, net/http cannot send the request a second time.
		rq.Body = io.NopCloser(bytes.NewReader(ca.Body))
		rq.ContentLength = int64(len(ca.Body))
	}
	if _, ok := rq.Header["User-Agent"]; !ok {
		rq.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return rq, nil
}

// Read reads the body; each byte puts off the silence's end.
func (an *ForwardAnswer) Read(buf []byte) (int, error) { return an.conn.Read(buf) }

// ReadFailure gives the failure for an error of Read.
func (an *ForwardAnswer) ReadFailure(err error) *Failure { return an.conn.readFailure(err) }

// Close ends the answer. The connection is closed unless the body was read to
// its end.
func (an *ForwardAnswer) Close() { an.conn.close() }
