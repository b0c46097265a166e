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
)

const (
	chatPath = "/v1/chat/completions"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumes bounds how often one stream is asked for again.
	maxResumes = 3
	// firstEventTimeoutFactor times the progress limit is the longest wait for the
	// first event, which takes in the engine's own queue.
	firstEventTimeoutFactor = 2
)

// errIncomplete marks a stream that ended without its last event.
var errIncomplete = eris.New("stream ended before its last event")

// errMismatched marks a chunk that carries another request's id.
var errMismatched = eris.New("chunk belongs to another request")

var doneEvent = []byte("[DONE]")

// EngineCall is one attempt at an engine.
type EngineCall struct {
	URL     string
	Attempt AttemptID
	// Body is a chat completion request with stream set.
	Body []byte
	// NewConnection asks for a new connection.
	NewConnection bool
	// EchoesID tells that the engine's chunks carry the attempt's id.
	EchoesID bool
}

// Event is one chunk of an answer.
type Event struct {
	ID   int64
	Data []byte
}

// Stream is an answer being read. It is used by one goroutine.
type Stream struct {
	client      *Client
	call        EngineCall
	ctx         context.Context
	conn        *connection
	reader      *bufio.Reader
	lastEventID int64
	resumes     int
	load        Load
	chunkID     string
	ended       bool
}

// Chat sends a request to an engine. The error is a *Failure.
func (cl *Client) Chat(ctx context.Context, ca EngineCall) (*Stream, error) {
	rq, err := http.NewRequest(http.MethodPost, ca.URL+chatPath, bytes.NewReader(ca.Body))
	if err != nil {
		return nil, &Failure{Cause: CauseUnreachable, Err: err}
	}
	rq.GetBody = nil
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

func (st *Stream) connect(hc *http.Client, rq *http.Request) *Failure {
	co, fa := st.client.open(st.ctx, hc, rq, firstEventTimeoutFactor*st.client.progress)
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

// Resumes counts how often the stream went on over a new connection.
func (st *Stream) Resumes() int { return st.resumes }

// Load gives what the engine said of its load.
func (st *Stream) Load() Load { return st.load }

// Next gives the next chunk, io.EOF after the last, or a *Failure. A broken or
// silent connection is replaced by a new one on which the engine goes on after
// the last chunk read.
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

// failure gives the failure for an error while reading, or for a chunk of
// another request, which is dropped.
func (st *Stream) failure(err error) *Failure {
	if err != nil {
		return st.conn.readFailure(err)
	}
	st.client.dropped.Add(1)
	return &Failure{Cause: CauseMismatched, Sent: true, Err: errMismatched}
}

// isOwnChunk tells whether a chunk belongs to this attempt.
func (st *Stream) isOwnChunk(data []byte) bool {
	if !st.call.EchoesID {
		return true
	}
	id := gjson.GetBytes(data, "id")
	return !id.Exists() || id.Str == st.chunkID
}

// resume asks the engine for the rest of the stream on a new connection.
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

// readEvent reads one event from the connection. Its id is -1 when it has none.
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

func parseEventID(text []byte) int64 {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return -1
	}
	return id
}

// Close ends the answer. An engine that has not ended it is told to cancel.
func (st *Stream) Close() {
	st.conn.close()
	if st.ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(st.ctx), st.client.progress)
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

// FirstEventDeadline is when an attempt sent at a time counts as silent.
func (cl *Client) FirstEventDeadline(sent time.Time) time.Time {
	return sent.Add(firstEventTimeoutFactor * cl.progress)
}
