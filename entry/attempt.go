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

// errWithdrawn marks a version that was withdrawn between admission and send.
var errWithdrawn = eris.New("version withdrawn before the send")

// opened is an answer whose first event has come.
type opened struct {
	stream   *endpoint.Stream
	first    endpoint.Event
	endpoint policy.Endpoint
	attempt  endpoint.AttemptID
	// ended tells that the answer ended with its first event.
	ended bool
}

// attempts is one request's way through endpoints.
type attempts struct {
	daemon *Daemon
	chat   *chat
	target target
	tried  []policy.EndpointID
	last   *endpoint.Failure
	log    *explain
}

// open sends the request until an endpoint starts to answer. The error is a
// *endpoint.Failure, errWithdrawn, a *problem or ctx's.
func (at *attempts) open(ctx context.Context) (*opened, error) {
	da := at.daemon
	for n := int64(1); ; n++ {
		op, err := at.one(ctx, n > 1)
		if err == nil || !at.repeat(ctx, n, err) {
			return op, err
		}
		da.metrics.Retries.Add(ctx, 1)
	}
}

// repeat tells whether another attempt may follow a failed one.
func (at *attempts) repeat(ctx context.Context, n int64, err error) bool {
	var fa *endpoint.Failure
	if !errors.As(err, &fa) || fa.CallerMistake() || ctx.Err() != nil {
		return false
	}
	if n >= at.daemon.set.GetServing().GetMaxAttempts() || time.Now().After(at.chat.deadline) {
		return false
	}
	if !at.daemon.budget.Take() {
		at.daemon.log.Debug(event.RetryBudgetSpent, nil, event.Fields{"request": at.chat.id})
		return false
	}
	return true
}

// one makes one attempt. The policy in force is asked last before the send.
func (at *attempts) one(ctx context.Context, fresh bool) (*opened, error) {
	da, ve := at.daemon, at.target.version
	body, err := at.chat.engineBody(ve)
	if err != nil {
		return nil, invalid("", "the body cannot be passed on")
	}
	en, ok := da.tracker.Choose(time.Now(), da.pools.version(ve.ID), at.chat.prefix(ve), at.tried, da.usable)
	if !ok {
		return nil, at.nowhere()
	}
	at.tried = append(at.tried, en.ID)
	attempt := endpoint.AttemptID(ulid.Make().String())
	if pr := at.lastCheck(); pr != nil {
		da.tracker.Done(time.Now(), en.ID, placement.Neutral)
		return nil, pr
	}
	sentAt := time.Now()
	at.log.add("sent to %s as %s", en.ID, attempt)
	st, err := da.client.Chat(ctx, endpoint.EngineCall{
		URL: en.Url, Attempt: attempt, Body: body, Fresh: fresh, EchoesID: en.EchoesRequestId,
	})
	if err != nil {
		return nil, at.failed(ctx, en, sentAt, err)
	}
	first, err := st.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		st.Close()
		return nil, at.failed(ctx, en, sentAt, err)
	}
	at.chat.sent = true
	at.succeeded(ctx, en, st, sentAt)
	return &opened{stream: st, first: first, endpoint: en, attempt: attempt, ended: err != nil}, nil
}

// lastCheck refuses what the policy in force at this moment does not allow.
func (at *attempts) lastCheck() error {
	da := at.daemon
	if pr := da.cannotSend(); pr != nil {
		return pr
	}
	if pr := mayRun(da.holder.Set(), at.chat.organisation, at.target.version.ID); pr != nil {
		at.log.add("version %s may not run any more", at.target.version.ID)
		return errWithdrawn
	}
	return nil
}

// nowhere gives the error when no endpoint may be chosen.
func (at *attempts) nowhere() error {
	if at.last != nil {
		return at.last
	}
	return &problem{
		status: http.StatusServiceUnavailable, code: string(admission.ReasonNoCapacity),
		message: "no endpoint serves the version now", retryAt: time.Now().Add(overloadedRetry),
	}
}

func (at *attempts) failed(ctx context.Context, en policy.Endpoint, sentAt time.Time, err error) error {
	da := at.daemon
	var fa *endpoint.Failure
	if !errors.As(err, &fa) {
		fa = &endpoint.Failure{Cause: endpoint.CauseBroken, Sent: true, Problem: err}
	}
	at.chat.sent = at.chat.sent || fa.Sent
	at.last = fa
	result := placement.Failed
	if fa.CallerMistake() || ctx.Err() != nil {
		result = placement.Neutral
	}
	endpointResult := result
	if fa.Cause != endpoint.CauseUnreachable && da.rollouts.candidate(at.target) {
		// The failures of a candidate version do not count against the endpoints
		// that run it: they are needed for the version in use.
		endpointResult = placement.Neutral
	}
	da.endpointDone(en.ID, endpointResult)
	at.log.add("%s failed: %v", en.ID, fa)
	da.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "failed", metric.KeyCause, string(fa.Cause)))
	if fa.Cause == endpoint.CauseMismatched {
		da.log.Warn(event.AnswerDropped, fa, event.Fields{"request": at.chat.id, "endpoint": en.ID})
	}
	if result == placement.Failed {
		da.log.Debug(event.AttemptFailed, fa, event.Fields{"request": at.chat.id, "endpoint": en.ID, "after_ms": time.Since(sentAt).Milliseconds()})
		da.rollouts.observe(at.target, rollout.Outcome{Failed: true})
	}
	return fa
}

func (at *attempts) succeeded(ctx context.Context, en policy.Endpoint, st *endpoint.Stream, sentAt time.Time) {
	da := at.daemon
	if lo := st.Load(); lo.Known {
		da.tracker.RecordUtilisation(time.Now(), en, lo.Utilisation)
	}
	at.log.add("%s answers", en.ID)
	da.metrics.Attempts.Add(ctx, 1, metric.With(metric.KeyOutcome, "answered", metric.KeyCause, ""))
	da.metrics.FirstToken.Record(ctx, time.Since(at.chat.arrived).Seconds(), metric.With(metric.KeyRank, string(at.chat.rank.ID)))
	inTime := !time.Now().After(at.chat.rank.FirstTokenDeadline(at.chat.arrived))
	da.metrics.InTime.Add(ctx, 1, metric.With(metric.KeyRank, string(at.chat.rank.ID), metric.KeyInTime, strconv.FormatBool(inTime)))
	if inTime {
		da.metrics.Worth.Add(ctx, at.chat.rank.Worth, metric.With(metric.KeyRank, string(at.chat.rank.ID)))
	}
	da.rollouts.observe(at.target, rollout.Outcome{FirstToken: time.Since(sentAt).Seconds()})
}

// endpointDone ends a request in flight at an endpoint.
func (da *Daemon) endpointDone(id policy.EndpointID, re placement.Result) {
	suspended, resumed := da.tracker.Done(time.Now(), id, re)
	if suspended {
		da.log.Warn(event.EndpointOpened, nil, event.Fields{"endpoint": id})
	}
	if resumed {
		da.log.Info(event.EndpointClosed, event.Fields{"endpoint": id})
	}
}

// Error makes a problem an error within the package.
func (pr *problem) Error() string { return pr.code + ": " + pr.message }
