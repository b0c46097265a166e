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
	maxPlainAnswerBytes = 8 << 20
	// finishWait is the longest that an answer waits to be kept.
	finishWait = 2 * time.Second
	// claimWait is the longest that a call waits for its claim.
	claimWait = 2 * time.Second
)

// call is a call of a plain service.
type call struct {
	*request
	service     policy.Service
	method      string
	path        string
	header      http.Header
	idempotency string
	explain     *explain
}

// handleService serves /v1/services/SERVICE/PATH.
func (da *Daemon) handleService(co *gin.Context) {
	se := da.holder.Set()
	sv, pr := da.findService(co, se)
	if pr != nil {
		refuse(co, *pr)
		return
	}
	rq, pr := da.readRequest(co, se, func(_ policy.Rank, arrived time.Time) time.Time { return sv.Deadline(arrived) })
	if pr != nil {
		refuse(co, *pr)
		return
	}
	ca := &call{
		request: rq, service: sv, method: co.Request.Method, path: co.Param("path"),
		header: forwardedHeader(co.Request.Header), idempotency: co.GetHeader(HeaderIdempotency),
		explain: da.explains.start(rq),
	}
	if qu := co.Request.URL.RawQuery; qu != "" {
		ca.path += "?" + qu
	}
	if len(ca.idempotency) > maxIDBytes {
		refuse(co, *invalid(HeaderIdempotency, "longer than 256 bytes"))
		return
	}
	da.budget.Received()
	ctx, cancel := context.WithDeadline(co.Request.Context(), ca.deadline)
	defer cancel()
	if pr := da.serveCall(ctx, co, ca); pr != nil {
		ca.explain.add("refused: %s: %s", pr.code, pr.message)
		da.count(co, rq, "refused")
		refuse(co, *pr)
	}
}

func (da *Daemon) findService(co *gin.Context, se *policy.Set) (policy.Service, *problem) {
	id := policy.ServiceID(co.Param("service"))
	sv, ok := se.Services.ByID(id)
	or, _ := se.Organisations.ByID(policy.OrganisationID(co.GetString(keyOrganisation)))
	if !ok || or.Organisation == nil || !or.AllowsService(id) {
		return sv, &problem{status: http.StatusNotFound, code: "service_not_found", message: "no service " + strconv.Quote(string(id)) + " that the organisation may use"}
	}
	return sv, nil
}

// forwardedHeader gives the headers that go on to a service: what describes
// the body, and the idempotency key. The caller's key does not.
func forwardedHeader(he http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", HeaderIdempotency} {
		if va := he.Get(name); va != "" {
			out.Set(name, va)
		}
	}
	return out
}

func (ca *call) repeatable() bool { return ca.service.Repeatable(ca.method) }

// serveCall runs a call through the queue; one that may not be repeated and
// has a key is claimed first.
func (da *Daemon) serveCall(ctx context.Context, co *gin.Context, ca *call) *problem {
	pl := da.pools.get(servicePool(ca.service.ID))
	ti, pr := da.callTicket(ca)
	if pr != nil {
		return pr
	}
	if err := pl.gate.Acquire(ctx, ti); err != nil {
		pr := admissionProblem(err)
		return &pr
	}
	defer pl.gate.Release(ti, 1)
	if ca.repeatable() || ca.idempotency == "" {
		return da.runCall(ctx, co, ca, nil)
	}
	claiming, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	key := claim.Key{Organisation: ca.organisation, Service: ca.service.ID, Idempotency: ca.idempotency}
	ho, found, err := da.claimer.Claim(claiming, key, claim.NewFingerprint(ca.method, ca.path, ca.body), ca.deadline)
	switch {
	case errors.Is(err, claim.ErrMismatch):
		return &problem{status: http.StatusUnprocessableEntity, code: "idempotency_key_reused", param: HeaderIdempotency, message: "the key was used for a different call"}
	case err != nil:
		return &problem{
			status: http.StatusServiceUnavailable, code: "claim_unavailable",
			message: "the call cannot be claimed now and was not run", retryAt: time.Now().Add(isolatedRetry),
		}
	case ho == nil:
		return da.repeated(co, ca, found)
	}
	ca.explain.add("claimed")
	return da.runCall(ctx, co, ca, ho)
}

func (da *Daemon) callTicket(ca *call) (*admission.Ticket, *problem) {
	or, ok := da.holder.Set().Organisations.ByID(ca.organisation)
	if !ok {
		return nil, &problem{status: http.StatusNotFound, code: "service_not_found", message: "no such service"}
	}
	return &admission.Ticket{Organisation: ca.organisation, Share: or.Share, Rank: ca.rank.ID, Cost: 1, LatestStart: ca.deadline}, nil
}

// repeated answers a call that was claimed before.
func (da *Daemon) repeated(co *gin.Context, ca *call, re claim.Record) *problem {
	now := time.Now()
	ca.explain.add("claimed before: %s", re.State)
	switch {
	case re.State == claim.Finished && re.Answer.Kept:
		co.Header(HeaderReplayed, "true")
		co.Header(HeaderBill, re.Answer.BillID)
		co.Header(HeaderRan, string(HasRun))
		limitWrite(co)
		co.Data(re.Answer.Status, re.Answer.ContentType, re.Answer.Body)
		da.count(co, ca.request, "replayed")
		return nil
	case re.State == claim.Finished:
		return &problem{status: http.StatusConflict, code: "answer_not_kept", ran: HasRun, message: "the call was run; its answer was too large to keep"}
	case re.Underway(now):
		return &problem{status: http.StatusConflict, code: "call_under_way", ran: RanUnknown, message: "the call is under way", retryAt: time.UnixMilli(re.DeadlineMS)}
	default:
		return &problem{status: http.StatusConflict, code: "outcome_unknown", ran: RanUnknown, message: "the call may have been run, and will not be run again"}
	}
}

