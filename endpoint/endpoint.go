// Package endpoint sends requests to model engines and plain services and reads
// their answers. Each Failure reports whether the endpoint may have received the
// request.
//
// Engines implement the OpenAI chat completions API. They number the server-sent
// events of a stream. If a stream breaks, the client requests the rest of it with
// the header Last-Event-ID, which the HTML standard defines.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/quantity"
)

// AttemptID identifies one attempt: a request sent once to one endpoint.
type AttemptID string

// Cause is the reason why an attempt failed.
type Cause string

// The causes of failures.
const (
	// CauseUnreachable means that no connection was obtained, so that nothing was
	// sent.
	CauseUnreachable Cause = "unreachable"
	// CauseRefused means that the endpoint answered with an error status.
	CauseRefused Cause = "refused"
	// CauseBroken means that the connection failed before the answer was complete.
	CauseBroken Cause = "broken"
	// CauseSilent means that nothing was received within the timeout.
	CauseSilent Cause = "silent"
	// CauseMismatched means that the answer belongs to another request.
	CauseMismatched Cause = "mismatched"
	// CauseNotCarried means that no peer carried the attempt to the endpoint, so that nothing
	// was sent to it.
	CauseNotCarried Cause = "not_carried"
	// CauseTooLarge means that the answer exceeds the size limit of the call.
	CauseTooLarge Cause = "too_large"
)

const (
	// HeaderAttempt is the request header with the attempt's id. An endpoint may
	// return it in its answer.
	HeaderAttempt = "X-Request-Id"
	// HeaderLoad is the response header with the endpoint's load, in the format of
	// the Open Request Cost Aggregation (ORCA) standard.
	HeaderLoad = "Endpoint-Load-Metrics"
	// HeaderPriority is the request header with the priority of a call to a plain
	// service.
	HeaderPriority = "X-Priority"

	// maxErrorBytes is how much of the body of an error answer is read and kept.
	maxErrorBytes = 4096
)

// Failure is a failed attempt.
type Failure struct {
	Cause Cause
	// Sent is set if part of the request may have reached the endpoint, which may
	// then have run it.
	Sent bool
	// Hop is set if the failure is that of the peer that was to carry the attempt, or of the
	// way to it, and says nothing of the endpoint.
	Hop bool
	// Status is the HTTP status if the cause is CauseRefused, 0 otherwise.
	Status int
	// Body is the start of the body of an error answer.
	Body []byte
	// Err is the underlying error, nil if the cause is CauseRefused.
	Err error
}

// Error returns the status and body of an error answer, or else the cause and the
// underlying error.
func (fa *Failure) Error() string {
	if fa.Status != 0 {
		return fmt.Sprintf("endpoint answered %d: %s", fa.Status, fa.Body)
	}
	return fmt.Sprintf("endpoint %s: %v", fa.Cause, fa.Err)
}

// Unwrap returns the underlying error.
func (fa *Failure) Unwrap() error { return fa.Err }

// InvalidRequest reports whether the endpoint rejected the request as invalid (a 4xx
// status), so that another endpoint would reject it too. The statuses 408 and 429
// depend on the endpoint and do not count.
func (fa *Failure) InvalidRequest() bool {
	return fa.Status >= 400 && fa.Status < 500 && fa.Status != http.StatusTooManyRequests && fa.Status != http.StatusRequestTimeout
}

// Load is the load that an endpoint reports. Utilisation is the number of requests
// in service divided by the number of slots. Known is false if the endpoint reports
// none.
type Load struct {
	Utilisation float64
	Known       bool
}

// loadKey is the name of the utilisation in the ORCA standard.
const loadKey = "application_utilization" //nolint:misspell // as in the standard

// utilisationBounds are those of a utilisation: with many requests waiting it is above 1.
var utilisationBounds = quantity.Bounds[float64]{Min: 0, Max: 1000}

// parseLoad parses the value of HeaderLoad, in its text form "TEXT key=value,
// key=value" or its JSON form "JSON {...}".
func parseLoad(header string) Load {
	if text, ok := strings.CutPrefix(header, "JSON "); ok {
		va := gjson.Get(text, loadKey)
		return Load{Utilisation: utilisationBounds.Clamp(va.Float()), Known: va.Exists()}
	}
	for part := range strings.SplitSeq(strings.TrimPrefix(header, "TEXT "), ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if va, err := utilisationBounds.Parse(text); err == nil && key == loadKey {
			return Load{Utilisation: va, Known: true}
		}
	}
	return Load{}
}

// FormatLoad returns the value of HeaderLoad for a utilisation, in text form.
func FormatLoad(utilisation float64) string {
	return fmt.Sprintf("TEXT %s=%.3f", loadKey, utilisation)
}

// Client sends requests. Engine calls without NewConnection and repeatable calls use
// pooled connections; all other requests use a new connection each. It is safe for
// concurrent use.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
	// hop and hopUnpooled are for peers that carry attempts.
	hop         *http.Client
	hopUnpooled *http.Client
	idleTimeout time.Duration
	dropped     atomic.Int64
	resumed     atomic.Int64
}

// NewClient returns a client. idleTimeout is the longest time without data from an
// endpoint, for calls that give no other limit. The first event of a stream may take
// longer; see firstEventTimeoutFactor.
func NewClient(ne network.Network, idleTimeout time.Duration) *Client {
	toPeers := ne
	toPeers.Dial = limitDial(ne.Dial)
	return &Client{
		pooled: ne.Client(idleConnections), unpooled: ne.UnpooledClient(),
		hop: toPeers.Client(idleConnections), hopUnpooled: toPeers.UnpooledClient(), idleTimeout: idleTimeout,
	}
}

