package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
)

var errQuarantined = eris.New("a part of the prompt, or the request, is in quarantine")

// subjects returns what the call may be refused for, and what it may be blamed for if an
// endpoint crashes under it.
func (ca *call) subjects() []policy.Subject {
	return append(ca.partSubjects(), policy.Subject{Request: ca.fingerprint})
}

// partSubjects returns the parts of the prompt that other requests may share.
func (ca *call) partSubjects() []policy.Subject {
	var out []policy.Subject
	for _, part := range ca.request.sharedParts() {
		out = append(out, policy.Subject{Part: part})
	}
	return out
}

// quarantined returns the failure of a call of which a subject is in quarantine, nil if none
// is.
func (ro *Router) quarantined(ca *call) *failure {
	re, ok := ro.barred.Refuses(time.Now(), ca.subjects())
	if !ok {
		return nil
	}
	reason := ReasonQuarantined
	if re.Subject.Request != "" {
		reason = ReasonRequestQuarantined
	}
	return &failure{err: errQuarantined, notRun: true, quarantined: true, refusal: reason, retryAt: re.RetryAt}
}

// probe reports whether a call that is refused is sent all the same, once, as a probe of the
// quarantine.
func (ro *Router) probe(ctx context.Context, ca *call) bool {
	if ca.sends > 0 || ca.probing {
		return false
	}
	ca.probing = ro.barred.Probe(ctx, time.Now(), ca.subjects())
	return ca.probing
}

// proveRequest records, once, that the answer's request does not crash endpoints.
func (an *answer) proveRequest() {
	if !an.provedRequest {
		an.provedRequest = true
		an.router.barred.Proven(time.Now(), an.call.service.ID, an.call.subjects())
	}
}

// noteEvent notes that the stream goes on.
func (an *answer) noteEvent() {
	an.notePace()
	if time.Since(an.beganAt) >= quarantine.ProvenAfter {
		an.proveRequest()
	}
}

// noteEnd notes that the stream is complete. One without events shows nothing.
func (an *answer) noteEnd() {
	an.notePaceAtEnd()
	if len(an.firstEvent.text) > 0 {
		an.proveRequest()
	}
}

// suspectAfterEvent is how long after its head an answer that has sent events may break
// off and still be blamed on its prompt's parts. Such answers run beside the one that
// crashes the endpoint far more often than answers without events.
const suspectAfterEvent = 100 * time.Millisecond

// brokeOff records that reading the answer failed with err. The request can be the cause
// only if the endpoint broke the connection, shortly after the answer began; it is not if
// the caller left or the time was up.
func (an *answer) brokeOff(err error) {
	now := time.Now()
	if errors.Is(err, errEndless) || an.excused(an.source.ReadFailure(err)) {
		return
	}
	if !isCrash(an.source.ReadFailure(err), err) {
		return
	}
	moment, lasted := quarantine.AfterHead, now.Sub(an.beganAt)
	if len(an.firstEvent.text) > 0 {
		moment = quarantine.AfterEvent
	}
	switch {
	case lasted >= quarantine.ProvenAfter:
		an.blame(now, moment, lasted)
	case moment == quarantine.AfterEvent && lasted >= suspectAfterEvent:
		an.blame(now, moment, lasted, policy.Subject{Request: an.call.fingerprint})
	default:
		an.blame(now, moment, lasted, an.call.subjects()...)
	}
}

// brokeBeforeHead records that an attempt failed before the head of an answer arrived. The
// parts of a prompt crash endpoints only after it.
func (at *attempt) brokeBeforeHead(err error) {
	var fa *endpoint.Failure
	if errors.As(err, &fa) && fa.Sent && isCrash(fa, err) {
		at.blame(time.Now(), quarantine.BeforeHead, 0, policy.Subject{Request: at.call.fingerprint})
	}
}

// isCrash reports whether a failure is that of an endpoint that broke the connection, and
// not of a caller that left or of a deadline.
func isCrash(fa *endpoint.Failure, err error) bool {
	return fa.Cause == endpoint.CauseBroken && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// blame reports that the attempt's endpoint broke off its answer, and which subjects of the call
// may be the cause.
func (at *attempt) blame(now time.Time, moment quarantine.Moment, afterHead time.Duration, sus ...policy.Subject) {
	ca := at.call
	at.router.barred.Crashed(now, quarantine.Break{
		Service: ca.service.ID, Endpoint: at.endpoint.ID, Request: string(ca.request.ID), LastPart: ca.request.lastPart(),
		Moment: moment, AfterHead: afterHead, Subjects: sus,
	})
}

// lastPart returns the ID of the prompt's last part, which belongs to the request or to
// its session, "" if the request has no prompt.
func (rq *Request) lastPart() policy.PromptPartID {
	if len(rq.Prompt) == 0 {
		return ""
	}
	return rq.Prompt[len(rq.Prompt)-1].ID
}
