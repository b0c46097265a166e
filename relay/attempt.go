package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rollout"
)

const (
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
	// longestPause is for how long, beyond the time between two events, a stream may be silent
	// in any case: sound endpoints fall silent for a second or so.
	longestPause = 1500 * time.Millisecond
	// defaultEventGap is how long the stream of a route without such a target may
	// be silent.
	defaultEventGap = 2 * time.Second
)

var (
	errWrongRequest    = eris.New("answer belongs to another request")
	errNoRequestID     = eris.New("refusal without the request's id, so that it may be another request's")
	errUnsigned        = eris.New("answer is not signed by the service")
	errContentEncoding = eris.New("answer has a content encoding that was not requested")
	errNotRun          = eris.New("endpoint did not run the request")
	errInvalidStatus   = eris.New("answer's status is not one of a final answer")
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
	// model is the index of the model in the call's models.
	model int
	// mayMove reports whether the request may be sent once more, so that the attempt may
	// be given up when its endpoint is silent.
	mayMove bool
	// chosenFor is the call as it was when the endpoint was chosen; see forPlacement.
	chosenFor *call
	// retryTaken reports whether the retry after this attempt has its place in the
	// budget already.
	retryTaken atomic.Bool
	// carried reports whether a peer carries the attempt, pathFault whether it failed because
	// of the path to the endpoint.
	carried, pathFault bool
	// mu guards the fields below it. The locks of the placement are taken after it.
	mu sync.Mutex
	// finished reports whether the result has been recorded.
	finished bool
	// replacement is the attempt for which this one was given up. It has its place at its
	// endpoint already.
	replacement *attempt
}

// attempt sends a request to one endpoint. It blocks until the answer is complete
// or, for a stream, its first event has arrived. after is the last event that the
// caller has received.
func (ro *Router) attempt(ctx context.Context, ca *call, after EventID) (*answer, *failure) {
	if fa := ro.quarantined(ca); fa != nil && !ro.probe(ctx, ca) {
		return nil, fa
	}
	at, fa := ca.takeReplacement(), (*failure)(nil)
	if at == nil {
		at, fa = ro.choosePlace(ctx, ca)
	}
	if fa != nil {
		return nil, fa
	}
	an, fa := at.send(ctx, after)
	if fa == nil {
		ro.queue.noteReport(an.beganAt, ca, at.endpoint, an.head)
		return an, nil
	}
	if fa.refused() {
		ro.queue.refused(time.Now(), ca.service.ID)
	}
	fa.retryTaken, ca.replacement = at.retryTaken.Load(), at.takeReplacement()
	if at.triesElsewhere() {
		ca.failedEndpoints = append(ca.failedEndpoints, at.endpoint.ID)
	}
	if ca.replacement != nil {
		ca.givenUp = append(ca.givenUp, at.endpoint.ID)
	}
	ca.mayHaveRun = ca.mayHaveRun || !fa.notRun
	at.fail(ctx, fa)
	return nil, fa
}

// chooseEndpoint chooses an endpoint for a call and counts the request there. It
// returns a failure if none may get the request.
func (ro *Router) chooseEndpoint(ctx context.Context, ca *call) (*attempt, *failure) {
	se := ro.releases.selectRelease(ctx, ca)
	now := time.Now()
	jo := ro.job(ca)
	ca.meanBacklog = ro.meanBacklog(now, ca.service.ID, se.endpoints)
	usable := func(en policy.Endpoint, cn placement.Condition) bool { return ro.availableTo(now, ca, en, cn).ok() }
	pl, ok := ro.place(now, ca, jo, se.endpoints, usable)
	if !ok {
		se.reason = reasonNoCapacity
		pl, ok = ro.place(now, ca, jo, se.fallback, usable)
	}
	if !ok {
		return nil, noEndpointFailure()
	}
	ro.releases.recordSend(now, ca, pl.Endpoint, se.reason)
	ro.queue.took(now, ca, jo.Work)
	return &attempt{
		router: ro, call: ca, placement: pl, endpoint: pl.Endpoint, selected: se.reason, model: ca.model,
		chosenFor: ca.forPlacement(ca.model, slices.Clone(ca.failedEndpoints)),
	}, nil
}

