package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ForwardCall is one attempt to forward a caller's request unchanged.
type ForwardCall struct {
	// URL is the endpoint's base URL.
	URL    string
	Method string
	// Target is the request target, path and query, exactly as the caller sent it.
	Target string
	Host   string
	// Header is the request's header. Forward may add an empty User-Agent to it.
	Header http.Header
	Body   []byte
	// Repeatable is set if the request may run more than once. The call then uses a
	// pooled connection, on which net/http may send a request again by itself.
	Repeatable bool
	// HeaderDeadline is when the answer's header must have been received.
	HeaderDeadline time.Time
	// IdleTimeout is the longest time without a byte of the answer's body, counted
	// from its header on.
	IdleTimeout time.Duration
	// GiveUp is asked when HeaderDeadline or IdleTimeout has passed, and each IdleTimeout
	// after that. As long as it returns false, the call goes on. It is called from a
	// goroutine of its own. If it is nil, the call is given up.
	GiveUp func() bool
	// Via is the peer that carries the attempt, nil if this VM sends it itself.
	Via *Via
	// Path watches the connections of the call, nil if nothing does.
	Path *Path
	// Insist makes the client open a new connection also while the path is lost.
	Insist bool
}

// ForwardAnswer is an answer whose body has not been read yet. It is not safe for
// concurrent use, and must be closed.
type ForwardAnswer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if it is not known.
	Length int64
	// EndsWithConnection reports whether the answer has neither a length nor chunks, so
	// that only the end of the connection ends the body.
	EndsWithConnection bool

	conn *connection
	// carried is the body if a peer carries the answer, nil otherwise.
	carried *carriedBody
}

// Forward sends a call and blocks until it has the answer's header. The error is a
// *Failure.
func (cl *Client) Forward(ctx context.Context, ca ForwardCall) (*ForwardAnswer, error) {
	if ca.Via != nil {
		return cl.forwardVia(ctx, ca)
	}
	rq, err := ca.request()
	if err != nil {
		return nil, &Failure{Cause: CauseUnreachable, Err: err}
	}
	if ca.Insist {
		ctx = context.WithValue(ctx, insistent{}, true)
	}
	hc := cl.clientOf(ca)
	co := &connection{idleTimeout: ca.IdleTimeout, giveUp: ca.GiveUp}
	co, fa := cl.openConnection(ctx, co, hc, rq, time.Until(ca.HeaderDeadline))
	if fa != nil {
		return nil, fa
	}
	co.timer.Reset(ca.IdleTimeout)
	rs := co.response
	return &ForwardAnswer{
		Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength,
		EndsWithConnection: endsWithConnection(rs), conn: co,
	}, nil
}

// clientOf returns the HTTP client that makes a call's connections.
func (cl *Client) clientOf(ca ForwardCall) *http.Client {
	pooled, unpooled := cl.pooled, cl.unpooled
	if ca.Path != nil {
		pooled, unpooled = ca.Path.pooled, ca.Path.unpooled
	}
	if ca.Repeatable {
		return pooled
	}
	return unpooled
}

// IsTarget reports whether a call can send a request target unchanged.
func IsTarget(target string) bool {
	_, err := targetURL(&url.URL{Scheme: "http", Host: "endpoint"}, target)
	return err == nil
}

// targetURL returns the URL of a request target, path and query, at an endpoint. An opaque path
// keeps net/http from encoding it anew, but net/http writes the scheme before one that begins
// with two slashes: such a path is not opaque, and must be one that net/http leaves as it is.
func targetURL(base *url.URL, target string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(target, "?")
	out := &url.URL{Scheme: base.Scheme, Host: base.Host, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		plain, err := url.PathUnescape(path)
		if err != nil {
			return nil, err
		}
		out.Opaque, out.Path, out.RawPath = "", plain, path
	}
	if sent := out.RequestURI(); sent != target {
		return nil, eris.Errorf("target would be sent as %.100q", sent)
	}
	return out, nil
}

// request returns the HTTP request. It fails if net/http would send another target.
func (ca ForwardCall) request() (*http.Request, error) {
	rq, err := http.NewRequest(ca.Method, ca.URL, nil)
	if err != nil {
		return nil, err
	}
	if rq.URL, err = targetURL(rq.URL, ca.Target); err != nil {
		return nil, err
	}
	rq.Host, rq.Header = ca.Host, ca.Header
	if len(ca.Body) > 0 || !ca.Repeatable {
		// net/http cannot send a request a second time that has a body but no
		// GetBody. A request that is not repeatable gets a body even if it is empty.
		rq.Body = io.NopCloser(bytes.NewReader(ca.Body))
		rq.ContentLength = int64(len(ca.Body))
	}
	if _, ok := rq.Header["User-Agent"]; !ok {
		rq.Header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	return rq, nil
}

// Read reads from the body. Each read that returns data restarts
// ForwardCall.IdleTimeout.
func (an *ForwardAnswer) Read(buf []byte) (int, error) { return an.conn.Read(buf) }

// ReadFailure returns the failure for an error of Read.
func (an *ForwardAnswer) ReadFailure(err error) *Failure {
	if an.carried != nil {
		return an.carried.failure(an.conn.readFailure(err))
	}
	return an.conn.readFailure(err)
}

// Abort ends the answer: a Read that waits, or the next one, fails. Unlike the other methods, it
// may be called from any goroutine.
func (an *ForwardAnswer) Abort() { an.conn.cancel() }

// Close closes the body. It also closes the network connection, unless the body was
// read to its end.
func (an *ForwardAnswer) Close() { an.conn.close() }
