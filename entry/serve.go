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
	// maxVersionChoices bounds how often a request is given another version because
	// its own was withdrawn on the way.
	maxVersionChoices = 3
	// billCopyTimeout is the longest that an answer's end waits for its bill's copies.
	billCopyTimeout = 1500 * time.Millisecond
	// secondsPerPromptKiloToken is the expected time of reading a prompt.
	secondsPerPromptKiloToken = 0.1
)

// serveChat runs a request and answers it.
func (da *Daemon) serveChat(co *gin.Context, ch *chatRequest) {
	ctx, cancel := context.WithDeadline(co.Request.Context(), ch.deadline)
	defer cancel()
	sl := da.explanations.startRequest(ch.request)
	for range maxVersionChoices {
		tg, pr := da.resolve(ctx, da.holder.Set(), ch)
		if pr != nil {
			da.abortChat(co, ch, sl, *pr)
			return
		}
		sl.add("rank %s, version %s, cascade %q, pinned %t", ch.rank.ID, tg.version.ID, tg.cascade, tg.pinned)
		err := da.runChat(ctx, co, ch, tg, sl)
		if !errors.Is(err, errWithdrawn) {
			da.abortChatOnError(co, ch, sl, err)
			return
		}
	}
	da.abortChat(co, ch, sl, problem{
		status: http.StatusServiceUnavailable, code: "version_withdrawn",
		message: "the versions were withdrawn one after the other", retryAt: time.Now().Add(overloadedRetryDelay),
	})
}

func (da *Daemon) abortChat(co *gin.Context, ch *chatRequest, sl *stepLog, pr problem) {
	if ch.sent {
		pr.ran = RanUnknown
	}
	sl.add("refused: %s: %s", pr.code, pr.message)
	da.recordRequest(co, ch.request, "refused")
	abortWithProblem(co, pr)
}

// runChat takes a request through the queue and an endpoint to its caller.
func (da *Daemon) runChat(ctx context.Context, co *gin.Context, ch *chatRequest, tg target, sl *stepLog) error {
	pl := da.pools.get(modelPool(tg.model))
	ti, pr := da.chatTicket(ch, pl)
	if pr != nil {
		return pr
	}
	if err := pl.gate.Enter(ctx, ti); err != nil {
		pr := admissionProblem(err)
		return &pr
	}
	da.metrics.QueueWait.Record(co, time.Since(ch.arrived).Seconds(), metric.With(metric.KeyRank, string(ch.rank.ID)))
	served := admission.Cost(0)
	defer func() { pl.gate.Leave(ti, served) }()
	startedAt := time.Now()
	at := &attempts{daemon: da, chat: ch, target: tg, steps: sl}
	op, err := at.open(ctx)
	if err != nil {
		return at.finalError(ctx, err)
	}
	defer op.stream.Close()
	an := &answerRelay{daemon: da, chat: ch, target: tg, opened: op, steps: sl}
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
	da.releaseEndpoint(op.endpoint.ID, result)
	served = admission.Cost(an.outputTokens())
	return nil
}

// chatTicket gives the request's ticket for a queue.
func (da *Daemon) chatTicket(ch *chatRequest, pl *pool) (*admission.Ticket, *problem) {
	or, ok := da.holder.Set().Organisations.ByID(ch.organisation)
	if !ok {
		return nil, unknownModel(ch.modelName)
	}
	tokens, lasts := pl.estimate(ch.rank.ID, ch.maxTokens)
	reading := time.Duration(float64(ch.promptTokens()) / 1000 * secondsPerPromptKiloToken * float64(time.Second))
	return &admission.Ticket{
		Organisation: ch.organisation, Share: or.Share, Rank: ch.rank.ID,
		Cost: admission.Cost(tokens), LatestStart: admission.LatestStart(ch.arrived, ch.deadline.Add(-reading), lasts),
	}, nil
}

// finalError gives the caller's error for attempts that all failed.
func (at *attempts) finalError(ctx context.Context, err error) error {
	var pr *problem
	if errors.Is(err, errWithdrawn) || errors.As(err, &pr) {
		return err
	}
	out := &problem{status: http.StatusBadGateway, code: "endpoint_failed", message: err.Error(), retryAt: time.Now().Add(overloadedRetryDelay)}
	var fa *endpoint.Failure
	switch {
	case errors.As(err, &fa) && fa.CallerMistake():
		out.status, out.code, out.retryAt = fa.Status, "endpoint_refused", time.Time{}
	case ctx.Err() != nil:
		out.status, out.code, out.message = http.StatusGatewayTimeout, "deadline_exceeded", "the deadline passed while an endpoint was asked"
	}
	return out
}

