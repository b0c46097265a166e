package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/policy"
)

// run sends a request until there is an answer to pass on, and passes it on.
// The refusal is the final answer when there is none.
func (ro *Router) run(ctx context.Context, wr http.ResponseWriter, ca *call) *Refusal {
	var last *failure
	for {
		an, fa := ro.attempt(ctx, ca, ca.request.After)
		if fa == nil && ro.larger(ca, an) {
			an.drop()
			ca.model, ca.mayHaveRun = len(ca.models())-1, true
			continue
		}
		if fa == nil {
			ro.deliver(ctx, wr, ca, an)
			return nil
		}
		if fa.answer != nil || last == nil || last.answer == nil {
			last = fa
		}
		if fa.nowhere || !ro.mayRepeat(ctx, ca, fa) {
			return ro.final(ctx, wr, ca, last)
		}
		if fa.notRun && ca.model > 0 {
			// Refused for want of room: a weaker answer is better than none.
			ca.model, ca.keepSmall = 0, true
		}
	}
}

// larger tells whether an answer that has begun is dropped for one of a larger
// model.
func (ro *Router) larger(ca *call, an *answer) bool {
	models := ca.models()
	if ca.keepSmall || ca.model == len(models)-1 || !an.head.Rated || ca.sends >= ca.route.MaxAttempts || !ca.route.Repeatable() {
		return false
	}
	key := paceKey{ca.service.ID, policy.ModelID(models[len(models)-1])}
	work, _ := ro.paces.expect(key, ca.request.promptTokens(), 0)
	left := time.Until(ca.request.Arrived.Add(ca.route.LatencyTarget()))
	step := cascade.Step{
		Confidence: an.head.Confidence, Work: float64(work), Pressure: float64(ca.pressure),
		TimeLeft: left.Seconds(),
	}
	if !step.Escalate() || !ro.budgets.take(time.Now(), ca.service.ID, escalationShare) {
		return false
	}
	ro.log.Request(event.ModelRaised, event.Fields{
		"request": ca.request.ID, "from": ca.modelID(), "confidence": an.head.Confidence,
		"pressure_ms": int64(float64(ca.pressure) * 1000), "left_ms": left.Milliseconds(),
	})
	return true
}

// mayRepeat decides whether a request whose attempt failed is sent again.
func (ro *Router) mayRepeat(ctx context.Context, ca *call, fa *failure) bool {
	if ctx.Err() != nil || ca.sends >= ca.route.MaxAttempts || fa.callerMistake {
		return false
	}
	if !ca.route.Repeatable() && !fa.notRun {
		return false
	}
	if !ro.budgets.take(time.Now(), ca.service.ID, wholeBudget) {
		ro.log.Trouble(event.RetryBudgetSpent, nil, event.Fields{"request": ca.request.ID})
		return false
	}
	ro.metrics.Retries.Add(ctx, 1)
	return true
}

// final gives the last answer to a request that found no good one.
func (ro *Router) final(ctx context.Context, wr http.ResponseWriter, ca *call, last *failure) *Refusal {
	now := time.Now()
	ro.log.Trouble(event.RequestFailed, last.err, event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "sends": ca.sends, "may_have_run": ca.mayHaveRun,
		"after_ms": now.Sub(ca.request.Arrived).Milliseconds(),
	})
	switch {
	case last.answer != nil:
		ro.passFailure(wr, last.answer)
		return nil
	case !ca.mayHaveRun && last.nowhere:
		return notRun(ReasonBusy, now.Add(ro.fleet.returnAfter(ca)))
	case !ca.mayHaveRun:
		return notRun(ReasonUnreachable, now.Add(soon))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout}
	default:
		return &Refusal{Status: http.StatusBadGateway, Reason: ReasonBroken}
	}
}

// passFailure gives the caller an endpoint's own failure. Statuses that promise
// that a request was not run are the router's alone to give.
func (ro *Router) passFailure(wr http.ResponseWriter, an *answer) {
	status := an.status
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		status = http.StatusBadGateway
		ro.options().Dialect.Unsigned(an.header)
	}
	an.writeWhole(wr, status)
}

// deliver passes an answer on.
func (ro *Router) deliver(ctx context.Context, wr http.ResponseWriter, ca *call, an *answer) {
	took := time.Since(ca.request.Arrived)
	ro.metrics.FirstToken.Record(ctx, took.Seconds())
	outcome, pause := "answered", int64(0)
	if an.stream == nil {
		an.writeWhole(wr, an.status)
	} else if whole, longest := ro.passStream(ctx, wr, ca, an); !whole {
		outcome, pause = "cut", longest
	} else {
		pause = longest
	}
	ro.metrics.Requests.Add(ctx, 1, metric.With(metric.KeyOutcome, outcome))
	ro.log.Request(event.RequestAnswered, event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "status": an.status, "outcome": outcome, "model": ca.modelID(), "sends": ca.sends,
		"first_ms": took.Milliseconds(), "pause_ms": pause, "whole_ms": time.Since(ca.request.Arrived).Milliseconds(),
	})
	ro.metrics.Latency.Record(ctx, time.Since(ca.request.Arrived).Seconds())
	if outcome == "cut" {
		// The caller must not take what it has for a whole answer.
		panic(http.ErrAbortHandler)
	}
}

// failure is an attempt without an answer to pass on.
type failure struct {
	err error
	// notRun tells that the attempt did not run the request.
	notRun bool
	// nowhere tells that there was no endpoint to send to.
	nowhere bool
	// callerMistake tells that every endpoint would answer so.
	callerMistake bool
	// answer is the endpoint's own failure.
	answer *answer
}

func failureOf(err error) *failure {
	var fa *endpoint.Failure
	if errors.As(err, &fa) {
		return &failure{err: err, notRun: !fa.Sent}
	}
	return &failure{err: err}
}
