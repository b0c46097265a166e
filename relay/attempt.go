package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
)

const (
	// maxBufferedBody is the maximum size in bytes of an answer that is buffered
	// until it is complete.
	maxBufferedBody = 8 << 20
	// eventStreamType is the media type of an answer that is a stream of events.
	eventStreamType = "text/event-stream"
	// streamWaitFactor is the multiple of the route's latency target that the first
	// event of a stream may take before another endpoint is tried;
	// bufferedWaitFactor is the same for the head of a buffered answer.
	streamWaitFactor   = 0.75
	bufferedWaitFactor = 2.0
	// minWaitFactor is the multiple of the estimated wait that an endpoint is
	// given in any case before another one is tried.
	minWaitFactor = 4
	// eventGapFactor is the multiple of the route's target for the gap between
	// events that a stream may be silent; after that it counts as broken.
	eventGapFactor = 1.25
	// defaultEventGap is how long the stream of a route without such a target may
	// be silent.
	defaultEventGap = 2 * time.Second
)

var (
	errWrongRequest    = eris.New("answer belongs to another request")
	errUnsigned        = eris.New("answer is not signed by the service")
	errContentEncoding = eris.New("answer has a content encoding that was not requested")
	errNotRun          = eris.New("endpoint did not run the request")
	errFailureStatus   = eris.New("endpoint answered with an error status")
)

// attempt is one send of a request to one endpoint.
type attempt struct {
	router    *Router
	call      *call
	placement placement.Assignment
	endpoint  policy.Endpoint
	selected  selectionReason
	sentAt    time.Time
	// finished reports whether the result has been recorded.
	finished bool
}

// answer is an answer that has begun to arrive.
type answer struct {
	*attempt
	// beganAt is when the head arrived.
	beganAt time.Time
	head    AnswerHead
	status  int
	header  http.Header
	body    []byte
	// stream is nil for buffered answers. firstEvent has already been read from
	// it, and is empty if the stream has no events.
	stream     *eventReader
	firstEvent streamEvent
	// provedPrompt reports whether the answer has shown that its prompt does not crash
	// endpoints.
	provedPrompt bool
	source       *endpoint.ForwardAnswer
}

// attempt sends a request to one endpoint. It blocks until the answer is complete
// or, for a stream, its first event has arrived. after is the last event that the
// caller has received.
func (ro *Router) attempt(ctx context.Context, ca *call, after EventID) (*answer, *failure) {
	if fa := ro.quarantined(ca); fa != nil {
		return nil, fa
	}
	at, fa := ro.chooseEndpoint(ctx, ca)
	if fa != nil {
		return nil, fa
	}
	an, fa := at.send(ctx, after)
	if fa == nil {
		return an, nil
	}
	ca.failedEndpoints = append(ca.failedEndpoints, at.endpoint.ID)
	ca.mayHaveRun = ca.mayHaveRun || !fa.notRun
	at.fail(ctx, fa)
	return nil, fa
}

// chooseEndpoint chooses an endpoint for a call and counts the request there. It
// returns a failure if none may get the request.
func (ro *Router) chooseEndpoint(ctx context.Context, ca *call) (*attempt, *failure) {
	se := ro.releases.selectRelease(ctx, ca)
	rq, now := ca.request, time.Now()
	key := latencyKey{ca.service.ID, ca.modelID()}
	work, cached := ro.latencies.estimate(key, rq.promptTokens(), rq.prefixTokens())
	jo := placement.Job{Prefix: rq.prefix(ca.modelID()), Work: work, CacheSaving: cached}
	ca.meanBacklog = ro.meanBacklog(now, ca.service.ID, se.endpoints)
	routers := int(ro.routers.Load())
	usable := func(en policy.Endpoint, ru placement.Running) bool {
		return ro.fleet.hasCapacity(ca, en, ru, routers) && ro.limits.Allows(now, en.ID)
	}
	pl, ok := ro.place(now, ca, jo, se.endpoints, usable)
	if !ok {
		se.reason = reasonNoCapacity
		pl, ok = ro.place(now, ca, jo, se.fallback, usable)
	}
	if !ok {
		return nil, &failure{err: eris.New("no endpoint is available"), notRun: true, noEndpoint: true}
	}
	ro.releases.recordSend(now, ca, pl.Endpoint, se.reason)
	return &attempt{router: ro, call: ca, placement: pl, endpoint: pl.Endpoint, selected: se.reason, sentAt: now}, nil
}