// runCall sends a call, again only when it may be repeated, or when no byte of
// it can have reached an endpoint.
func (da *Daemon) runCall(ctx context.Context, co *gin.Context, ca *call, ho *claim.Hold) *problem {
	var tried []policy.EndpointID
	sent := false
	for n := int64(1); ; n++ {
		en, an, pr, err := da.sendCall(ctx, ca, tried)
		if pr != nil {
			return da.callFailed(ho, sent, *pr)
		}
		if err == nil {
			return da.answerCall(co, ca, ho, en, an)
		}
		tried = append(tried, en.ID)
		var fa *endpoint.Failure
		sent = sent || !errors.As(err, &fa) || fa.Sent
		again := n < da.set.GetServing().GetMaxAttempts() && ctx.Err() == nil && (ca.repeatable() || !sent)
		if !again || !da.budget.Take() {
			return da.callFailed(ho, sent, problem{
				status: http.StatusBadGateway, code: "endpoint_failed", message: err.Error(), retryAt: time.Now().Add(overloadedRetry),
			})
		}
	}
}

// sendCall makes one attempt.
func (da *Daemon) sendCall(ctx context.Context, ca *call, tried []policy.EndpointID) (policy.Endpoint, endpoint.PlainAnswer, *problem, error) {
	en, ok := da.tracker.Choose(time.Now(), da.pools.service(ca.service.ID), 0, tried, da.usable)
	if !ok {
		return en, endpoint.PlainAnswer{}, &problem{
			status: http.StatusServiceUnavailable, code: string(admission.ReasonNoCapacity),
			message: "no endpoint serves the service now", retryAt: time.Now().Add(overloadedRetry),
		}, nil
	}
	if pr := da.mayCall(ca); pr != nil {
		da.tracker.Done(time.Now(), en.ID, placement.Neutral)
		return en, endpoint.PlainAnswer{}, pr, nil
	}
	ca.explain.add("sent to %s", en.ID)
	an, err := da.client.Plain(ctx, endpoint.PlainCall{
		URL: en.Url, Attempt: endpoint.AttemptID(ulid.Make().String()), Method: ca.method, Path: ca.path,
		Header: ca.header, Body: ca.body, Repeatable: ca.repeatable(), Deadline: ca.deadline, MaxBytes: maxPlainAnswerBytes,
	})
	result := placement.Succeeded
	if err != nil {
		result = placement.Failed
		ca.explain.add("%s failed: %v", en.ID, err)
		da.log.Debug(event.AttemptFailed, err, event.Fields{"request": ca.id, "endpoint": en.ID})
	}
	if an.Load.Known {
		da.tracker.RecordUtilisation(time.Now(), en, an.Load.Utilisation)
	}
	da.endpointDone(en.ID, result)
	return en, an, nil, err
}

// mayCall tells why a call must not be sent under the policy in force now.
func (da *Daemon) mayCall(ca *call) *problem {
	or, known := da.holder.Set().Organisations.ByID(ca.organisation)
	if !known || !or.AllowsService(ca.service.ID) {
		return &problem{status: http.StatusNotFound, code: "service_not_found", message: "the organisation may not use the service any more"}
	}
	return da.cannotSend()
}

// callFailed says whether a failed call was run, and gives its claim back when
// nothing of it was sent.
func (da *Daemon) callFailed(ho *claim.Hold, sent bool, pr problem) *problem {
	pr.ran = NotRun
	if sent {
		pr.ran = RanUnknown
	} else if ho != nil {
		da.claimer.Release(ho)
	}
	return &pr
}

// answerCall bills a call, keeps its answer, and gives it to the caller.
func (da *Daemon) answerCall(co *gin.Context, ca *call, ho *claim.Hold, en policy.Endpoint, an endpoint.PlainAnswer) *problem {
	contentType := an.Header.Get("Content-Type")
	da.keepBill(&rpc.Bill{
		Id: ca.billID, Organisation: string(ca.organisation), RequestId: ca.id, Service: string(ca.service.ID),
		Rank: string(ca.rank.ID), Cost: ca.service.CostPerCall, FinishedAtMs: time.Now().UnixMilli(), Outcome: "answered",
	})
	if ho != nil {
		ctx, cancel := context.WithTimeout(da.group.Context(), finishWait)
		defer cancel()
		kept := claim.Answer{Status: an.Status, ContentType: contentType, Body: an.Body, BillID: ca.billID}
		if err := da.claimer.Finish(ctx, ho, kept); err != nil {
			da.log.Warn(event.ClaimUnresolved, err, event.Fields{"request": ca.id})
		}
	}
	co.Header(HeaderEndpoint, string(en.ID))
	co.Header(HeaderBill, ca.billID)
	co.Header(HeaderRan, string(HasRun))
	limitWrite(co)
	co.Data(an.Status, contentType, an.Body)
	da.count(co, ca.request, "answered")
	return nil
}
