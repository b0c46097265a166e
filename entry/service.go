package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/oklog/ulid/v2"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/claim"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// maxPlainAnswerBytes is the size of a service's answer above which the attempt
	// fails.
	maxPlainAnswerBytes = 8 << 20
	// claimFinishTimeout is the longest time that an answer is held back until it is
	// stored with its claim.
	claimFinishTimeout = 2 * time.Second
	// claimTimeout is the longest time that a call waits for its claim.
	claimTimeout = 2 * time.Second
)

// serviceCall is a call to a plain service.
type serviceCall struct {
	*request
	service        policy.Service
	method         string
	path           string
	header         http.Header
	idempotencyKey string
	steps          *stepLog
}

// handleService serves /v1/services/SERVICE/PATH for all methods.
func (da *Daemon) handleService(co *gin.Context) {
	se := da.holder.Set()
	sv, pr := da.findService(co, se)
	if pr != nil {
		abortWithProblem(co, *pr)
		return
	}
	rq, pr := da.readRequest(co, se, func(_ policy.Rank, arrived time.Time) time.Time { return sv.Deadline(arrived) })
	if pr != nil {
		abortWithProblem(co, *pr)
		return
	}
	ca := &serviceCall{
		request: rq, service: sv, method: co.Request.Method, path: co.Param("path"),
		header: forwardedHeader(co.Request.Header), idempotencyKey: co.GetHeader(HeaderIdempotency),
		steps: da.explanations.startRequest(rq),
	}
	if qu := co.Request.URL.RawQuery; qu != "" {
		ca.path += "?" + qu
	}
	if len(ca.idempotencyKey) > maxIDBytes {
		abortWithProblem(co, *invalidRequest(HeaderIdempotency, "longer than 256 bytes"))
		return
	}
	da.budget.Received()
	ctx, cancel := context.WithDeadline(co.Request.Context(), ca.deadline)
	defer cancel()
	if pr := da.serveCall(ctx, co, ca); pr != nil {
		ca.steps.add("refused: %s: %s", pr.code, pr.message)
		da.recordRequest(co, rq, "refused")
		abortWithProblem(co, *pr)
	}
}

// findService returns the service that the path names, or a problem when it does
// not exist or the organisation may not use it.
func (da *Daemon) findService(co *gin.Context, se *policy.Set) (policy.Service, *problem) {
	id := policy.ServiceID(co.Param("service"))
	sv, ok := se.Services.ByID(id)
	or, _ := se.Organisations.ByID(policy.OrganisationID(co.GetString(organisationContextKey)))
	if !ok || or.Organisation == nil || !or.AllowsService(id) {
		return sv, &problem{status: http.StatusNotFound, code: "service_not_found", message: "no service " + strconv.Quote(string(id)) + " that the organisation may use"}
	}
	return sv, nil
}

// forwardedHeader returns the headers that are forwarded to a service: the content
// headers and the idempotency key. The caller's API key is not forwarded.
func forwardedHeader(he http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", HeaderIdempotency} {
		if va := he.Get(name); va != "" {
			out.Set(name, va)
		}
	}
	return out
}

func (ca *serviceCall) repeatable() bool { return ca.service.Repeatable(ca.method) }

