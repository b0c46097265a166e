package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
)

// errWithdrawn is returned when the policy allowed the version when it was chosen,
// but does not at the time of the send: the version was withdrawn, or the
// organisation may not use it any more. serveChat then chooses the version again.
var errWithdrawn = eris.New("version withdrawn between admission and send")

// openedAnswer is an answer whose first event was received, or which ended without
// one.
type openedAnswer struct {
	stream   *endpoint.Stream
	first    endpoint.Event
	endpoint policy.Endpoint
	attempt  endpoint.AttemptID
	// ended is set when the stream ended without an event.
	ended bool
}

// attempts holds the state of a chat request while it is sent to endpoints.
type attempts struct {
	daemon      *Daemon
	chat        *chatRequest
	target      target
	tried       []policy.EndpointID
	lastFailure *endpoint.Failure
	steps       *stepLog
}

// open sends the request to one endpoint after another until one starts to
// answer or no retry is allowed. Every retry uses a new connection. The error is an
// *endpoint.Failure, errWithdrawn or a *problem.
func (at *attempts) open(ctx context.Context) (*openedAnswer, error) {
	da := at.daemon
	for n := int64(1); ; n++ {
		op, err := at.attemptOnce(ctx, n > 1)
		if err == nil || !at.shouldRetry(ctx, n, err) {
			return op, err
		}
		da.metrics.Retries.Add(ctx, 1)
	}
}

// shouldRetry reports whether another attempt may follow the n-th, which failed
// with err. It takes a retry from the budget when it returns true.
func (at *attempts) shouldRetry(ctx context.Context, n int64, err error) bool {
	var fa *endpoint.Failure
	if !errors.As(err, &fa) || fa.InvalidRequest() || ctx.Err() != nil {
		return false
	}
	if n >= at.daemon.settings.GetServing().GetMaxAttempts() || time.Now().After(at.chat.deadline) {
		return false
	}
	if !at.daemon.budget.Take() {
		at.daemon.log.Debug(event.RetryBudgetSpent, nil, event.Fields{"request": at.chat.id})
		return false
	}
	return true
}

// attemptOnce sends the request to one endpoint that was not tried before, on a new
// connection if fresh is set. The policy in force is checked last, immediately
// before the send.
func (at *attempts) attemptOnce(ctx context.Context, fresh bool) (*openedAnswer, error) {
	da, ve := at.daemon, at.target.version
	body, err := at.chat.engineBody(ve)
	if err != nil {
		return nil, invalidRequest("", "the body cannot be passed on")
	}
	en, ok := da.tracker.Choose(time.Now(), da.pools.versionEndpoints(ve.ID), at.chat.prefix(ve), at.tried, da.usable)
	if !ok {
		return nil, at.noEndpointError()
	}
	at.tried = append(at.tried, en.ID)
	attempt := endpoint.AttemptID(ulid.Make().String())
	if pr := at.checkBeforeSend(); pr != nil {
		da.tracker.Done(time.Now(), en.ID, placement.Neutral)
		return nil, pr
	}
	sentAt := time.Now()
	at.steps.add("sent to %s as %s", en.ID, attempt)
	st, err := da.client.Chat(ctx, endpoint.EngineCall{
		URL: en.Url, Attempt: attempt, Body: body, NewConnection: fresh, EchoesID: en.EchoesRequestId,
	})
	if err != nil {
		return nil, at.recordFailure(ctx, en, sentAt, err)
	}
	first, err := st.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		st.Close()
		return nil, at.recordFailure(ctx, en, sentAt, err)
	}
	at.chat.sent = true
	at.recordSuccess(ctx, en, st, sentAt)
	return &openedAnswer{stream: st, first: first, endpoint: en, attempt: attempt, ended: err != nil}, nil
}

// checkBeforeSend returns an error when the policy in force now does not allow the
// send, since it may have changed while the request was queued.
func (at *attempts) checkBeforeSend() error {
	da := at.daemon
	if pr := da.sendProblem(); pr != nil {
		return pr
	}
	if pr := versionProblem(da.holder.Set(), at.chat.organisation, at.target.version.ID); pr != nil {
		at.steps.add("version %s may not run any more", at.target.version.ID)
		return errWithdrawn
	}
	return nil
}

