package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// PlainCall is one attempt to call a plain service.
type PlainCall struct {
	// URL is the endpoint's base URL.
	URL     string
	Attempt AttemptID
	Method  string
	// Path begins with a slash and may include a query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is set if the call may run more than once. It then uses a pooled
	// connection.
	Repeatable bool
	// FirstByteDeadline is when the first byte of the answer's body must have been
	// received. After that, only the client's idle timeout applies.
	FirstByteDeadline time.Time
	// MaxBytes is the largest size of the answer's body.
	MaxBytes int64
}

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Load   Load
}

// CallPlain sends a call and reads the complete answer. The error is a *Failure.
func (cl *Client) CallPlain(ctx context.Context, ca PlainCall) (PlainAnswer, error) {
	rq, err := http.NewRequest(ca.Method, ca.URL+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		return PlainAnswer{}, &Failure{Cause: CauseUnreachable, Err: err}
	}
	rq.GetBody = nil // prevents net/http from sending the call a second time
	rq.Header = ca.Header.Clone()
	rq.Header.Set(HeaderAttempt, string(ca.Attempt))
	hc := cl.unpooled
	if ca.Repeatable {
		hc = cl.pooled
	}
	co, fa := cl.open(ctx, hc, rq, time.Until(ca.FirstByteDeadline))
	if fa != nil {
		return PlainAnswer{}, fa
	}
	defer co.close()
	if st := co.response.StatusCode; st < http.StatusOK {
		return PlainAnswer{}, &Failure{Cause: CauseBroken, Sent: true, Err: eris.Errorf("status %03d is not one of a final answer", st)}
	}
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