// place chooses one of the endpoints for a call's job, and counts the request against the
// endpoint's limit. Requests that are placed at the same time may have used up the limit.
func (ro *Router) place(now time.Time, ca *call, jo placement.Job, ens []policy.Endpoint, usable func(policy.Endpoint, placement.Running) bool) (placement.Assignment, bool) {
	for {
		pl, ok := ro.balancer.Choose(now, ens, jo, ca.failedEndpoints, usable)
		if !ok || ro.limits.Take(now, pl.Endpoint.ID) {
			return pl, ok
		}
		ro.balancer.Done(now, pl, placement.Neutral)
	}
}

// meanBacklog returns the mean work queued at an endpoint by all routers. In a
// group too large for routers to exchange their loads, every other router is
// assumed to have queued as much as this router does on average over time.
func (ro *Router) meanBacklog(now time.Time, id policy.ServiceID, ens []policy.Endpoint) placement.Work {
	mean := ro.balancer.MeanBacklog(now, ens)
	if !ro.peers.Large() {
		return mean
	}
	return ro.backlogs.add(now, id, mean*placement.Work(ro.routers.Load()))
}

// send sends the request and receives the answer, or a stream's first event.
func (at *attempt) send(ctx context.Context, after EventID) (*answer, *failure) {
	ro, ca, rq := at.router, at.call, at.call.request
	if time.Until(ca.deadline) < minRemaining {
		return nil, &failure{err: context.DeadlineExceeded, notRun: true}
	}
	he := ro.options().Dialect.Header(SendParams{
		Request: rq, Endpoint: at.endpoint, Organisation: ca.organisation, Model: ca.modelID(),
		Deadline: ca.deadline, LastEventID: after, Urgency: ca.urgency,
	}, time.Now())
	ca.sends++
	rate, _ := ro.limits.Rate(at.endpoint.ID)
	ro.log.InfoLimited(event.RequestSent, event.Fields{
		"limit_per_second": rate,
		"request":          rq.ID, "session": rq.Session, "route": ca.route.ID, "endpoint": at.endpoint.ID, "release": at.endpoint.Release,
		"selected": at.selected, "model": ca.modelID(),
		"send": ca.sends, "estimate_ms": at.estimatedWait().Milliseconds(), "pressure_ms": int64(float64(ca.meanBacklog) * 1000),
		"policy": ro.holder.Set().Revision,
	})
	source, err := ro.client.Forward(ctx, endpoint.ForwardCall{
		URL: at.endpoint.Url, Method: rq.Method, Target: rq.Target, Host: rq.Host, Header: he, Body: rq.Body,
		Repeatable: ca.route.Repeatable(), HeaderDeadline: at.headDeadline(), IdleTimeout: at.idleTimeout(),
	})
	if err != nil {
		fa := failureOf(err)
		if fa.notRun {
			// Nothing was sent, so this does not count towards the route's maximum.
			ca.sends--
		}
		return nil, fa
	}
	an := &answer{attempt: at, beganAt: time.Now(), status: source.Status, header: source.Header, source: source}
	an.head = ro.options().Dialect.Head(source.Status, source.Header)
	an.noteLimit()
	if an.head.HasLoad {
		ro.balancer.RecordLoad(time.Now(), at.endpoint.ID, an.head.Running+an.head.Waiting)
	}
	return an.receive()
}

