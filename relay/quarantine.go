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

var errQuarantined = eris.New("a part of the prompt is in quarantine")

// quarantined returns the failure of a call whose prompt has a part in quarantine, nil if
// it has none.
func (ro *Router) quarantined(ca *call) *failure {
	retryAt, ok := ro.barred.Refuses(time.Now(), ca.request.sharedParts())
	if !ok {
		return nil
	}
	return &failure{err: errQuarantined, notRun: true, quarantined: true, retryAt: retryAt}
}

// probe reports whether a call that is refused for its prompt is sent all the same, once,
// as a probe of the quarantine.
func (ro *Router) probe(ctx context.Context, ca *call) bool {
	if ca.sends > 0 || ca.probing {
		return false
	}
	ca.probing = ro.barred.Probe(ctx, time.Now(), ca.request.sharedParts())
	return ca.probing
}

// provePrompt records, once, that the parts of the answer's prompt do not crash endpoints.
func (an *answer) provePrompt() {
	if !an.provedPrompt {
		an.provedPrompt = true
		an.router.barred.Proven(time.Now(), an.call.request.sharedParts())
	}
}

// noteEvent notes that the stream goes on.
func (an *answer) noteEvent() {
	if time.Since(an.beganAt) >= quarantine.ProvenAfter {
		an.provePrompt()
	}
}

// noteEnd notes that the stream is complete. One without events shows nothing.
func (an *answer) noteEnd() {
	if len(an.firstEvent.text) > 0 {
		an.provePrompt()
	}
}

// suspectAfterEvent is how long after its head an answer that has sent events may break
// off and still be blamed on its prompt. Such answers run beside the one that crashes the
// endpoint far more often than answers without events.
const suspectAfterEvent = 100 * time.Millisecond

// brokeOff records that reading the answer failed with err. The prompt can be the cause
// only if the endpoint broke the connection, shortly after the answer began; it is not if
// the caller left or the time was up.
func (an *answer) brokeOff(err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || an.source.ReadFailure(err).Cause != endpoint.CauseBroken {
		return
	}
	now, rq := time.Now(), an.call.request
	limit := quarantine.ProvenAfter
	if len(an.firstEvent.text) > 0 {
		limit = suspectAfterEvent
	}
	if len(rq.Prompt) == 0 || now.Sub(an.beganAt) >= limit {
		return
	}
	an.router.barred.Crashed(now, an.endpoint.ID, rq.lastPart(), rq.sharedParts())
}

// lastPart returns the ID of the prompt's last part, which belongs to the request or to
// its session.
func (rq *Request) lastPart() policy.PromptPartID { return rq.Prompt[len(rq.Prompt)-1].ID }
