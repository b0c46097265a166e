package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/worker"
)

const (
	// maxEventSize is the maximum size of an event in bytes.
	maxEventSize = 1 << 20
	// callerWriteTimeout is the time limit for writing one event to the caller.
	callerWriteTimeout = 10 * time.Second
	readBufferSize     = 4096
	// resumePause is the delay before a stream is resumed. When several endpoints
	// crash at once, the router needs this time to notice that the others are down
	// too, and would otherwise select one of them.
	resumePause = 40 * time.Millisecond
	// maxResumePause is the longest delay before a stream is resumed. It doubles with each
	// attempt.
	maxResumePause = 320 * time.Millisecond
	// refusedPause is that delay after an endpoint refused to continue it: each refusal costs
	// the endpoints and the retry budget, and room becomes free in no less time.
	refusedPause = time.Second
)

var (
	errTruncatedEvent  = eris.New("stream ended within an event")
	errBufferedAnswer  = eris.New("answer is not a stream, although the caller has a part of one")
	errUnnumberedEvent = eris.New("event has no id, although the stream can be resumed")
)

// streamEvent is one event with its text as received.
type streamEvent struct {
	id   EventID
	text []byte
}

// eventReader splits a stream into complete events.
type eventReader struct {
	rd *bufio.Reader
	// numbered reports whether every event must have an id.
	numbered bool
	// hold is what the event that is read holds of the VM's memory.
	hold *limit.Hold[policy.EndpointID]
}

func newEventReader(rd io.Reader, numbered bool, ho *limit.Hold[policy.EndpointID]) *eventReader {
	return &eventReader{rd: bufio.NewReaderSize(rd, readBufferSize), numbered: numbered, hold: ho}
}