// place chooses one of the endpoints for a call's job, and counts the request against the
// endpoint's limit. Requests that are placed at the same time may have used up the limit.
func (ro *Router) place(now time.Time, ca *call, jo placement.Job, ens []policy.Endpoint, usable func(policy.Endpoint, placement.Condition) bool) (placement.Assignment, bool) {
	for {
		pl, ok := ro.balancer.Choose(now, ens, jo, ca.failedEndpoints, usable)
		if !ok || ro.limits.Take(now, pl.Endpoint.ID) {
			return pl, ok
		}
		ro.balancer.Done(now, pl, placement.Neutral)
	}
}

// meanBacklog returns the mean work queued at an endpoint by all routers. While
// the loads of the others are not known, each of them is assumed to have queued as
// much as this router does on average over time.
func (ro *Router) meanBacklog(now time.Time, id policy.ServiceID, ens []policy.Endpoint) placement.Work {
	mean := ro.balancer.MeanBacklog(now, ens)
	if !ro.peers.Large() || ro.balancer.KnowsPeers(now) {
		return mean
	}
	return ro.backlogs.add(now, id, mean*placement.Work(ro.routers.Load()))
}

// send sends the request and receives the answer, or a stream's first event.
func (at *attempt) send(ctx context.Context, after EventID) (*answer, *failure) {
	ro, ca, rq := at.router, at.call, at.call.request
	if time.Until(ca.deadline) < minRemaining {
		return nil, &failure{err: context.DeadlineExceeded, notRun: true, unsent: true}
	}
	at.sentAt = time.Now()
	he := ro.options().Dialect.Header(SendParams{
		Request: rq, Endpoint: at.endpoint, Organisation: ca.organisation, Model: ca.modelID(),
		Deadline: ca.deadline, LastEventID: after, Urgency: ca.urgency,
	}, at.sentAt)
	ca.sends++
	at.mayMove = ca.route.Repeatable() && !ca.probing && ca.sends < ca.route.MaxAttempts
	rate, _ := ro.limits.Rate(at.endpoint.ID)
	ro.log.InfoLimited(event.RequestSent, event.Fields{
		"limit_per_second": rate,
		"request":          rq.ID, "session": rq.Session, "route": ca.route.ID, "endpoint": at.endpoint.ID, "release": at.endpoint.Release,
		"selected": at.selected, "model": ca.modelID(),
		"send": ca.sends, "estimate_ms": at.estimatedWait().Milliseconds(), "pressure_ms": int64(float64(ca.meanBacklog) * 1000),
		"policy": ro.holder.Set().Revision,
	})
	source, err := at.forward(ctx, endpoint.ForwardCall{
		URL: at.endpoint.Url, Method: rq.Method, Target: rq.Target, Host: rq.Host, Header: he, Body: rq.Body,
		Repeatable: ca.route.Repeatable(), HeaderDeadline: at.headDeadline(), IdleTimeout: at.idleTimeout(), GiveUp: at.giveUp,
	})
	if err != nil {
		if failedAt := time.Now(); !at.excused(err) {
			at.failedBeforeHead(failedAt, err)
		}
		fa := failureOf(err)
		if fa.notRun {
			// Nothing was sent, so this does not count towards the route's maximum.
			ca.sends--
		}
		return nil, fa
	}
	an := &answer{attempt: at, beganAt: time.Now(), resumed: after > 0, status: source.Status, header: source.Header, source: source}
	an.hold = ro.memory.Open(at.endpoint.ID, source.Abort)
	an.head = ro.options().Dialect.Head(source.Status, source.Header, an.beganAt)
	an.noteHead()
	ro.barred.Alive(an.beganAt, at.endpoint.Run(), at.sentAt)
	return an.receive()
}

