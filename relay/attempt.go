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
	// maxWhole bounds an answer that is held until it is complete.
	maxWhole = 8 << 20
	// streamType is the media type of an answer in events.
	streamType = "text/event-stream"
	// patienceFactor times the target is how long a first event may take before
	// another endpoint is tried, and plainPatience the same for whole answers.
	patienceFactor = 0.75
	plainPatience  = 2.0
	// slowFactor times the expected time is never too long.
	slowFactor = 4
	// gapFactor times the longest pause in time is a silence that ends a run.
	gapFactor = 1.25
	// defaultGap stands for routes that set no pause.
	defaultGap = 2 * time.Second
)

var (
	errOther    = eris.New("answer belongs to another request")
	errUnsigned = eris.New("answer does not come from the service")
	errEncoded  = eris.New("answer is encoded, which nobody asked for")
	errNotRun   = eris.New("endpoint did not run the request")
	errStatus   = eris.New("endpoint answered with a failure")
)

// attempt is one sending of a request to one endpoint.
type attempt struct {
	router   *Router
	call     *call
	placed   placement.Placed
	endpoint policy.Endpoint
	sentAt   time.Time
	// ended tells that the attempt is counted.
	ended bool
}

// answer is an answer that has begun.
type answer struct {
	*attempt
	head   Head
	status int
	header http.Header
	body   []byte
	// stream is set for answers in events, with the first read already.
	stream *eventReader
	first  streamEvent
	source *endpoint.ForwardAnswer
}

// attempt sends a request to one endpoint, and waits until the answer is whole
// or its first event has come. after is the last event that the caller has.
func (ro *Router) attempt(ctx context.Context, ca *call, after EventID) (*answer, *failure) {
	at, fa := ro.choose(ca)
	if fa != nil {
		return nil, fa
	}
	an, fa := at.send(ctx, after)
	if fa == nil {
		return an, nil
	}
	ca.tried = append(ca.tried, at.endpoint.ID)
	ca.mayHaveRun = ca.mayHaveRun || !fa.notRun
	at.fail(ctx, fa)
	return nil, fa
}

func (ro *Router) choose(ca *call) (*attempt, *failure) {
	rq, now := ca.request, time.Now()
	key := paceKey{ca.service.ID, ca.modelID()}
	whole, cached := ro.paces.expect(key, rq.promptTokens(), rq.sharedTokens())
	jo := placement.Job{Start: rq.start(ca.modelID()), Work: whole, Cached: cached}
	ens, instead := ro.releases.endpoints(now, ca)
	ca.pressure = ro.pressure(now, ca.service.ID, ens)
	routers := int(ro.routers.Load())
	usable := func(en policy.Endpoint, ru placement.Running) bool { return ro.fleet.hasRoom(ca, en, ru, routers) }
	pl, ok := ro.balancer.Choose(now, ens, jo, ca.tried, usable)
	if !ok {
		pl, ok = ro.balancer.Choose(now, instead, jo, ca.tried, usable)
	}
	if !ok {
		return nil, &failure{err: eris.New("no endpoint may be used"), notRun: true, nowhere: true}
	}
	ro.releases.sent(now, ca, pl.Endpoint)
	return &attempt{router: ro, call: ca, placed: pl, endpoint: pl.Endpoint, sentAt: now}, nil
}

// pressure is the work that waits at the mean endpoint. Where the routers are
// too many to tell each other, the others are taken to have as much as this one
// has on average.
func (ro *Router) pressure(now time.Time, id policy.ServiceID, ens []policy.Endpoint) placement.Work {
	pr := ro.balancer.Pressure(now, ens)
	if !ro.peers.Large() {
		return pr
	}
	return ro.pressures.add(now, id, pr*placement.Work(ro.routers.Load()))
}

