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

// noteWhole records that the answer was whole: its request does not crash endpoints. If only the
// end of the connection showed the end, that remains to be seen.
func (an *answer) noteWhole() {
	now, ca := time.Now(), an.call
	if an.source.EndsWithConnection {
		an.router.barred.Ended(an.endpoint.Run(), an.breakAt(now, quarantine.AtEnd, now.Sub(an.beganAt)))
		return
	}
	an.router.barred.Proven(now, ca.service.ID, ca.subjects())
}

// noteEnd notes that the stream is complete. One without events shows nothing, nor does the rest of
// one that broke off: an endpoint may crash in the middle of each.
func (an *answer) noteEnd() {
	an.notePaceAtEnd()
	if len(an.firstEvent.text) > 0 && !an.resumed {
		an.noteWhole()
	}
}

// brokeOff records that reading the answer failed with err. The request can be the cause only if
// the endpoint broke the connection; it is not if the caller left or the time was up.
func (an *answer) brokeOff(err error) {
	now := time.Now()
	if errors.Is(err, errEndless) || an.excused(an.source.ReadFailure(err)) || !isCrash(an.source.ReadFailure(err), err) {
		return
	}
	an.router.barred.Failed(now, an.service(), an.endpoint.Run())
	moment := quarantine.AfterHead
	if len(an.firstEvent.text) > 0 {
		moment = quarantine.AfterEvent
	}
	an.blame(now, moment, now.Sub(an.beganAt))
}

// failedBeforeHead records that an attempt failed at a time, before the whole head of an answer had
// arrived. What the endpoint had written of it may have been lost with its process.
func (at *attempt) failedBeforeHead(now time.Time, err error) {
	var fa *endpoint.Failure
	if !errors.As(err, &fa) || errors.Is(err, context.Canceled) {
		return
	}
	if fa.Cause == endpoint.CauseUnreachable || isCrash(fa, err) {
		at.router.barred.Failed(now, at.service(), at.endpoint.Run())
	}
	if fa.Sent && isCrash(fa, err) {
		at.blame(now, quarantine.BeforeHead, 0)
	}
}

// isCrash reports whether a failure is that of an endpoint that broke the connection, and
// not of a caller that left or of a deadline.
func isCrash(fa *endpoint.Failure, err error) bool {
	return fa.Cause == endpoint.CauseBroken && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// blame reports that the attempt's endpoint broke off its answer at a time. When an endpoint crashes,
// so do the answers to all requests there: what tells the cause is not the moment at which an
// answer broke, but that it is in every crash.
func (at *attempt) blame(now time.Time, moment quarantine.Moment, afterHead time.Duration) {
	at.call.counted = at.router.barred.Crashed(at.breakAt(now, moment, afterHead))
}

// breakAt describes a break of the attempt's answer at a time.
func (at *attempt) breakAt(now time.Time, moment quarantine.Moment, afterHead time.Duration) quarantine.Break {
	ca := at.call
	return quarantine.Break{
		Service: ca.service.ID, Endpoint: at.endpoint.ID, StartedAtMs: at.endpoint.StartedAtMs, Address: addressOf(at.endpoint), Request: string(ca.request.ID), LastPart: ca.request.lastPart(),
		Moment: moment, AfterHead: afterHead, At: now, FoundAt: now, Subjects: ca.subjects(),
	}
}

// countTimeout is how long a request waits until the last crash under it has been counted.
const countTimeout = 150 * time.Millisecond

// awaitCount blocks until the last crash under the call has been counted, or for countTimeout. A
// request with a part that is the cause must not be sent again before that is known.
func (ca *call) awaitCount(ctx context.Context) {
	if ca.counted == nil || len(ca.request.Prompt) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	select {
	case <-ca.counted:
	case <-ctx.Done():
	}
	ca.counted = nil
}

// lastPart returns the ID of the prompt's last part, which belongs to the request or to
// its session, "" if the request has no prompt.
func (rq *Request) lastPart() policy.PromptPartID {
	if len(rq.Prompt) == 0 {
		return ""
	}
	return rq.Prompt[len(rq.Prompt)-1].ID
}