// headDeadline returns the time by which the head of the answer must arrive. That
// is the request's deadline, or earlier if a retry on another endpoint is allowed
// and could still be in time.
func (at *attempt) headDeadline() time.Time {
	ca := at.call
	if !at.mayMove {
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
	return quantity.Seconds(float64(at.placement.Estimate))
}

// idleTimeout returns how long an answer that has begun may be silent.
func (at *attempt) idleTimeout() time.Duration {
	ca := at.call
	if !ca.wantsStream() {
		return max(time.Until(ca.deadline), minRemaining)
	}
	if gap := ca.route.GapTarget(); gap > 0 {
		return max(gap+longestPause, time.Duration(eventGapFactor*float64(gap)))
	}
	return defaultEventGap
}

// recordStart records that the answer has begun, and how long that took.
func (at *attempt) recordStart() {
	ro, ca, took := at.router, at.call, time.Since(at.sentAt)
	if ro.balancer.AnswerStarted(at.placement, took) {
		at.logResumed()
	}
	ro.observeLatency(ca, took)
	ro.releases.observe(ca, at.endpoint, at.outcomeOf(took))
	ro.metrics.Attempts.Add(context.Background(), 1, metric.With(metric.KeyOutcome, "answered", metric.KeyCause, ""))
}

// outcomeOf returns the outcome of an answer that took this long to begin or, if it is no stream,
// to be complete.
func (at *attempt) outcomeOf(took time.Duration) rollout.Outcome {
	out := rollout.Outcome{FirstToken: took.Seconds() / max(float64(at.placement.Estimate), 0.001)}
	if !at.call.wantsStream() {
		out.Took = took
	}
	return out
}

// finish records the attempt's result. Only the first call has an effect.
func (at *attempt) finish(re placement.Result) {
	unused, first := at.end()
	if !first {
		return
	}
	unused.cancel()
	ro := at.router
	defer at.freePlace(re)
	suspended, resumed := ro.balancer.Done(time.Now(), at.placement, re)
	if suspended {
		ro.log.Warn(event.EndpointSuspended, nil, event.Fields{"endpoint": at.endpoint.ID, "service": at.endpoint.Service})
	}
	if resumed {
		at.logResumed()
	}
}

// logResumed logs that the attempt ended its endpoint's suspension.
func (at *attempt) logResumed() {
	at.router.log.Info(event.EndpointResumed, event.Fields{"endpoint": at.endpoint.ID, "service": at.endpoint.Service})
}

// fail records a failed attempt. If the caller cancelled or caused the failure, or
// if there was no time left to send, or the path failed, the attempt is neutral: it counts neither
// against the endpoint nor against its release, and is not logged.
func (at *attempt) fail(ctx context.Context, fa *failure) {
	ro, result := at.router, placement.Failed
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || at.pathFault || fa.callerError || fa.notRun && errors.Is(fa.err, context.DeadlineExceeded):
		result = placement.Neutral
	case errors.Is(fa.err, errEndless):
		result = placement.Flooded
	case errors.Is(fa.err, errFailureStatus) || errors.Is(fa.err, errNotRun):
		result = placement.AnsweredWithError
	case !fa.unsent && (causeLabel(fa.err) == string(endpoint.CauseSilent) || errors.Is(ctx.Err(), context.DeadlineExceeded)):
		result = placement.Silent
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
		ro.releases.observe(at.call, at.endpoint, rollout.Outcome{Failed: !timedOut, TimedOut: timedOut})
	}
	ro.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "failed", metric.KeyCause, causeLabel(fa.err)))
	ro.log.WarnLimited(event.AttemptFailed, fa.err, event.Fields{
		"request": at.call.request.ID, "endpoint": at.endpoint.ID, "release": at.endpoint.Release, "not_run": fa.notRun,
		"begun": fa.begun, "prompt": at.call.request.sharedParts(), "fingerprint": at.call.fingerprint,
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