// serveCall waits in the queue for a slot and runs the call. A call that may not be
// repeated and has an idempotency key is claimed in the store before it is run. It
// returns nil when it has written the response.
func (da *Daemon) serveCall(ctx context.Context, co *gin.Context, ca *serviceCall) *problem {
	pq := da.pools.get(servicePool(ca.service.ID))
	ti, pr := da.callTicket(ca)
	if pr != nil {
		return pr
	}
	if err := pq.controller.Acquire(ctx, ti); err != nil {
		pr := admissionProblem(err)
		return &pr
	}
	defer pq.controller.Release(ti, 1)
	if ca.repeatable() || ca.idempotencyKey == "" {
		return da.runCall(ctx, co, ca, nil)
	}
	claiming, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := claim.Key{Organisation: ca.organisation, Service: ca.service.ID, Idempotency: ca.idempotencyKey}
	ho, found, err := da.claimer.Claim(claiming, key, claim.NewFingerprint(ca.method, ca.path, ca.body), ca.deadline)
	switch {
	case errors.Is(err, claim.ErrMismatch):
		return &problem{status: http.StatusUnprocessableEntity, code: "idempotency_key_reused", param: HeaderIdempotency, message: "the key was used for a different call"}
	case err != nil:
		return &problem{
			status: http.StatusServiceUnavailable, code: "claim_unavailable",
			message: "the call cannot be claimed now and was not run", retryAt: time.Now().Add(unavailableRetryDelay),
		}
	case ho == nil:
		return da.answerDuplicate(co, ca, found)
	}
	ca.steps.add("claimed")
	return da.runCall(ctx, co, ca, ho)
}

// callTicket returns the call's ticket for the queue; each call costs 1.
func (da *Daemon) callTicket(ca *serviceCall) (*admission.Ticket, *problem) {
	or, ok := da.holder.Set().Organisations.ByID(ca.organisation)
	if !ok {
		return nil, &problem{status: http.StatusNotFound, code: "service_not_found", message: "no such service"}
	}
	return &admission.Ticket{Organisation: ca.organisation, Share: or.Share, Rank: ca.rank.ID, Cost: 1, LatestStart: ca.deadline}, nil
}

// answerDuplicate responds to a call that was claimed before: with the stored
// answer, or with a problem that states what is known of the earlier call.
func (da *Daemon) answerDuplicate(co *gin.Context, ca *serviceCall, re claim.Record) *problem {
	now := time.Now()
	ca.steps.add("claimed before: %s", re.State)
	switch {
	case re.State == claim.Finished && re.Answer.Kept:
		co.Header(HeaderReplayed, "true")
		co.Header(HeaderBill, re.Answer.BillID)
		co.Header(HeaderRan, string(HasRun))
		setWriteDeadline(co)
		co.Data(re.Answer.Status, re.Answer.ContentType, re.Answer.Body)
		da.recordRequest(co, ca.request, "replayed")
		return nil
	case re.State == claim.Finished:
		return &problem{status: http.StatusConflict, code: "answer_not_kept", ran: HasRun, message: "the call was run; its answer was too large to keep"}
	case re.Underway(now):
		return &problem{status: http.StatusConflict, code: "call_under_way", ran: RanUnknown, message: "the call is under way", retryAt: time.UnixMilli(re.DeadlineMS)}
	default:
		return &problem{status: http.StatusConflict, code: "outcome_unknown", ran: RanUnknown, message: "the call may have been run, and will not be run again"}
	}
}

// runCall sends a call and writes the response. It retries a failed call only when
// the call may be repeated, or when no byte of it can have reached an endpoint. ho
// is the call's claim, nil when it has none. An error that is not an
// *endpoint.Failure counts as one after which a byte may have reached the endpoint.
func (da *Daemon) runCall(ctx context.Context, co *gin.Context, ca *serviceCall, ho *claim.Hold) *problem {
	var tried []policy.EndpointID
	sent := false
	for n := int64(1); ; n++ {
		en, an, pr, err := da.sendCall(ctx, ca, tried)
		if pr != nil {
			return da.failCall(ho, sent, *pr)
		}
		if err == nil {
			return da.answerCall(co, ca, ho, en, an)
		}
		tried = append(tried, en.ID)
		var fa *endpoint.Failure
		sent = sent || !errors.As(err, &fa) || fa.Sent
		again := n < da.settings.GetServing().GetMaxAttempts() && ctx.Err() == nil && (ca.repeatable() || !sent)
		if !again || !da.budget.Take() {
			return da.failCall(ho, sent, problem{
				status: http.StatusBadGateway, code: "endpoint_failed", message: err.Error(), retryAt: time.Now().Add(defaultRetryDelay),
			})
		}
	}
}