// next returns the next event. It returns io.EOF after the last one,
// errTruncatedEvent if the stream ends within an event, errEndless if an event is too large or
// holds memory that others need, and errUnnumberedEvent if an event lacks its id: it may be text of
// another answer.
func (er *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	er.hold.Grow(0)
	for {
		line, err := er.rd.ReadSlice('\n')
		ev.text = append(ev.text, line...)
		if len(ev.text) > maxEventSize || !er.hold.Grow(int64(cap(ev.text))) {
			return streamEvent{}, errEndless
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && er.hold.Revoked() {
			return streamEvent{}, errEndless
		}
		if errors.Is(err, io.EOF) && len(ev.text) > 0 {
			return streamEvent{}, errTruncatedEvent
		}
		if err != nil {
			return streamEvent{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = parseEventID(value)
		}
		if len(line) > 0 || len(bytes.TrimSpace(ev.text)) == 0 {
			continue
		}
		if er.numbered && ev.id == 0 && !isComment(ev.text) {
			return streamEvent{}, errUnnumberedEvent
		}
		return ev, nil
	}
}

// parseEventID returns the number of an event, 0 if the text is none.
func parseEventID(text []byte) EventID {
	id, err := quantity.Bounds[EventID]{Min: 1, Max: MaxEventID}.Parse(string(bytes.TrimSpace(text)))
	if err != nil || id == MaxEventID {
		return 0
	}
	return id
}

// isComment reports whether a text consists of comment lines only, which endpoints send to
// keep a connection open.
func isComment(text []byte) bool {
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// streamRelay forwards a stream to the caller.
type streamRelay struct {
	router      *Router
	call        *call
	wr          http.ResponseWriter
	rc          *http.ResponseController
	lastEventID EventID
	// brokenAt holds the endpoints that broke the stream off. Those that were silent,
	// refused it or could not be reached may get it again.
	brokenAt []policy.EndpointID
	// lastWriteAt is when the last event was written to the caller;
	// longestPauseMs is the longest time between two writes, in milliseconds.
	lastWriteAt    time.Time
	longestPauseMs int64
}

// relayStream forwards a stream to the caller as it arrives, and resumes it at
// another endpoint if it breaks. It reports whether the stream was completed, and
// the longest pause between two events in milliseconds.
func (ro *Router) relayStream(ctx context.Context, wr http.ResponseWriter, ca *call, an *answer) (complete bool, longestMs int64) {
	sr := &streamRelay{router: ro, call: ca, wr: wr, rc: http.NewResponseController(wr), lastEventID: ca.request.LastEventID}
	ca.outlast()
	copyHeader(wr.Header(), an.header)
	wr.WriteHeader(an.status)
	for {
		err := sr.forward(an)
		an.close()
		if err == nil {
			an.noteEnd()
			an.finish(placement.Succeeded)
			return true, sr.longestPauseMs
		}
		if an = sr.resume(ctx, an, err); an == nil {
			return false, sr.longestPauseMs
		}
	}
}

// errCallerGone marks an error of a write to the caller.
var errCallerGone = eris.New("the caller has gone")

// forward writes the events of one endpoint's stream to the caller, except those
// that the caller has received before. It returns nil at the end of the stream.
func (sr *streamRelay) forward(an *answer) error {
	for ev := an.firstEvent; ; {
		if len(ev.text) == 0 {
			// net/http writes the end of the answer when the handler returns.
			if err := sr.allowWrite(time.Now()); err != nil {
				return errors.Join(errCallerGone, err)
			}
			return nil
		}
		an.notePace()
		if ev.id == 0 || ev.id > sr.lastEventID {
			if err := sr.write(ev); err != nil {
				return errors.Join(errCallerGone, err)
			}
		}
		var err error
		if ev, err = an.stream.next(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
}

func (sr *streamRelay) write(ev streamEvent) error {
	now := time.Now()
	if !sr.lastWriteAt.IsZero() {
		sr.longestPauseMs = max(sr.longestPauseMs, now.Sub(sr.lastWriteAt).Milliseconds())
	}
	sr.lastWriteAt = now
	if err := sr.allowWrite(now); err != nil {
		return err
	}
	if _, err := sr.wr.Write(ev.text); err != nil {
		return err
	}
	sr.lastEventID = max(sr.lastEventID, ev.id)
	return sr.rc.Flush()
}

// allowWrite gives the next write to the caller its time.
func (sr *streamRelay) allowWrite(now time.Time) error {
	return sr.rc.SetWriteDeadline(now.Add(callerWriteTimeout))
}

// resume continues the stream at another endpoint after the last event that the
// caller has received. It tries again until the request's deadline while no endpoint takes
// the request, as its caller has nothing better to wait for. It returns nil if the request
// may not be sent again.
func (sr *streamRelay) resume(ctx context.Context, an *answer, cause error) *answer {
	ro, ca := sr.router, sr.call
	if errors.Is(cause, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		an.finish(placement.Neutral)
		return nil
	}
	if sr.outOfTime(an, cause) {
		an.finish(placement.Neutral)
		sr.logCut(ctx, an, cause, &failure{err: cause})
		return nil
	}
	an.brokeOff(cause)
	fa := &failure{err: cause, retryTaken: an.retryTaken.Load()}
	ca.replacement = an.takeReplacement()
	sr.noteBroken(an, cause)
	pause := resumePause
	for ca.route.Resumable && worker.Sleep(ctx, pause) && ro.retryAllowed(ctx, ca, fa) && sr.hasEndpointLeft() {
		pause = min(2*min(pause, maxResumePause), maxResumePause)
		if !ro.takeRetry(ctx, ca, fa) {
			continue
		}
		var next *answer
		next, fa = ro.attempt(ctx, ca, sr.lastEventID)
		if fa == nil && next.stream != nil {
			ro.log.InfoLimited(event.StreamResumed, event.Fields{"request": ca.request.ID, "from": an.endpoint.ID, "to": next.endpoint.ID, "after_event": sr.lastEventID, "prompt": ca.request.sharedParts(), "error": cause.Error(), "cause": string(an.source.ReadFailure(cause).Cause)})
			return next
		}
		if fa == nil {
			// A buffered answer cannot continue a stream.
			next.discard()
			fa = &failure{err: errBufferedAnswer}
			break
		}
		sr.noteRefused(fa)
		if fa.refused() {
			pause = refusedPause
		}
	}
	sr.logCut(ctx, an, cause, fa)
	return nil
}

// noteBroken records that an answer broke off. If the path to its endpoint failed, that says
// nothing of the endpoint.
func (sr *streamRelay) noteBroken(an *answer, cause error) {
	if an.pathFault {
		an.finish(placement.Neutral)
		return
	}
	ro, ca := sr.router, sr.call
	result := placement.Failed
	if errors.Is(cause, errEndless) {
		result = placement.Flooded
	}
	an.finish(result)
	ca.failedEndpoints = append(ca.failedEndpoints, an.endpoint.ID)
	if an.source.ReadFailure(cause).Cause != endpoint.CauseSilent {
		sr.brokenAt = append(sr.brokenAt, an.endpoint.ID)
	}
	ro.releases.observe(ca, an.endpoint, rollout.Outcome{Failed: true})
}

// outOfTime reports whether a stream ended at its request's deadline although its endpoint was
// not silent. That shows nothing against the endpoint.
func (sr *streamRelay) outOfTime(an *answer, cause error) bool {
	return errors.Is(cause, context.DeadlineExceeded) && time.Since(sr.lastWriteAt) < an.idleTimeout()
}

// hasEndpointLeft reports whether there is an endpoint that has not broken the stream off.
func (sr *streamRelay) hasEndpointLeft() bool {
	ens := sr.router.fleet.forService(time.Now(), sr.call.service.ID)
	return slices.ContainsFunc(ens, func(en policy.Endpoint) bool { return !slices.Contains(sr.brokenAt, en.ID) })
}

// noteRefused records a failed attempt to resume. One that was not run leaves the request its
// number of sends. Once all endpoints have been tried, each that has not broken the stream off
// may get it again.
func (sr *streamRelay) noteRefused(fa *failure) {
	ca := sr.call
	if fa.refused() {
		ca.sends--
	}
	if fa.noEndpoint {
		ca.failedEndpoints = slices.Clone(sr.brokenAt)
	}
}

// logCut logs that the caller's connection is closed within its answer, unless the caller has left
// it already. cause is why the answer broke, last the failure after which it was not resumed.
func (sr *streamRelay) logCut(ctx context.Context, an *answer, cause error, last *failure) {
	ca := sr.call
	fields := event.Fields{
		"request": ca.request.ID, "endpoint": an.endpoint.ID, "after_event": sr.lastEventID, "prompt": ca.request.sharedParts(), "sends": ca.sends,
		"cause": string(an.source.ReadFailure(cause).Cause), "last": last.err.Error(), "left_ms": time.Until(ca.deadline).Milliseconds(),
		"caller_left": errors.Is(ctx.Err(), context.Canceled),
	}
	if last.noEndpoint {
		fields["blocked"] = sr.router.blockedEndpoints(time.Now(), ca)
	}
	sr.router.log.WarnLimited(event.StreamCut, cause, fields)
}