// abortChatOnError answers with the error of a request that got no answer.
func (da *Daemon) abortChatOnError(co *gin.Context, ch *chatRequest, sl *stepLog, err error) {
	var pr *problem
	if errors.As(err, &pr) {
		da.abortChat(co, ch, sl, *pr)
	}
}

// answerRelay passes one answer to its caller.
type answerRelay struct {
	daemon  *Daemon
	chat    *chatRequest
	target  target
	opened  *openedAnswer
	steps   *stepLog
	answer  answerBuilder
	failure error
	// callerGone tells that failure is the caller's, not the endpoint's.
	callerGone bool
}

func (an *answerRelay) outputTokens() policy.Tokens {
	if an.answer.usage != nil {
		return an.answer.usage.CompletionTokens
	}
	return policy.Tokens(an.answer.contentChunks)
}

func (an *answerRelay) inputTokens() policy.Tokens {
	if an.answer.usage != nil {
		return an.answer.usage.PromptTokens
	}
	return an.chat.promptTokens()
}

func (an *answerRelay) run(ctx context.Context, co *gin.Context) {
	an.setHeaders(co)
	var aw answerWriter = &bufferedWriter{co: co}
	if an.chat.stream {
		aw = newStreamWriter(co, an.chat.includeUsage)
	}
	an.relay(aw)
	an.finish(ctx, co, aw)
}

// setHeaders tells the caller where the answer comes from.
func (an *answerRelay) setHeaders(co *gin.Context) {
	co.Header(HeaderVersion, string(an.target.version.ID))
	co.Header(HeaderEndpoint, string(an.opened.endpoint.ID))
	co.Header(HeaderBill, an.chat.billID)
	co.Header(HeaderRan, string(HasRun))
	if an.target.movedFrom != "" {
		co.Header(HeaderSessionMoved, string(an.target.movedFrom))
	}
	token, err := an.daemon.signer.Issue(session.Claims{
		Organisation: an.chat.organisation, Model: policy.ModelID(an.chat.modelName), Version: an.target.version.ID,
	})
	if err == nil {
		co.Header(HeaderSession, token)
	}
}

// relay reads the answer to its end and passes it on.
func (an *answerRelay) relay(aw answerWriter) {
	ev, ended := an.opened.first, an.opened.ended
	for !ended {
		an.answer.addChunk(ev.Data, !an.chat.stream || an.shouldRate())
		if err := aw.writeChunk(ev.Data); err != nil {
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
func (an *answerRelay) finish(ctx context.Context, co *gin.Context, aw answerWriter) {
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
	an.steps.add("%s after %d tokens", outcome, an.outputTokens())
	if n := an.opened.stream.Resumes(); n > 0 {
		an.daemon.log.Info(event.StreamResumed, event.Fields{"request": an.chat.id, "endpoint": an.opened.endpoint.ID, "times": n})
	}
	if outcome == "answered" || outcome == "cancelled" {
		an.recordBill(outcome)
	}
	switch outcome {
	case "answered":
		aw.complete(an.answer)
		an.submitForRating()
	case "cut", "deadline":
		aw.abort(problem{
			status: http.StatusBadGateway, code: "answer_incomplete", ran: RanUnknown,
			message: "the answer was cut off and is not billed: " + an.failure.Error(), retryAt: time.Now().Add(overloadedRetryDelay),
		})
	}
	an.daemon.recordRequest(co, an.chat.request, outcome)
}

func (an *answerRelay) recordBill(outcome string) {
	ve := an.target.version
	bi := &rpc.Bill{
		Id: an.chat.billID, Organisation: string(an.chat.organisation), RequestId: an.chat.id,
		Model: string(an.target.model), Version: string(ve.ID), Rank: string(an.chat.rank.ID),
		InputTokens: int64(an.inputTokens()), OutputTokens: int64(an.outputTokens()),
		Cost:         int64(ve.Cost(an.inputTokens(), an.outputTokens())),
		FinishedAtMs: time.Now().UnixMilli(), Outcome: outcome,
	}
	an.daemon.addBill(bi)
}

// addBill waits for a bill's copies, for a while: an answer is not held back
// by its bill, which stays with this entry until it is sealed.
func (da *Daemon) addBill(bi *rpc.Bill) {
	ctx, cancel := context.WithTimeout(da.group.Context(), billCopyTimeout)
	defer cancel()
	if err := da.book.Add(ctx, bi); err != nil {
		da.log.Warn(billEvent, err, billFields(bi))
	}
	da.metrics.Answers.Add(ctx, 1, metric.With(metric.KeyVersion, bi.GetVersion()))
	da.metrics.CostMicro.Add(ctx, bi.GetCost(), metric.With(metric.KeyVersion, bi.GetVersion()))
}
