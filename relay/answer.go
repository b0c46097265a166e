package relay

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// maxBufferedBody is the maximum size in bytes of an answer that is buffered
	// until it is complete.
	maxBufferedBody = 8 << 20
	// eventStreamType is the media type of an answer that is a stream of events.
	eventStreamType = "text/event-stream"
)

var (
	// errEndless is the failure of an answer without a length that is too large, or did not end
	// before it held memory that others need.
	errEndless = eris.New("answer is too large, or does not end")
	// errTooLarge is that of an answer with a length.
	errTooLarge = eris.Errorf("answer is larger than %d bytes, or than there is memory for", maxBufferedBody)
)

// answer is an answer that has begun to arrive.
type answer struct {
	*attempt
	// beganAt is when the head arrived.
	beganAt time.Time
	head    AnswerHead
	status  int
	header  http.Header
	body    heldBody
	// stream is nil for buffered answers. firstEvent has already been read from
	// it, and is empty if the stream has no events.
	stream     *eventReader
	firstEvent streamEvent
	// hold is what the body, or an event, holds of the VM's memory.
	hold *limit.Hold[policy.EndpointID]
	// resumed reports whether the answer goes on where another one broke off.
	resumed bool
	// pace measures the time between the stream's events.
	pace   pace
	source *endpoint.ForwardAnswer
}

// receive checks the head of the answer, then reads a stream's first event or a
// buffered answer's body.
func (an *answer) receive() (*answer, *failure) {
	ca := an.call
	switch {
	case an.head.Request != "" && an.head.Request != ca.request.ID:
		an.source.Close()
		return nil, &failure{err: errWrongRequest}
	case an.head.NotRun && an.head.Request == "":
		an.source.Close()
		return nil, &failure{err: errNoRequestID}
	case an.head.NotRun:
		an.source.Close()
		return nil, &failure{err: errNotRun, notRun: true, noEndpoint: an.refusalEndsCall()}
	case an.status < http.StatusOK:
		an.source.Close()
		return nil, &failure{err: errInvalidStatus}
	case !an.head.Signed && an.status < http.StatusMultipleChoices:
		an.source.Close()
		return nil, &failure{err: errUnsigned}
	case an.header.Get("Content-Encoding") != "":
		an.source.Close()
		return nil, &failure{err: errContentEncoding}
	}
	if ca.wantsStream() && an.status == http.StatusOK && isStream(an.header) {
		return an.readFirstEvent()
	}
	return an.readBody()
}

func isStream(he http.Header) bool {
	mt, _, err := mime.ParseMediaType(he.Get("Content-Type"))
	return err == nil && mt == eventStreamType
}

func (an *answer) readFirstEvent() (*answer, *failure) {
	an.stream = newEventReader(an.source, an.call.route.Resumable, an.hold)
	ev, err := an.stream.next()
	if errors.Is(err, io.EOF) && an.source.EndsWithConnection {
		// The end of the connection does not tell a stream without events from one that
		// broke off.
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, io.EOF) {
		an.close()
		return nil, an.brokenOff(err)
	}
	an.firstEvent = ev
	an.recordStart()
	return an, nil
}

func (an *answer) readBody() (*answer, *failure) {
	defer an.source.Close()
	if an.source.Length > maxBufferedBody {
		return nil, &failure{err: errTooLarge}
	}
	body, err := readHeld(an.source, an.hold)
	if err != nil {
		an.hold.Close()
		if errors.Is(err, errEndless) && an.source.Length >= 0 {
			err = errTooLarge
		}
		return nil, an.brokenOff(err)
	}
	an.body = body
	if an.status >= http.StatusBadRequest {
		an.hold.Close()
		callerError := an.status < http.StatusInternalServerError && an.status != http.StatusTooManyRequests && an.status != http.StatusRequestTimeout
		return nil, &failure{err: errFailureStatus, answer: an, callerError: callerError}
	}
	an.recordStart()
	an.noteWhole()
	an.finish(placement.Succeeded)
	return an, nil
}

// close closes the answer's source, and gives up its memory.
func (an *answer) close() {
	an.source.Close()
	an.hold.Close()
}

// brokenOff returns the failure for an error of reading the answer.
func (an *answer) brokenOff(err error) *failure {
	if errors.Is(err, errEndless) || errors.Is(err, errTooLarge) {
		return &failure{err: err, begun: true}
	}
	fa := failureOf(an.source.ReadFailure(err))
	fa.begun = true
	an.brokeOff(err)
	return fa
}

// discard closes an answer of which the caller has received nothing. For the
// endpoint the attempt counts as a success.
func (an *answer) discard() {
	an.close()
	an.finish(placement.Succeeded)
	if an.stream != nil {
		an.router.brittle.Abandoned(time.Now(), an.endpoint)
	}
}

// writeBuffered writes a buffered answer to the caller.
func (an *answer) writeBuffered(wr http.ResponseWriter, status int) {
	copyHeader(wr.Header(), an.header)
	wr.Header().Set("Content-Length", strconv.Itoa(an.body.size))
	wr.WriteHeader(status)
	an.body.write(wr)
	an.hold.Close()
}

// connectionHeaders are headers that apply to one connection only, or that are set
// anew for the caller.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// copyHeader copies an endpoint's headers, except those of the connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // stops net/http from detecting one
	}
}