// send makes the attempt.
func (at *attempt) send(ctx context.Context, after EventID) (*answer, *failure) {
	ro, ca, rq := at.router, at.call, at.call.request
	if time.Until(ca.deadline) < leastRemaining {
		return nil, &failure{err: context.DeadlineExceeded, notRun: true}
	}
	he := ro.options().Dialect.Header(Send{
		Request: rq, Endpoint: at.endpoint, Organisation: ca.organisation, Model: ca.modelID(),
		Deadline: ca.deadline, After: after, Urgency: ca.urgency,
	}, time.Now())
	ca.sends++
	ro.log.Request(event.RequestSent, event.Fields{
		"request": rq.ID, "route": ca.route.ID, "endpoint": at.endpoint.ID, "release": at.endpoint.Release, "model": ca.modelID(),
		"send": ca.sends, "estimate_ms": at.expected().Milliseconds(), "pressure_ms": int64(float64(ca.pressure) * 1000),
		"policy": ro.holder.Set().Revision,
	})
	source, err := ro.client.Forward(ctx, endpoint.ForwardCall{
		URL: at.endpoint.Url, Method: rq.Method, Target: rq.Target, Host: rq.Host, Header: he, Body: rq.Body,
		Repeatable: ca.route.Repeatable(), HeaderDeadline: at.answerBy(), Progress: at.progress(),
	})
	if err != nil {
		fa := failureOf(err)
		if fa.notRun {
			ca.sends--
		}
		return nil, fa
	}
	an := &answer{attempt: at, status: source.Status, header: source.Header, source: source}
	an.head = ro.options().Dialect.Head(source.Status, source.Header)
	if an.head.Loaded {
		ro.balancer.Report(time.Now(), at.endpoint.ID, an.head.Running+an.head.Waiting)
	}
	return an.read()
}

// answerBy is when the answer's head must have come: the deadline, or earlier
// when another endpoint could still be in time.
func (at *attempt) answerBy() time.Time {
	ca := at.call
	if !ca.route.Repeatable() || ca.sends >= ca.route.MaxAttempts {
		return ca.deadline
	}
	factor := plainPatience
	if ca.streams() {
		factor = patienceFactor
	}
	by := at.sentAt.Add(max(time.Duration(factor*float64(ca.route.LatencyTarget())), slowFactor*at.expected()))
	if by.After(ca.deadline) {
		return ca.deadline
	}
	return by
}

// expected is how long the endpoint should take until it answers.
func (at *attempt) expected() time.Duration {
	return time.Duration(float64(at.placed.Estimate) * float64(time.Second))
}

// progress is the longest silence of an answer that has begun.
func (at *attempt) progress() time.Duration {
	ca := at.call
	if !ca.streams() {
		return max(time.Until(ca.deadline), leastRemaining)
	}
	if gap := ca.route.GapTarget(); gap > 0 {
		return time.Duration(gapFactor * float64(gap))
	}
	return defaultGap
}

// read takes in what decides about an answer: all of it, or its first event.
func (an *answer) read() (*answer, *failure) {
	ca := an.call
	switch {
	case an.head.Request != "" && an.head.Request != ca.request.ID:
		an.source.Close()
		return nil, &failure{err: errOther}
	case an.head.NotRun:
		an.source.Close()
		return nil, &failure{err: errNotRun, notRun: true}
	case !an.head.Signed && an.status < http.StatusMultipleChoices:
		an.source.Close()
		return nil, &failure{err: errUnsigned}
	case an.header.Get("Content-Encoding") != "":
		an.source.Close()
		return nil, &failure{err: errEncoded}
	}
	if ca.streams() && an.status == http.StatusOK && isStream(an.header) {
		return an.readFirst()
	}
	return an.readWhole()
}

func isStream(he http.Header) bool {
	mt, _, err := mime.ParseMediaType(he.Get("Content-Type"))
	return err == nil && mt == streamType
}

func (an *answer) readFirst() (*answer, *failure) {
	an.stream = newEventReader(an.source)
	ev, err := an.stream.next()
	if err != nil && !errors.Is(err, io.EOF) {
		an.source.Close()
		return nil, failureOf(an.source.ReadFailure(err))
	}
	an.first = ev
	an.begin()
	return an, nil
}