const (
	// idleConnections is the largest number of idle pooled connections to one address.
	idleConnections = 64
	// hopDialTimeout is how long a connection to a peer may take before another peer is asked.
	hopDialTimeout = 300 * time.Millisecond
)

// dialer opens connections, as network.Network.Dial does.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

func limitDial(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, hopDialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Close closes the idle pooled connections.
func (cl *Client) Close() {
	cl.pooled.CloseIdleConnections()
	cl.hop.CloseIdleConnections()
}

// Dropped returns the number of answers and chunks that were dropped because they
// belonged to another request.
func (cl *Client) Dropped() int64 { return cl.dropped.Load() }

// Resumed returns how often a stream was resumed on a new connection.
func (cl *Client) Resumed() int64 { return cl.resumed.Load() }

// connection is one request and its answer, from sending until the answer has been
// read. It is cancelled when nothing is received for too long. It may use a pooled
// network connection.
type connection struct {
	response *http.Response
	cancel   context.CancelFunc
	timer    *time.Timer
	// silent is set if timer has cancelled the request, closed by close.
	silent, closed atomic.Bool
	// idleTimeout is the longest time without a byte of the body, after the first.
	idleTimeout time.Duration
	// giveUp is as in ForwardCall.
	giveUp func() bool
	// written holds whether the whole request was written, once that is known.
	written chan bool
}

// writtenTimeout is how long the end of an answer waits for the result of writing the request. It is
// known, except if the answer came before the request had been read.
const writtenTimeout = 100 * time.Millisecond

// open sends a request and blocks until it has the answer's header. A timer cancels
// the request if the header and the first data of the body have not been received
// after wait; each Read that returns data then restarts the timer with the
// connection's idleTimeout. The connection must be closed.
func (cl *Client) open(ctx context.Context, hc *http.Client, rq *http.Request, wait time.Duration) (*connection, *Failure) {
	return cl.openConnection(ctx, &connection{idleTimeout: cl.idleTimeout}, hc, rq, wait)
}

// openConnection is open for a connection whose idleTimeout and giveUp are set.
func (cl *Client) openConnection(ctx context.Context, co *connection, hc *http.Client, rq *http.Request, wait time.Duration) (*connection, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	co.cancel = cancel
	co.startTimer(wait)
	var sent atomic.Bool
	co.written = make(chan bool, 1)
	tc := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { sent.Store(true) },
		WroteRequest: func(in httptrace.WroteRequestInfo) { co.noteWritten(in.Err == nil) },
	}
	//nolint:bodyclose // connection.close closes it
	rs, err := hc.Do(rq.WithContext(httptrace.WithClientTrace(ctx, tc)))
	if err != nil {
		co.close()
		fa := &Failure{Cause: CauseUnreachable, Sent: sent.Load(), Err: err}
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

// startTimer makes expired run after a time.
func (co *connection) startTimer(wait time.Duration) {
	// The timer is set only when the field is, as expired uses it.
	co.timer = time.AfterFunc(math.MaxInt64, co.expired)
	co.timer.Reset(wait)
}

// expired ends the request, as nothing was received for too long, unless giveUp objects.
// It is then asked again after idleTimeout.
func (co *connection) expired() {
	if co.closed.Load() {
		return
	}
	if co.giveUp != nil && !co.giveUp() {
		co.timer.Reset(co.idleTimeout)
		return
	}
	co.silent.Store(true)
	co.cancel()
}

// noteWritten records whether the whole request was written. net/http may write it several times,
// each time on another network connection.
func (co *connection) noteWritten(whole bool) {
	select {
	case <-co.written:
	default:
	}
	select {
	case co.written <- whole:
	default:
	}
}

// Read reads from the answer's body. Each read that returns data restarts the timer
// with idleTimeout.
func (co *connection) Read(buf []byte) (int, error) {
	n, err := co.response.Body.Read(buf)
	if n > 0 {
		co.timer.Reset(co.idleTimeout)
	}
	if errors.Is(err, io.EOF) && endsWithConnection(co.response) && !co.isWritten() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// endsWithConnection reports whether an answer has neither a length nor chunks, so that only the
// end of the network connection ends its body.
func endsWithConnection(rs *http.Response) bool {
	return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0
}

// isWritten reports whether the whole request was written. If the endpoint resets the connection
// before that, the write may take the error, and the read sees an ordinary end.
func (co *connection) isWritten() bool {
	select {
	case whole := <-co.written:
		co.noteWritten(whole)
		return whole
	case <-time.After(writtenTimeout):
		return false
	}
}

// close cancels the request, if it is still in progress, and closes the body.
func (co *connection) close() {
	co.closed.Store(true)
	co.timer.Stop()
	co.cancel()
	if co.response != nil {
		_ = co.response.Body.Close()
	}
}

// readFailure returns the failure for an error of Read: CauseSilent if the timer
// cancelled the request, CauseBroken otherwise.
func (co *connection) readFailure(err error) *Failure {
	cause := CauseBroken
	if co.silent.Load() {
		cause = CauseSilent
	}
	return &Failure{Cause: cause, Sent: true, Err: err}
}

// readRefusal reads an error answer, closes the connection and returns the failure.
func (co *connection) readRefusal() *Failure {
	defer co.close()
	body, _ := io.ReadAll(io.LimitReader(co, maxErrorBytes))
	return &Failure{Cause: CauseRefused, Sent: true, Status: co.response.StatusCode, Body: body}
}