// noEndpointError returns the error for a request that has no endpoint left to
// try: the failure of the last attempt, or a *problem when there was no attempt.
func (at *attempts) noEndpointError() error {
	if at.lastFailure != nil {
		return at.lastFailure
	}
	return &problem{
		status: http.StatusServiceUnavailable, code: string(admission.ReasonNoCapacity),
		message: "no endpoint serves the version now", retryAt: time.Now().Add(defaultRetryDelay),
	}
}

// recordFailure records a failed attempt with the endpoint, the metrics and the
// roll-out, and returns the failure. A request that the endpoint rejected as
// invalid and an attempt that ended with ctx count neither against the endpoint nor
// against the version.
func (at *attempts) recordFailure(ctx context.Context, en policy.Endpoint, sentAt time.Time, err error) error {
	da := at.daemon
	var fa *endpoint.Failure
	if !errors.As(err, &fa) {
		fa = &endpoint.Failure{Cause: endpoint.CauseBroken, Sent: true, Err: err}
	}
	at.chat.sent = at.chat.sent || fa.Sent
	at.lastFailure = fa
	result := placement.Failed
	if fa.InvalidRequest() || ctx.Err() != nil {
		result = placement.Neutral
	}
	endpointResult := result
	if fa.Cause != endpoint.CauseUnreachable && da.rollouts.isCandidate(at.target) {
		// The failures of a candidate version do not count against the endpoints
		// that run it, because those endpoints also serve the stable version. A
		// failure to connect still counts: it does not come from the version.
		endpointResult = placement.Neutral
	}
	da.releaseEndpoint(en.ID, endpointResult)
	at.steps.add("%s failed: %v", en.ID, fa)
	da.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "failed", metric.KeyCause, string(fa.Cause)))
	if fa.Cause == endpoint.CauseMismatched {
		da.log.Warn(event.AnswerDropped, fa, event.Fields{"request": at.chat.id, "endpoint": en.ID})
	}
	if result == placement.Failed {
		da.log.Debug(event.AttemptFailed, fa, event.Fields{"request": at.chat.id, "endpoint": en.ID, "after_ms": time.Since(sentAt).Milliseconds()})
		da.rollouts.observe(at.target, at.chat.rank.ID, rollout.Outcome{Failed: true})
	}
	return fa
}

// recordSuccess records an attempt whose endpoint started to answer. The endpoint
// is released later, when the answer has ended.
func (at *attempts) recordSuccess(ctx context.Context, en policy.Endpoint, st *endpoint.Stream, sentAt time.Time) {
	da := at.daemon
	if lo := st.Load(); lo.Known {
		da.tracker.RecordUtilisation(time.Now(), en, lo.Utilisation)
	}
	at.steps.add("%s answers", en.ID)
	da.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "answered", metric.KeyCause, ""))
	da.metrics.FirstToken.Record(ctx, time.Since(at.chat.arrived).Seconds(), metric.With(metric.KeyRank, string(at.chat.rank.ID)))
	inTime := !time.Now().After(at.chat.rank.FirstTokenDeadline(at.chat.arrived))
	da.metrics.InTime.Add(ctx, 1, metric.With(metric.KeyRank, string(at.chat.rank.ID), metric.KeyInTime, strconv.FormatBool(inTime)))
	if inTime {
		da.metrics.Worth.Add(ctx, at.chat.rank.Worth, metric.With(metric.KeyRank, string(at.chat.rank.ID)))
	}
	da.rollouts.observe(at.target, at.chat.rank.ID, rollout.Outcome{FirstToken: time.Since(sentAt).Seconds()})
}

// releaseEndpoint ends a request in flight at an endpoint, records its result, and
// logs when the endpoint is suspended or resumed because of it.
func (da *Daemon) releaseEndpoint(id policy.EndpointID, re placement.Result) {
	suspended, resumed := da.tracker.Done(time.Now(), id, re)
	if suspended {
		da.log.Warn(event.EndpointSuspended, nil, event.Fields{"endpoint": id})
	}
	if resumed {
		da.log.Info(event.EndpointResumed, event.Fields{"endpoint": id})
	}
}
