package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/quantity"
)

const (
	chatPath = "/v1/chat/completions"
	// maxEventBytes is the largest size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumes is the largest number of attempts to resume one stream.
	maxResumes = 3
	// firstEventTimeoutFactor times the client's idle timeout is the longest wait
	// for the first event. It is longer than the idle timeout because it includes
	// the time in the engine's own queue.
	firstEventTimeoutFactor = 2
)

// errIncomplete is the error of a stream that ended without its last event.
var errIncomplete = eris.New("stream ended before its last event")

// errMismatched is the error of a chunk with the id of another request.
var errMismatched = eris.New("chunk belongs to another request")

// doneEvent is the data of the last event of a stream.
var doneEvent = []byte("[DONE]")

// EngineCall is one attempt to call an engine.
type EngineCall struct {
	// URL is the engine's base URL.
	URL     string
	Attempt AttemptID
	// Body is a chat completion request whose field stream is true.
	Body []byte
	// NewConnection is set if the call must not use a pooled connection.
	NewConnection bool
	// EchoesID is set if the engine returns the attempt's id in its header and
	// chunks.
	EchoesID bool
}

// Event is one server-sent event: a chunk of an answer. ID is -1 if the event has
// none.
type Event struct {
	ID   int64
	Data []byte
}

// Stream is the streamed answer of an engine. It is not safe for concurrent use, and
// must be closed.
type Stream struct {
	client *Client
	call   EngineCall
	ctx    context.Context
	conn   *connection
	reader *bufio.Reader
	// lastEventID is the id of the last chunk read, -1 if there is none.
	lastEventID int64
	// resumes counts the attempts to resume, up to maxResumes.
	resumes int
	load    Load
	// chunkID is the id that chunks of this attempt have if the engine echoes ids.
	chunkID string
	// ended is set when the last event has been read.
	ended bool
}

// Chat sends a request to an engine and blocks until it has the answer's header. The
// error is a *Failure.
func (cl *Client) Chat(ctx context.Context, ca EngineCall) (*Stream, error) {
	rq, err := http.NewRequest(http.MethodPost, ca.URL+chatPath, bytes.NewReader(ca.Body))
	if err != nil {
		return nil, &Failure{Cause: CauseUnreachable, Err: err}
	}
	rq.GetBody = nil // prevents net/http from sending the call a second time
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set(HeaderAttempt, string(ca.Attempt))
	hc := cl.pooled
	if ca.NewConnection {
		hc = cl.unpooled
	}
	st := &Stream{client: cl, call: ca, ctx: ctx, chunkID: "chatcmpl-" + string(ca.Attempt), lastEventID: -1}
	if fa := st.connect(hc, rq); fa != nil {
		return nil, fa
	}
	return st, nil
}

// connect sends a request for the stream or for its rest, and sets the connection to
// read from.
func (st *Stream) connect(hc *http.Client, rq *http.Request) *Failure {
	co, fa := st.client.open(st.ctx, hc, rq, firstEventTimeoutFactor*st.client.idleTimeout)
	if fa != nil {
		return fa
	}
	if co.response.StatusCode != http.StatusOK {
		return co.readRefusal()
	}
	if id := co.response.Header.Get(HeaderAttempt); st.call.EchoesID && id != "" && id != string(st.call.Attempt) {
		co.close()
		st.client.dropped.Add(1)
		return &Failure{Cause: CauseMismatched, Sent: true, Err: eris.Errorf("answer is for %q", id)}
	}
	if lo := parseLoad(co.response.Header.Get(HeaderLoad)); lo.Known {
		st.load = lo
	}
	st.conn, st.reader = co, bufio.NewReaderSize(co, 8192)
	return nil
}

// Resumes returns the number of attempts to resume the stream.
func (st *Stream) Resumes() int { return st.resumes }

// Load returns the load that the engine reported last.
func (st *Stream) Load() Load { return st.load }