// headDeadline returns the time by which the head of the answer must arrive. That
// is the request's deadline, or earlier if a retry on another endpoint is allowed
// and could still be in time.
func (at *attempt) headDeadline() time.Time {
	ca := at.call
	if !ca.route.Repeatable() || ca.sends >= ca.route.MaxAttempts {
		return ca.deadline
	}
	factor := bufferedWaitFactor
	if ca.wantsStream() {
		factor = streamWaitFactor
	}
	deadline := at.sentAt.Add(max(time.Duration(factor*float64(ca.route.LatencyTarget())), minWaitFactor*at.estimatedWait()))
	if deadline.After(ca.deadline) {
		return ca.deadline
	}
	return deadline
}

// estimatedWait returns the estimated time until the endpoint's answer begins.
func (at *attempt) estimatedWait() time.Duration {
	return time.Duration(float64(at.placement.Estimate) * float64(time.Second))
}

// idleTimeout returns how long an answer that has begun may be silent.
func (at *attempt) idleTimeout() time.Duration {
	ca := at.call
	if !ca.wantsStream() {
		return max(time.Until(ca.deadline), minRemaining)
	}
	if gap := ca.route.GapTarget(); gap > 0 {
		return time.Duration(eventGapFactor * float64(gap))
	}
	return defaultEventGap
}

// receive checks the head of the answer, then reads a stream's first event or a
// buffered answer's body.
func (an *answer) receive() (*answer, *failure) {
	ca := an.call
	switch {
	case an.head.Request != "" && an.head.Request != ca.request.ID:
		an.source.Close()
		return nil, &failure{err: errWrongRequest}
	case an.head.NotRun:
		an.source.Close()
		return nil, &failure{err: errNotRun, notRun: true}
	case !an.head.Signed && an.status < http.StatusMultipleChoices:
		an.source.Close()
		return nil, &failure{err: errUnsigned}
	case an.header.Get("Content-Encoding") != "":
		an.source.Close()
		return nil, &failure{err: errContentEncoding}
	}
	if ca.wantsStream() && an.status == http.StatusOK && isStream(an.header) {
		return an.readFirstEvent()
	}
	return an.readBody()
}

func isStream(he http.Header) bool {
	mt, _, err := mime.ParseMediaType(he.Get("Content-Type"))
	return err == nil && mt == eventStreamType
}

func (an *answer) readFirstEvent() (*answer, *failure) {
	an.stream = newEventReader(an.source)
	ev, err := an.stream.next()
	if errors.Is(err, io.EOF) && an.source.EndsWithConnection {
		// The end of the connection does not tell a stream without events from one that
		// broke off.
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, io.EOF) {
		an.source.Close()
		return nil, an.brokenOff(err)
	}
	an.firstEvent = ev
	an.recordStart()
	return an, nil
}

func (an *answer) readBody() (*answer, *failure) {
	defer an.source.Close()
	body, err := io.ReadAll(io.LimitReader(an.source, maxBufferedBody+1))
	if err != nil {
		return nil, an.brokenOff(err)
	}
	if len(body) > maxBufferedBody {
		return nil, &failure{err: eris.Errorf("answer is larger than %d bytes", maxBufferedBody)}
	}
	an.body = body
	if an.status >= http.StatusBadRequest {
		callerError := an.status < http.StatusInternalServerError && an.status != http.StatusTooManyRequests && an.status != http.StatusRequestTimeout
		return nil, &failure{err: errFailureStatus, answer: an, callerError: callerError}
	}
	an.recordStart()
	an.provePrompt()
	an.finish(placement.Succeeded)
	return an, nil
}

// brokenOff returns the failure for an error of reading the answer.
func (an *answer) brokenOff(err error) *failure {
	fa := failureOf(an.source.ReadFailure(err))
	fa.begun = true
	if causeLabel(fa.err) == string(endpoint.CauseBroken) {
		an.brokeOff()
	}
	return fa
}