// sendCall sends the call to one endpoint that was not tried before. A problem
// means that this attempt sent nothing; an error means that it failed.
func (da *Daemon) sendCall(ctx context.Context, ca *serviceCall, tried []policy.EndpointID) (policy.Endpoint, endpoint.PlainAnswer, *problem, error) {
	en, ok := da.tracker.Choose(time.Now(), da.pools.serviceEndpoints(ca.service.ID), 0, tried, da.usable)
	if !ok {
		return en, endpoint.PlainAnswer{}, &problem{
			status: http.StatusServiceUnavailable, code: string(admission.ReasonNoCapacity),
			message: "no endpoint serves the service now", retryAt: time.Now().Add(defaultRetryDelay),
		}, nil
	}
	if pr := da.callProblem(ca); pr != nil {
		da.tracker.Done(time.Now(), en.ID, placement.Neutral)
		return en, endpoint.PlainAnswer{}, pr, nil
	}
	ca.steps.add("sent to %s", en.ID)
	an, err := da.client.CallPlain(ctx, endpoint.PlainCall{
		URL: en.Url, Attempt: endpoint.AttemptID(ulid.Make().String()), Method: ca.method, Path: ca.path,
		Header: ca.header, Body: ca.body, Repeatable: ca.repeatable(), FirstByteDeadline: ca.deadline, MaxBytes: maxPlainAnswerBytes,
	})
	result := placement.Succeeded
	if err != nil {
		result = placement.Failed
		ca.steps.add("%s failed: %v", en.ID, err)
		da.log.Debug(event.AttemptFailed, err, event.Fields{"request": ca.id, "endpoint": en.ID})
	}
	if an.Load.Known {
		da.tracker.RecordUtilisation(time.Now(), en, an.Load.Utilisation)
	}
	da.releaseEndpoint(en.ID, result)
	return en, an, nil, err
}

// callProblem returns why a call must not be sent under the policy in force now,
// nil when it may.
func (da *Daemon) callProblem(ca *serviceCall) *problem {
	or, known := da.holder.Set().Organisations.ByID(ca.organisation)
	if !known || !or.AllowsService(ca.service.ID) {
		return &problem{status: http.StatusNotFound, code: "service_not_found", message: "the organisation may not use the service any more"}
	}
	return da.sendProblem()
}

// failCall returns the problem with ran set, and releases the call's claim when no
// byte of the call can have been sent.
func (da *Daemon) failCall(ho *claim.Hold, sent bool, pr problem) *problem {
	pr.ran = NotRun
	if sent {
		pr.ran = RanUnknown
	} else if ho != nil {
		da.claimer.Release(ho)
	}
	return &pr
}

// answerCall records the bill, stores the answer with the claim if there is one,
// and writes the answer to the caller. It always returns nil, which runCall returns
// in turn.
func (da *Daemon) answerCall(co *gin.Context, ca *serviceCall, ho *claim.Hold, en policy.Endpoint, an endpoint.PlainAnswer) *problem {
	contentType := an.Header.Get("Content-Type")
	da.addBill(&rpc.Bill{
		Id: ca.billID, Organisation: string(ca.organisation), RequestId: ca.id, Service: string(ca.service.ID),
		Rank: string(ca.rank.ID), Cost: ca.service.CostPerCall, FinishedAtMs: time.Now().UnixMilli(), Outcome: "answered",
	})
	if ho != nil {
		ctx, cancel := context.WithTimeout(da.group.Context(), claimFinishTimeout)
		defer cancel()
		kept := claim.Answer{Status: an.Status, ContentType: contentType, Body: an.Body, BillID: ca.billID}
		if err := da.claimer.Finish(ctx, ho, kept); err != nil {
			da.log.Warn(event.ClaimUnresolved, err, event.Fields{"request": ca.id})
		}
	}
	co.Header(HeaderEndpoint, string(en.ID))
	co.Header(HeaderBill, ca.billID)
	co.Header(HeaderRan, string(HasRun))
	setWriteDeadline(co)
	co.Data(an.Status, contentType, an.Body)
	da.recordRequest(co, ca.request, "answered")
	return nil
}
