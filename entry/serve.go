package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/session"
)

const (
	// maxResolves bounds how often a request is given another version because
	// its own was withdrawn on the way.
	maxResolves = 3
	// billWait is the longest that an answer's end waits for its bill's copies.
	billWait = 1500 * time.Millisecond
	// secondsPerPromptKiloToken is the expected time of reading a prompt.
	secondsPerPromptKiloToken = 0.1
)

// serveChat runs a request and answers it.
func (da *Daemon) serveChat(co *gin.Context, ch *chat) {
	ctx, cancel := context.WithDeadline(co.Request.Context(), ch.deadline)
	defer cancel()
	ex := da.explains.start(ch.request)
	for range maxResolves {
		tg, pr := da.resolve(ctx, da.holder.Set(), ch)
		if pr != nil {
			da.refuseChat(co, ch, ex, *pr)
			return
		}
		ex.add("rank %s, version %s, cascade %q, pinned %t", ch.rank.ID, tg.version.ID, tg.cascade, tg.pinned)
		err := da.runChat(ctx, co, ch, tg, ex)
		if !errors.Is(err, errWithdrawn) {
			da.reportChat(co, ch, ex, err)
			return
		}
	}
	da.refuseChat(co, ch, ex, problem{
		status: http.StatusServiceUnavailable, code: "version_withdrawn",
		message: "the versions were withdrawn one after the other", retryAt: time.Now().Add(overloadedRetry),
	})
}

func (da *Daemon) refuseChat(co *gin.Context, ch *chat, ex *explain, pr problem) {
	if ch.sent {
		pr.ran = RanUnknown
	}
	ex.add("refused: %s: %s", pr.code, pr.message)
	da.count(co, ch.request, "refused")
	refuse(co, pr)
}

// runChat takes a request through the queue and an endpoint to its caller.
func (da *Daemon) runChat(ctx context.Context, co *gin.Context, ch *chat, tg target, ex *explain) error {
	pl := da.pools.get(modelPool(tg.model))
	ti, pr := da.ticket(ch, pl)
	if pr != nil {
		return pr
	}
	if err := pl.gate.Acquire(ctx, ti); err != nil {
		pr := admissionProblem(err)
		return &pr
	}
	da.metrics.QueueWait.Record(co, time.Since(ch.arrived).Seconds(), metric.With(metric.KeyRank, string(ch.rank.ID)))
	served := admission.Cost(0)
	defer func() { pl.gate.Release(ti, served) }()
	startedAt := time.Now()
	at := &attempts{daemon: da, chat: ch, target: tg, log: ex}
	op, err := at.open(ctx)
	if err != nil {
		return at.outcome(ctx, err)
	}
	defer op.stream.Close()
	an := &answering{daemon: da, chat: ch, target: tg, opened: op, explain: ex}
	an.run(ctx, co)
	result := placement.Succeeded
	switch {
	case an.failure == nil:
		pl.observe(ch.rank.ID, int64(an.outputTokens()), time.Since(startedAt))
	case an.callerGone || ctx.Err() != nil:
		result = placement.Neutral
	default:
		result = placement.Failed
		da.rollouts.observe(tg, rollout.Outcome{Failed: true})
	}
	da.endpointDone(op.endpoint.ID, result)
	served = admission.Cost(an.outputTokens())
	return nil
}

// ticket gives the request's ticket for a queue.
func (da *Daemon) ticket(ch *chat, pl *pool) (*admission.Ticket, *problem) {
	or, ok := da.holder.Set().Organisations.ByID(ch.organisation)
	if !ok {
		return nil, unknownModel(ch.name)
	}
	tokens, lasts := pl.expect(ch.rank.ID, ch.maxTokens)
	reading := time.Duration(float64(ch.promptTokens()) / 1000 * secondsPerPromptKiloToken * float64(time.Second))
	return &admission.Ticket{
		Organisation: ch.organisation, Share: or.Share, Rank: ch.rank.ID,
		Cost: admission.Cost(tokens), LatestStart: admission.LatestStart(ch.arrived, ch.deadline.Add(-reading), lasts),
	}, nil
}

// outcome gives the caller's error for attempts that all failed.
func (at *attempts) outcome(ctx context.Context, err error) error {
	var pr *problem
	if errors.Is(err, errWithdrawn) || errors.As(err, &pr) {
		return err
	}
	out := &problem{status: http.StatusBadGateway, code: "endpoint_failed", message: err.Error(), retryAt: time.Now().Add(overloadedRetry)}
	var fa *endpoint.Failure
	switch {
	case errors.As(err, &fa) && fa.CallerMistake():
		out.status, out.code, out.retryAt = fa.Status, "endpoint_refused", time.Time{}
	case ctx.Err() != nil:
		out.status, out.code, out.message = http.StatusGatewayTimeout, "deadline_exceeded", "the deadline passed while an endpoint was asked"
	}
	return out
}

