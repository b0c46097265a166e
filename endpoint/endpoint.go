// Package endpoint sends requests to model engines and plain services and
// reads their answers. It says of each failure whether the endpoint may have
// seen the request.
//
// Engines speak the OpenAI chat completions API. Their streams number each
// server-sent event, and a stream that broke is asked for again with
// Last-Event-ID, as the HTML standard describes.
package endpoint

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/network"
)

// AttemptID names one sending of a request to one endpoint.
type AttemptID string

// Cause says why an attempt failed.
type Cause string

// The causes.
const (
	CauseUnreachable Cause = "unreachable"
	CauseRefused     Cause = "refused"
	CauseBroken      Cause = "broken"
	CauseSilent      Cause = "silent"
	CauseMismatched  Cause = "mismatched"
	CauseTooLarge    Cause = "too_large"
)

const (
	// HeaderAttempt carries the attempt's id to the endpoint.
	HeaderAttempt = "X-Request-Id"
	// HeaderLoad carries an endpoint's load back, in the form of the Open
	// Request Cost Aggregation standard.
	HeaderLoad = "Endpoint-Load-Metrics"
	// HeaderPriority carries a priority to a plain service.
	HeaderPriority = "X-Priority"

	maxErrorBytes = 4096
)

// Failure is a failed attempt.
type Failure struct {
	Cause Cause
	// Sent tells whether a byte of the request may have reached the endpoint.
	Sent bool
	// Status is the endpoint's HTTP status, 0 when there was none.
	Status int
	// Body is the start of the endpoint's own error.
	Body    []byte
	Problem error
}

// Error gives the cause and what lay behind it.
func (fa *Failure) Error() string {
	if fa.Status != 0 {
		return fmt.Sprintf("endpoint answered %d: %s", fa.Status, fa.Body)
	}
	return fmt.Sprintf("endpoint %s: %v", fa.Cause, fa.Problem)
}

// Unwrap gives what lay behind the failure.
func (fa *Failure) Unwrap() error { return fa.Problem }

// CallerMistake tells whether the endpoint found the request itself wrong, so
// that another endpoint would as well.
func (fa *Failure) CallerMistake() bool {
	return fa.Status >= 400 && fa.Status < 500 && fa.Status != http.StatusTooManyRequests && fa.Status != http.StatusRequestTimeout
}

// Load is what an endpoint says of itself. Utilisation is requests in service
// for each slot.
type Load struct {
	Utilisation float64
	Known       bool
}

// loadKey is the standard's name of a utilisation.
const loadKey = "application_utilization" //nolint:misspell // as in the standard

// parseLoad reads the header; its text form is "TEXT key=value, key=value",
// its JSON form "JSON {...}".
func parseLoad(header string) Load {
	if text, ok := strings.CutPrefix(header, "JSON "); ok {
		va := gjson.Get(text, loadKey)
		return Load{Utilisation: va.Float(), Known: va.Exists()}
	}
	for part := range strings.SplitSeq(strings.TrimPrefix(header, "TEXT "), ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if va, err := strconv.ParseFloat(text, 64); err == nil && key == loadKey {
			return Load{Utilisation: va, Known: true}
		}
	}
	return Load{}
}

// FormatLoad gives the header's value for a utilisation.
func FormatLoad(utilisation float64) string {
	return fmt.Sprintf("TEXT %s=%.3f", loadKey, utilisation)
}

// Client sends requests. Its pooled connections are used for first attempts;
// everything else goes on a new connection.
type Client struct {
	pooled   *http.Client
	fresh    *http.Client
	progress time.Duration
	dropped  atomic.Int64
	resumed  atomic.Int64
}

// NewClient gives a client; progress is the longest silence of a connection.
func NewClient(ne network.Network, progress time.Duration) *Client {
	return &Client{pooled: ne.Client(64), fresh: ne.UnpooledClient(), progress: progress}
}

// Close ends the pooled connections.
func (cl *Client) Close() { cl.pooled.CloseIdleConnections() }

// Dropped counts answers that belonged to another request.
func (cl *Client) Dropped() int64 { return cl.dropped.Load() }

// Resumed counts streams that went on over a new connection.
func (cl *Client) Resumed() int64 { return cl.resumed.Load() }

// connection is a request under way whose silence is watched.
type connection struct {
	response *http.Response
	cancel   context.CancelFunc
	timer    *time.Timer
	silent   *atomic.Bool
	progress time.Duration
}

// open sends a request and waits for the answer's head. wait bounds the
// silence before it.
func (cl *Client) open(ctx context.Context, hc *http.Client, rq *http.Request, wait time.Duration) (*connection, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	co := &connection{cancel: cancel, silent: &atomic.Bool{}, progress: cl.progress}
	co.timer = time.AfterFunc(wait, func() {
		co.silent.Store(true)
		cancel()
	})
	var sent atomic.Bool
	tc := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	//nolint:bodyclose // connection.close closes it
	rs, err := hc.Do(rq.WithContext(httptrace.WithClientTrace(ctx, tc)))
	if err != nil {
		co.close()
		fa := &Failure{Cause: CauseUnreachable, Sent: sent.Load(), Problem: err}
		if fa.Sent {
			fa.Cause = CauseBroken
		}
		if co.silent.Load() {
			fa.Cause = CauseSilent
		}
		return nil, fa
	}
	co.response = rs
	return co, nil
}

// Read reads from the answer's body; each byte puts off the silence's end.
func (co *connection) Read(buf []byte) (int, error) {
	n, err := co.response.Body.Read(buf)
	if n > 0 {
		co.timer.Reset(co.progress)
	}
	return n, err
}

func (co *connection) close() {
	co.timer.Stop()
	co.cancel()
	if co.response != nil {
		_ = co.response.Body.Close()
	}
}

// failed gives the failure for an error while reading.
func (co *connection) failed(err error) *Failure {
	cause := CauseBroken
	if co.silent.Load() {
		cause = CauseSilent
	}
	return &Failure{Cause: cause, Sent: true, Problem: err}
}

// refused reads an answer that is an error.
func (co *connection) refused() *Failure {
	defer co.close()
	body, _ := io.ReadAll(io.LimitReader(co, maxErrorBytes))
	return &Failure{Cause: CauseRefused, Sent: true, Status: co.response.StatusCode, Body: body}
}