func (an *answer) readWhole() (*answer, *failure) {
	defer an.source.Close()
	body, err := io.ReadAll(io.LimitReader(an.source, maxWhole+1))
	if err != nil {
		return nil, failureOf(an.source.ReadFailure(err))
	}
	if len(body) > maxWhole {
		return nil, &failure{err: eris.Errorf("answer is larger than %d bytes", maxWhole)}
	}
	an.body = body
	if an.status >= http.StatusBadRequest {
		mistake := an.status < http.StatusInternalServerError && an.status != http.StatusTooManyRequests && an.status != http.StatusRequestTimeout
		return nil, &failure{err: errStatus, answer: an, callerMistake: mistake}
	}
	an.begin()
	an.finish(placement.Succeeded)
	return an, nil
}

// begin notes that the answer has begun.
func (at *attempt) begin() {
	ro, ca, took := at.router, at.call, time.Since(at.sentAt)
	ro.balancer.Answered(at.placed, took)
	ro.paces.observe(paceKey{ca.service.ID, ca.modelID()}, ca.request.promptTokens(), took)
	ro.releases.observe(ca.service.ID, at.endpoint, rollout.Outcome{FirstToken: took.Seconds() / max(float64(at.placed.Estimate), 0.001)})
	ro.metrics.Attempts.Add(context.Background(), 1, metric.With(metric.KeyOutcome, "answered", metric.KeyCause, ""))
}

// finish counts the attempt's end.
func (at *attempt) finish(re placement.Result) {
	if at.ended {
		return
	}
	at.ended = true
	ro := at.router
	suspended, resumed := ro.balancer.Done(time.Now(), at.placed, re)
	if suspended {
		ro.log.Warn(event.EndpointOpened, nil, event.Fields{"endpoint": at.endpoint.ID, "service": at.endpoint.Service})
	}
	if resumed {
		ro.log.Info(event.EndpointClosed, event.Fields{"endpoint": at.endpoint.ID, "service": at.endpoint.Service})
	}
}

// fail counts an attempt that failed.
func (at *attempt) fail(ctx context.Context, fa *failure) {
	ro, result := at.router, placement.Failed
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || fa.callerMistake || fa.notRun && errors.Is(fa.err, context.DeadlineExceeded):
		result = placement.Neutral
	case errors.Is(fa.err, errStatus) || errors.Is(fa.err, errNotRun):
		result = placement.Erred
	}
	at.finish(result)
	if result == placement.Neutral {
		return
	}
	if !fa.notRun {
		overdue := causeOf(fa.err) == string(endpoint.CauseSilent) && time.Now().Before(at.call.deadline)
		ro.releases.observe(at.call.service.ID, at.endpoint, rollout.Outcome{Failed: !overdue, Overdue: overdue})
	}
	ro.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "failed", metric.KeyCause, causeOf(fa.err)))
	ro.log.Trouble(event.AttemptFailed, fa.err, event.Fields{
		"request": at.call.request.ID, "endpoint": at.endpoint.ID, "release": at.endpoint.Release, "not_run": fa.notRun,
		"after_ms": time.Since(at.sentAt).Milliseconds(), "policy": ro.holder.Set().Revision,
	})
}

func causeOf(err error) string {
	var fa *endpoint.Failure
	switch {
	case errors.As(err, &fa):
		return string(fa.Cause)
	case errors.Is(err, errNotRun):
		return "not_run"
	case errors.Is(err, errStatus):
		return "status"
	default:
		return "other"
	}
}

// drop ends an answer of which the caller has received nothing.
func (an *answer) drop() {
	an.source.Close()
	an.finish(placement.Succeeded)
}

// writeWhole sends a complete answer.
func (an *answer) writeWhole(wr http.ResponseWriter, status int) {
	copyHeader(wr.Header(), an.header)
	wr.Header().Set("Content-Length", strconv.Itoa(len(an.body)))
	wr.WriteHeader(status)
	_, _ = io.Copy(wr, bytes.NewReader(an.body))
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// copyHeader gives the caller an endpoint's headers.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}