// reportChat answers with the error of a request that got no answer.
func (da *Daemon) reportChat(co *gin.Context, ch *chat, ex *explain, err error) {
	var pr *problem
	if errors.As(err, &pr) {
		da.refuseChat(co, ch, ex, *pr)
	}
}

// answering passes one answer to its caller.
type answering struct {
	daemon  *Daemon
	chat    *chat
	target  target
	opened  *opened
	explain *explain
	answer  answer
	failure error
	// callerGone tells that failure is the caller's, not the endpoint's.
	callerGone bool
}

func (an *answering) outputTokens() policy.Tokens {
	if an.answer.usage != nil {
		return an.answer.usage.CompletionTokens
	}
	return policy.Tokens(an.answer.chunks)
}

func (an *answering) inputTokens() policy.Tokens {
	if an.answer.usage != nil {
		return an.answer.usage.PromptTokens
	}
	return an.chat.promptTokens()
}

func (an *answering) run(ctx context.Context, co *gin.Context) {
	an.headers(co)
	var ca caller = &wholeCaller{co: co}
	if an.chat.stream {
		ca = newStreamCaller(co, an.chat.includeUsage)
	}
	an.relay(ca)
	an.finish(ctx, co, ca)
}

// headers tells the caller where the answer comes from.
func (an *answering) headers(co *gin.Context) {
	co.Header(HeaderVersion, string(an.target.version.ID))
	co.Header(HeaderEndpoint, string(an.opened.endpoint.ID))
	co.Header(HeaderBill, an.chat.billID)
	co.Header(HeaderRan, string(HasRun))
	if an.target.movedFrom != "" {
		co.Header(HeaderSessionMoved, string(an.target.movedFrom))
	}
	token, err := an.daemon.signer.Issue(session.Claims{
		Organisation: an.chat.organisation, Model: policy.ModelID(an.chat.name), Version: an.target.version.ID,
	})
	if err == nil {
		co.Header(HeaderSession, token)
	}
}

// relay reads the answer to its end and passes it on.
func (an *answering) relay(ca caller) {
	ev, ended := an.opened.first, an.opened.ended
	for !ended {
		an.answer.add(ev.Data, !an.chat.stream || an.rated())
		if err := ca.chunk(ev.Data); err != nil {
			an.failure, an.callerGone = err, true
			return
		}
		next, err := an.opened.stream.Next()
		if err != nil {
			ended = errors.Is(err, io.EOF)
			if !ended {
				an.failure = err
				return
			}
		}
		ev = next
	}
}

// finish bills an answer and then lets its end go to the caller. A part of an
// answer is billed when the caller left, not when the endpoint failed.
func (an *answering) finish(ctx context.Context, co *gin.Context, ca caller) {
	outcome := "answered"
	switch {
	case an.failure == nil:
	case an.callerGone || co.Request.Context().Err() != nil:
		outcome = "cancelled"
	case ctx.Err() != nil:
		outcome = "deadline"
	default:
		outcome = "cut"
	}
	an.explain.add("%s after %d tokens", outcome, an.outputTokens())
	if n := an.opened.stream.Resumes(); n > 0 {
		an.daemon.log.Info(event.StreamResumed, event.Fields{"request": an.chat.id, "endpoint": an.opened.endpoint.ID, "times": n})
	}
	if outcome == "answered" || outcome == "cancelled" {
		an.bill(outcome)
	}
	switch outcome {
	case "answered":
		ca.end(an.answer)
		an.rate()
	case "cut", "deadline":
		ca.cut(problem{
			status: http.StatusBadGateway, code: "answer_incomplete", ran: RanUnknown,
			message: "the answer was cut off and is not billed: " + an.failure.Error(), retryAt: time.Now().Add(overloadedRetry),
		})
	}
	an.daemon.count(co, an.chat.request, outcome)
}

func (an *answering) bill(outcome string) {
	ve := an.target.version
	bi := &rpc.Bill{
		Id: an.chat.billID, Organisation: string(an.chat.organisation), RequestId: an.chat.id,
		Model: string(an.target.model), Version: string(ve.ID), Rank: string(an.chat.rank.ID),
		InputTokens: int64(an.inputTokens()), OutputTokens: int64(an.outputTokens()),
		Cost:         int64(ve.Cost(an.inputTokens(), an.outputTokens())),
		FinishedAtMs: time.Now().UnixMilli(), Outcome: outcome,
	}
	an.daemon.keepBill(bi)
}

// keepBill waits for a bill's copies, for a while: an answer is not held back
// by its bill, which stays with this entry until it is sealed.
func (da *Daemon) keepBill(bi *rpc.Bill) {
	ctx, cancel := context.WithTimeout(da.group.Context(), billWait)
	defer cancel()
	if err := da.book.Add(ctx, bi); err != nil {
		da.log.Warn(billEvent, err, billFields(bi))
	}
	da.metrics.Answers.Add(ctx, 1, metric.With(metric.KeyVersion, bi.GetVersion()))
	da.metrics.CostMicro.Add(ctx, bi.GetCost(), metric.With(metric.KeyVersion, bi.GetVersion()))
}