// Next returns the next chunk, or io.EOF after the last one. Any other error is a
// *Failure. If the stream breaks, times out or contains another request's chunk, Next
// resumes it on a new connection after the last chunk read; this requires that a
// chunk with an id has been read. Next skips events that the engine repeats.
func (st *Stream) Next() (Event, error) {
	for {
		ev, err := st.readEvent()
		if err == nil && ev.ID >= 0 && ev.ID <= st.lastEventID {
			continue
		}
		if err == nil && bytes.Equal(ev.Data, doneEvent) {
			st.ended = true
			return Event{}, io.EOF
		}
		if err == nil && st.isOwnChunk(ev.Data) {
			st.lastEventID = max(st.lastEventID, ev.ID)
			return ev, nil
		}
		fa := st.failure(err)
		if st.ctx.Err() != nil || st.lastEventID < 0 {
			return Event{}, fa
		}
		if !st.resume() {
			return Event{}, fa
		}
	}
}

// failure returns the failure for an error of reading, or, if err is nil, for a
// chunk of another request, which it counts as dropped.
func (st *Stream) failure(err error) *Failure {
	if err != nil {
		return st.conn.readFailure(err)
	}
	st.client.dropped.Add(1)
	return &Failure{Cause: CauseMismatched, Sent: true, Err: errMismatched}
}

// isOwnChunk reports whether a chunk belongs to this attempt.
func (st *Stream) isOwnChunk(data []byte) bool {
	if !st.call.EchoesID {
		return true
	}
	id := gjson.GetBytes(data, "id")
	return !id.Exists() || id.Str == st.chunkID
}

// resume requests the rest of the stream from the engine, on a new connection, and
// reports whether the engine sends it. It tries again until the engine rejects the
// request as invalid, the stream has used up its maxResumes attempts, or the context
// is done.
func (st *Stream) resume() bool {
	st.conn.close()
	for st.resumes < maxResumes && st.ctx.Err() == nil {
		st.resumes++
		rq, err := http.NewRequest(http.MethodGet, st.call.URL+chatPath+"/"+string(st.call.Attempt), nil)
		if err != nil {
			return false
		}
		rq.Header.Set("Accept", "text/event-stream")
		rq.Header.Set("Last-Event-ID", strconv.FormatInt(st.lastEventID, 10))
		rq.Header.Set(HeaderAttempt, string(st.call.Attempt))
		fa := st.connect(st.client.unpooled, rq)
		if fa == nil {
			st.client.resumed.Add(1)
			return true
		}
		if fa.InvalidRequest() {
			return false
		}
	}
	return false
}

// readEvent reads one event from the connection.
func (st *Stream) readEvent() (Event, error) {
	ev := Event{ID: -1}
	for {
		line, err := st.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = st.readLongLine(line)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errIncomplete
			}
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && ev.Data != nil:
			return ev, nil
		case bytes.HasPrefix(line, []byte("data:")):
			ev.Data = append(ev.Data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		case bytes.HasPrefix(line, []byte("id:")):
			ev.ID = parseEventID(line[len("id:"):])
		}
		if len(ev.Data) > maxEventBytes {
			return Event{}, eris.Errorf("event is larger than %d bytes", maxEventBytes)
		}
	}
}

// readLongLine returns a whole line that does not fit into the reader's buffer and
// begins with start.
func (st *Stream) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		more, err := st.reader.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxEventBytes {
			return nil, eris.Errorf("event is larger than %d bytes", maxEventBytes)
		}
	}
}

// eventBounds are those of an event's id. After one of Max, all others would be taken for repeated
// ones.
var eventBounds = quantity.Bounds[int64]{Min: 0, Max: 1 << 53}

// parseEventID returns an event's id, or -1 if it is not a number below Max.
func parseEventID(text []byte) int64 {
	id, err := eventBounds.Parse(string(bytes.TrimSpace(text)))
	if err != nil || id == eventBounds.Max {
		return -1
	}
	return id
}

// Close closes the connection. If the last event has not been read, it asks the
// engine to cancel the request, and blocks until the engine answers or the client's
// idle timeout has passed.
func (st *Stream) Close() {
	st.conn.close()
	if st.ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(st.ctx), st.client.idleTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodDelete, st.call.URL+chatPath+"/"+string(st.call.Attempt), nil)
	if err != nil {
		return
	}
	rs, err := st.client.unpooled.Do(rq)
	if err == nil {
		_ = rs.Body.Close()
	}
}

// FirstEventDeadline returns the time at which an engine call that was sent at the
// given time fails with CauseSilent if no byte of the answer's body has been received.
func (cl *Client) FirstEventDeadline(sent time.Time) time.Time {
	return sent.Add(firstEventTimeoutFactor * cl.idleTimeout)
}
