package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/worker"
)

// run sends a request, with retries, until there is an answer to deliver to the
// caller. It returns a refusal if nothing has been written to the caller.
func (ro *Router) run(ctx context.Context, wr http.ResponseWriter, ca *call) *Refusal {
	var last *failure
	ro.beginCascade(ca)
	for {
		an, fa := ro.attempt(ctx, ca, ca.request.LastEventID)
		if fa == nil && ro.escalates(ctx, ca, an) {
			an.discard()
			continue
		}
		if fa == nil {
			ro.deliver(ctx, wr, ca, an)
			return nil
		}
		// The caller gets the last failure, preferably one with an endpoint's answer.
		if fa.answer != nil || last == nil || last.answer == nil {
			last = fa
		}
		if fa.quarantined {
			return ro.writeFailure(ctx, wr, ca, fa)
		}
		if fa.noEndpoint && (last.answer == nil && ca.returnsToGivenUp(ctx) || ro.awaitsEndpoint(ctx, ca)) {
			continue
		}
		last.lacksEndpoint = fa.noEndpoint
		if fa.noEndpoint || !ro.mayRetry(ctx, ca, fa) {
			return ro.writeFailure(ctx, wr, ca, last)
		}
		if fa.notRun && !fa.unsent && ca.model > 0 {
			// The endpoint refused to run the larger model, as when it has no capacity
			// for it: the small model's answer is better than none.
			ca.model, ca.noEscalation = 0, true
		}
	}
}

// returnsToGivenUp reports, after a while, whether a call goes back to the endpoints that were
// given up because they were silent: no other one has taken it, and they may have gone on.
func (ca *call) returnsToGivenUp(ctx context.Context) bool {
	if len(ca.givenUp) == 0 || ca.sends >= ca.route.MaxAttempts {
		return false
	}
	ca.failedEndpoints = slices.DeleteFunc(ca.failedEndpoints, func(id policy.EndpointID) bool { return slices.Contains(ca.givenUp, id) })
	return worker.Sleep(ctx, maxResumePause)
}

const (
	// endpointCheckInterval is how often a call that may be sent again looks for an endpoint.
	endpointCheckInterval = 10 * time.Millisecond
	// endpointWaitShare is the part of a call's time in which it looks. The rest is left to its
	// caller, who may come back.
	endpointWaitShare = 0.5
)

// awaitsEndpoint reports, after a short time, whether a call looks for an endpoint once more. It
// does so if an attempt has failed that may have run: such a call cannot be refused, and a place
// at an endpoint that has not failed it may soon be free.
func (ro *Router) awaitsEndpoint(ctx context.Context, ca *call) bool {
	if !ca.mayHaveRun || ca.probing || !ca.route.Repeatable() || ca.sends >= ca.route.MaxAttempts {
		return false
	}
	now, received := time.Now(), ca.request.ReceivedAt
	until := received.Add(time.Duration(endpointWaitShare * float64(ca.deadline.Sub(received))))
	return now.Before(until) && ro.mayFindEndpoint(now, ca, until) && worker.Sleep(ctx, endpointCheckInterval)
}

// mayFindEndpoint reports whether an endpoint that has not failed a call may get it before a time.
func (ro *Router) mayFindEndpoint(now time.Time, ca *call, until time.Time) bool {
	return slices.ContainsFunc(ro.fleet.forService(now, ca.service.ID), func(en policy.Endpoint) bool {
		av := ro.availableTo(now, ca, en, ro.balancer.Condition(now, en.ID))
		return av.retryAt.Before(until) && !slices.Contains(ca.failedEndpoints, en.ID)
	})
}

// mayRetry reports whether a request may be sent again after a failed attempt, and
// counts the retry.
func (ro *Router) mayRetry(ctx context.Context, ca *call, fa *failure) bool {
	return ro.retryAllowed(ctx, ca, fa) && ro.takeRetry(ctx, ca, fa)
}

// retryAllowed reports whether a request may be sent again after a failed attempt if the
// budget has room.
func (ro *Router) retryAllowed(ctx context.Context, ca *call, fa *failure) bool {
	if ctx.Err() != nil || ca.sends >= ca.route.MaxAttempts || fa.callerError {
		return false
	}
	if !ca.route.Repeatable() && !fa.notRun {
		return false
	}
	ca.awaitCount(ctx)
	return !ca.probing && ro.quarantined(ca) == nil
}

// takeRetry counts a retry after a failed attempt, and reports false if the budget has no
// room for it.
func (ro *Router) takeRetry(ctx context.Context, ca *call, fa *failure) bool {
	// A request that reached no endpoint is not repeated when it is sent to another one.
	if !fa.unsent && !fa.retryTaken && !ro.budgets.take(time.Now(), ca.service.ID, failureShare) {
		ro.log.WarnLimited(event.RetryBudgetSpent, nil, event.Fields{"request": ca.request.ID})
		return false
	}
	ro.metrics.Retries.Add(ctx, 1)
	return true
}

