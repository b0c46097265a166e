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
	// maxVersionChoices is the maximum number of times that the version of a request
	// is chosen: once, and again after each errWithdrawn.
	maxVersionChoices = 3
	// billCopyTimeout is the longest time that the end of an answer is held back
	// until a peer or the store has its bill.
	billCopyTimeout = 1500 * time.Millisecond
	// secondsPerThousandPromptTokens is the expected time to process 1000 prompt
	// tokens.
	secondsPerThousandPromptTokens = 0.1
)

// serveChat runs a chat request and writes the response. If the chosen version is
// withdrawn before the send, it chooses again, up to maxVersionChoices times in all.
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
		message: "the versions were withdrawn one after the other", retryAt: time.Now().Add(defaultRetryDelay),
	})
}

// abortChat records a refused request and writes the problem. It sets the problem's
// ran to RanUnknown when a byte of the request may have reached an endpoint.
func (da *Daemon) abortChat(co *gin.Context, ch *chatRequest, sl *stepLog, pr problem) {
	if ch.sent {
		pr.ran = RanUnknown
	}
	sl.add("refused: %s: %s", pr.code, pr.message)
	da.recordRequest(co, ch.request, "refused")
	abortWithProblem(co, pr)
}

// runChat waits in the queue for a slot, sends the request to an endpoint and
// relays the answer. It returns nil once an endpoint has started to answer, even if
// the answer then fails, since the response has been written. Otherwise it returns
// errWithdrawn or a *problem, and nothing has been written.
func (da *Daemon) runChat(ctx context.Context, co *gin.Context, ch *chatRequest, tg target, sl *stepLog) error {
	pq := da.pools.get(modelPool(tg.model))
	ti, pr := da.chatTicket(ch, pq)
	if pr != nil {
		return pr
	}
	if err := pq.controller.Acquire(ctx, ti); err != nil {
		pr := admissionProblem(err)
		return &pr
	}
	da.metrics.QueueWait.Record(co, time.Since(ch.arrived).Seconds(), metric.With(metric.KeyRank, string(ch.rank.ID)))
	served := admission.Cost(0)
	defer func() { pq.controller.Release(ti, served) }()
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
		pq.observe(ch.rank.ID, int64(an.outputTokens()), time.Since(startedAt))
	case an.callerGone || ctx.Err() != nil:
		result = placement.Neutral
	default:
		result = placement.Failed
		da.rollouts.observe(tg, ch.rank.ID, rollout.Outcome{Failed: true})
	}
	da.releaseEndpoint(op.endpoint.ID, result)
	served = admission.Cost(an.outputTokens())
	return nil
}

// chatTicket returns the request's ticket for a queue. Its cost is the expected
// number of output tokens. Its latest start leaves the expected time to process the
// prompt and to generate the answer before the deadline.
func (da *Daemon) chatTicket(ch *chatRequest, pq *poolQueue) (*admission.Ticket, *problem) {
	or, ok := da.holder.Set().Organisations.ByID(ch.organisation)
	if !ok {
		return nil, unknownModel(ch.modelName)
	}
	tokens, generation := pq.estimate(ch.rank.ID, ch.maxTokens)
	promptTime := time.Duration(float64(ch.promptTokens()) / 1000 * secondsPerThousandPromptTokens * float64(time.Second))
	return &admission.Ticket{
		Organisation: ch.organisation, Share: or.Share, Rank: ch.rank.ID,
		Cost: admission.Cost(tokens), LatestStart: admission.LatestStart(ch.arrived, ch.deadline.Add(-promptTime), generation),
	}, nil
}

// finalError returns the error for the caller when all attempts have failed: err
// itself if it is errWithdrawn or a *problem, otherwise a *problem that describes
// it.
func (at *attempts) finalError(ctx context.Context, err error) error {
	var pr *problem
	if errors.Is(err, errWithdrawn) || errors.As(err, &pr) {
		return err
	}
	out := &problem{status: http.StatusBadGateway, code: "endpoint_failed", message: err.Error(), retryAt: time.Now().Add(defaultRetryDelay)}
	var fa *endpoint.Failure
	switch {
	case errors.As(err, &fa) && fa.InvalidRequest():
		out.status, out.code, out.retryAt = fa.Status, "endpoint_refused", time.Time{}
	case ctx.Err() != nil:
		out.status, out.code, out.message = http.StatusGatewayTimeout, "deadline_exceeded", "the deadline passed while an endpoint was asked"
	}
	return out
}

// abortChatOnError writes the problem when err is one. A nil err means that the
// response was already written.
func (da *Daemon) abortChatOnError(co *gin.Context, ch *chatRequest, sl *stepLog, err error) {
	var pr *problem
	if errors.As(err, &pr) {
		da.abortChat(co, ch, sl, *pr)
	}
}

// answerRelay relays one answer from an endpoint to the caller.
type answerRelay struct {
	daemon *Daemon
	chat   *chatRequest
	target target
	opened *openedAnswer
	steps  *stepLog
	answer answerBuilder
	// failure is why the answer is incomplete, nil when it is complete.
	failure error
	// callerGone is set when failure came from writing to the caller, not from
	// reading from the endpoint.
	callerGone bool
}

// outputTokens returns the completion tokens that the endpoint reported, or the
// number of content chunks when it reported none.
func (an *answerRelay) outputTokens() policy.Tokens {
	if an.answer.usage != nil {
		return an.answer.usage.CompletionTokens
	}
	return policy.Tokens(an.answer.contentChunks)
}

// inputTokens returns the prompt tokens that the endpoint reported, or an estimate
// from the size of the body.
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

// setHeaders sets the response headers of an answer. They name its version,
// endpoint and bill, state that the request was run, and hold the session's token
// and, if the session moved, its earlier version.
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

// relay reads the answer to its end and writes each chunk to the caller. It sets
// failure when either side fails.
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

// finish records the bill and only then writes the end of the answer to the
// caller. An incomplete answer is billed when the caller disconnected, but not when
// the endpoint failed or the deadline passed.
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
			message: "the answer was cut off and is not billed: " + an.failure.Error(), retryAt: time.Now().Add(defaultRetryDelay),
		})
	}
	an.daemon.recordRequest(co, an.chat.request, outcome)
}

// recordBill adds the bill of a chat answer.
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

// addBill adds a bill to the book and waits up to billCopyTimeout until a peer or
// the store has it. If neither has it by then, this is only logged and the answer
// goes on, since this entry keeps the bill until it is sealed.
func (da *Daemon) addBill(bi *rpc.Bill) {
	ctx, cancel := context.WithTimeout(da.group.Context(), billCopyTimeout)
	defer cancel()
	if err := da.book.Add(ctx, bi); err != nil {
		da.log.Warn(billNotCopied, err, billFields(bi))
	}
	da.metrics.Answers.Add(ctx, 1, metric.With(metric.KeyVersion, bi.GetVersion()))
	da.metrics.CostMicro.Add(ctx, bi.GetCost(), metric.With(metric.KeyVersion, bi.GetVersion()))
}

// billNotCopied is logged for a bill that neither a peer nor the store is known to
// have.
const billNotCopied = event.BillsNotCopied

func billFields(bi *rpc.Bill) event.Fields {
	return event.Fields{"bill": bi.GetId(), "organisation": bi.GetOrganisation(), "cost": bi.GetCost()}
}
