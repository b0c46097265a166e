package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// PlainCall is one attempt at a plain service.
type PlainCall struct {
	URL     string
	Attempt AttemptID
	Method  string
	// Path starts with a slash and may carry a query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable calls may use a pooled connection, on which net/http may send
	// a request again by itself.
	Repeatable bool
	Deadline   time.Time
	MaxBytes   int64
}

// PlainAnswer is a plain service's whole answer.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Load   Load
}

// CallPlain sends a call and reads the whole answer. The error is a *Failure.
func (cl *Client) CallPlain(ctx context.Context, ca PlainCall) (PlainAnswer, error) {
	rq, err := http.NewRequest(ca.Method, ca.URL+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return PlainAnswer{}, &Failure{Cause: CauseUnreachable, Err: err}
	}
	rq.GetBody = nil
	rq.Header = ca.Header.Clone()
	rq.Header.Set(HeaderAttempt, string(ca.Attempt))
	hc := cl.unpooled
	if ca.Repeatable {
		hc = cl.pooled
	}
	co, fa := cl.open(ctx, hc, rq, time.Until(ca.Deadline))
	if fa != nil {
		return PlainAnswer{}, fa
	}
	defer co.close()
	if id := co.response.Header.Get(HeaderAttempt); id != "" && id != string(ca.Attempt) {
		cl.dropped.Add(1)
		return PlainAnswer{}, &Failure{Cause: CauseMismatched, Sent: true, Err: eris.Errorf("answer is for %q", id)}
	}
	body, err := io.ReadAll(io.LimitReader(co, ca.MaxBytes+1))
	if err != nil {
		return PlainAnswer{}, co.readFailure(err)
	}
	if int64(len(body)) > ca.MaxBytes {
		return PlainAnswer{}, &Failure{Cause: CauseTooLarge, Sent: true, Err: eris.Errorf("answer is larger than %d bytes", ca.MaxBytes)}
	}
	return PlainAnswer{
		Status: co.response.StatusCode, Header: co.response.Header, Body: body,
		Load: parseLoad(co.response.Header.Get(HeaderLoad)),
	}, nil
}