// writeFailure ends a request after its last attempt failed. It writes the
// endpoint's own answer if there is one, and returns a refusal otherwise.
func (ro *Router) writeFailure(ctx context.Context, wr http.ResponseWriter, ca *call, last *failure) *Refusal {
	now := time.Now()
	fields := event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "sends": ca.sends, "may_have_run": ca.mayHaveRun,
		"after_ms": now.Sub(ca.request.ReceivedAt).Milliseconds(),
	}
	if last.lacksEndpoint {
		fields["blocked"] = ro.blockedEndpoints(now, ca)
	}
	ro.log.WarnLimited(event.RequestFailed, last.err, fields)
	switch {
	case last.answer != nil:
		ro.writeEndpointFailure(wr, last.answer)
		return nil
	case !ca.mayHaveRun && last.quarantined:
		return refuseNotRun(last.refusal, last.retryAt)
	case !ca.mayHaveRun && last.noEndpoint:
		ro.turnAway(now, ca)
		return refuseNotRun(ReasonEndpointsBusy, ro.retryAt(now, ca))
	case !ca.mayHaveRun:
		return refuseNotRun(ReasonEndpointsUnreachable, now.Add(defaultRetryDelay))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout}
	default:
		return &Refusal{Status: http.StatusBadGateway, Reason: ReasonAnswerBroken}
	}
}

// writeEndpointFailure writes an endpoint's own failure to the caller. Statuses
// that state that a request was not run are replaced, as only the router can
// promise that.
func (ro *Router) writeEndpointFailure(wr http.ResponseWriter, an *answer) {
	status := an.status
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		status = http.StatusBadGateway
		ro.options().Dialect.RemoveSignature(an.header)
	}
	an.writeBuffered(wr, status)
}

// deliver writes an answer to the caller.
func (ro *Router) deliver(ctx context.Context, wr http.ResponseWriter, ca *call, an *answer) {
	took := time.Since(ca.request.ReceivedAt)
	ro.metrics.FirstToken.Record(ctx, took.Seconds())
	outcome, pauseMs := "answered", int64(0)
	if an.stream == nil {
		an.writeBuffered(wr, an.status)
	} else if complete, longestPauseMs := ro.relayStream(ctx, wr, ca, an); !complete {
		outcome, pauseMs = "cut", longestPauseMs
	} else {
		pauseMs = longestPauseMs
	}
	ro.metrics.Requests.Add(ctx, 1, metric.With(metric.KeyOutcome, outcome))
	ro.log.InfoLimited(event.RequestAnswered, event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "status": an.status, "outcome": outcome, "model": ca.modelID(), "sends": ca.sends, "confidence": an.head.Confidence,
		"first_ms": took.Milliseconds(), "pause_ms": pauseMs, "whole_ms": time.Since(ca.request.ReceivedAt).Milliseconds(),
	})
	ro.metrics.Latency.Record(ctx, time.Since(ca.request.ReceivedAt).Seconds())
	if outcome == "cut" {
		// Break the connection, so that the caller does not take the part it has
		// received for a complete answer.
		panic(http.ErrAbortHandler)
	}
}

// failure is the result of an attempt without an answer to deliver.
type failure struct {
	err error
	// notRun reports whether it is certain that the attempt did not run the
	// request.
	notRun bool
	// unsent reports whether nothing was sent, as when the connection was refused.
	unsent bool
	// begun reports whether the head of an answer had arrived.
	begun bool
	// noEndpoint reports whether there was no endpoint to send to.
	noEndpoint bool
	// lacksEndpoint reports whether there was none for a further attempt after this one.
	lacksEndpoint bool
	// quarantined reports whether a part of the prompt or the request is in quarantine,
	// refusal which of them, and retryAt when the caller should then try again.
	quarantined bool
	refusal     Reason
	retryAt     time.Time
	// callerError reports whether the request itself is at fault, so that every
	// endpoint would give the same answer.
	callerError bool
	// answer is the endpoint's failure answer, nil if there is none.
	answer *answer
	// retryTaken reports whether the retry has its place in the budget already.
	retryTaken bool
}

// refused reports whether the endpoint itself stated that it did not run the request.
func (fa *failure) refused() bool { return fa.notRun && !fa.unsent }

func failureOf(err error) *failure {
	var fa *endpoint.Failure
	if errors.As(err, &fa) {
		return &failure{err: err, notRun: !fa.Sent, unsent: !fa.Sent}
	}
	return &failure{err: err}
}