// recordStart records that the answer has begun, and how long that took.
func (at *attempt) recordStart() {
	ro, ca, took := at.router, at.call, time.Since(at.sentAt)
	ro.balancer.AnswerStarted(at.placement, took)
	ro.latencies.observe(latencyKey{ca.service.ID, ca.modelID()}, ca.request.promptTokens(), took)
	ro.releases.observe(ca.service.ID, at.endpoint, rollout.Outcome{FirstToken: took.Seconds() / max(float64(at.placement.Estimate), 0.001)})
	ro.metrics.Attempts.Add(context.Background(), 1, metric.With(metric.KeyOutcome, "answered", metric.KeyCause, ""))
}

// finish records the attempt's result. Only the first call has an effect.
func (at *attempt) finish(re placement.Result) {
	if at.finished {
		return
	}
	at.finished = true
	ro := at.router
	suspended, resumed := ro.balancer.Done(time.Now(), at.placement, re)
	if suspended {
		ro.log.Warn(event.EndpointSuspended, nil, event.Fields{"endpoint": at.endpoint.ID, "service": at.endpoint.Service})
	}
	if resumed {
		ro.log.Info(event.EndpointResumed, event.Fields{"endpoint": at.endpoint.ID, "service": at.endpoint.Service})
	}
}

// fail records a failed attempt. If the caller cancelled or caused the failure, or
// if there was no time left to send, the attempt is neutral: it counts neither
// against the endpoint nor against its release, and is not logged.
func (at *attempt) fail(ctx context.Context, fa *failure) {
	ro, result := at.router, placement.Failed
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || fa.callerError || fa.notRun && errors.Is(fa.err, context.DeadlineExceeded):
		result = placement.Neutral
	case errors.Is(fa.err, errFailureStatus) || errors.Is(fa.err, errNotRun):
		result = placement.AnsweredWithError
	}
	at.finish(result)
	if result == placement.Neutral {
		return
	}
	if !fa.notRun {
		// If the wait for a silent endpoint ended before the call's deadline, the
		// endpoint may only be slow under load. Silence until the deadline is a
		// failure.
		timedOut := causeLabel(fa.err) == string(endpoint.CauseSilent) && time.Now().Before(at.call.deadline)
		ro.releases.observe(at.call.service.ID, at.endpoint, rollout.Outcome{Failed: !timedOut, TimedOut: timedOut})
	}
	ro.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "failed", metric.KeyCause, causeLabel(fa.err)))
	ro.log.WarnLimited(event.AttemptFailed, fa.err, event.Fields{
		"request": at.call.request.ID, "endpoint": at.endpoint.ID, "release": at.endpoint.Release, "not_run": fa.notRun,
		"begun": fa.begun, "prompt": at.call.request.sharedParts(),
		"after_ms": time.Since(at.sentAt).Milliseconds(), "policy": ro.holder.Set().Revision,
	})
}

func causeLabel(err error) string {
	var fa *endpoint.Failure
	switch {
	case errors.As(err, &fa):
		return string(fa.Cause)
	case errors.Is(err, errNotRun):
		return "not_run"
	case errors.Is(err, errFailureStatus):
		return "status"
	default:
		return "other"
	}
}

// discard closes an answer of which the caller has received nothing. For the
// endpoint the attempt counts as a success.
func (an *answer) discard() {
	an.source.Close()
	an.finish(placement.Succeeded)
}

// writeBuffered writes a buffered answer to the caller.
func (an *answer) writeBuffered(wr http.ResponseWriter, status int) {
	copyHeader(wr.Header(), an.header)
	wr.Header().Set("Content-Length", strconv.Itoa(len(an.body)))
	wr.WriteHeader(status)
	_, _ = io.Copy(wr, bytes.NewReader(an.body))
}

// connectionHeaders are headers that apply to one connection only, or that are set
// anew for the caller.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// copyHeader copies an endpoint's headers, except those of the connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // stops net/http from detecting one
	}
}
