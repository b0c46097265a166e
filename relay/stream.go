package relay

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

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/worker"
)

const (
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// callerWriteLimit is how long a caller may take to read an event.
	callerWriteLimit = 10 * time.Second
	readBuffer       = 4096
	// resumePause lets the other endpoints of a crash show that they are gone
	// too, before one of them is chosen.
	resumePause = 40 * time.Millisecond
)

var errTorn = eris.New("stream ended within an event")

// streamEvent is one event as it came.
type streamEvent struct {
	id   EventID
	text []byte
}

// eventReader splits a stream into whole events.
type eventReader struct {
	rd *bufio.Reader
}

func newEventReader(rd io.Reader) *eventReader {
	return &eventReader{rd: bufio.NewReaderSize(rd, readBuffer)}
}

// next gives the next event; io.EOF after the last, errTorn when the stream
// ended within one.
func (er *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	for {
		line, err := er.rd.ReadSlice('\n')
		ev.text = append(ev.text, line...)
		if len(ev.text) > maxEvent {
			return streamEvent{}, eris.Errorf("event is larger than %d bytes", maxEvent)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(ev.text) > 0 {
			return streamEvent{}, errTorn
		}
		if err != nil {
			return streamEvent{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				ev.id = EventID(id)
			}
		}
		if len(line) == 0 && len(bytes.TrimSpace(ev.text)) > 0 {
			return ev, nil
		}
	}
}

// relayed is a stream on its way to the caller.
type relayed struct {
	router *Router
	call   *call
	wr     http.ResponseWriter
	rc     *http.ResponseController
	last   EventID
	// wroteAt is when the caller last got an event, longest the longest pause
	// between two, in milliseconds.
	wroteAt time.Time
	longest int64
}

// passStream passes a stream on as it comes, resuming it elsewhere when its run
// breaks. It tells whether it was completed, and the longest pause in
// milliseconds.
func (ro *Router) passStream(ctx context.Context, wr http.ResponseWriter, ca *call, an *answer) (whole bool, longest int64) {
	st := &relayed{router: ro, call: ca, wr: wr, rc: http.NewResponseController(wr), last: ca.request.After}
	copyHeader(wr.Header(), an.header)
	wr.WriteHeader(an.status)
	for {
		err := st.pass(an)
		an.source.Close()
		if err == nil {
			an.finish(placement.Succeeded)
			return true, st.longest
		}
		if an = st.resume(ctx, an, err); an == nil {
			return false, st.longest
		}
	}
}

// errCaller marks a caller that has gone.
var errCaller = eris.New("the caller has gone")

// pass passes one run's events on, nil at the stream's end.
func (st *relayed) pass(an *answer) error {
	for ev := an.first; ; {
		if len(ev.text) == 0 {
			return nil
		}
		if ev.id == 0 || ev.id > st.last {
			if err := st.write(ev); err != nil {
				return errors.Join(errCaller, err)
			}
		}
		var err error
		if ev, err = an.stream.next(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
}

func (st *relayed) write(ev streamEvent) error {
	now := time.Now()
	if !st.wroteAt.IsZero() {
		st.longest = max(st.longest, now.Sub(st.wroteAt).Milliseconds())
	}
	st.wroteAt = now
	if err := st.rc.SetWriteDeadline(now.Add(callerWriteLimit)); err != nil {
		return err
	}
	if _, err := st.wr.Write(ev.text); err != nil {
		return err
	}
	st.last = max(st.last, ev.id)
	return st.rc.Flush()
}

// resume goes on at another endpoint after the last event that the caller has;
// nil when that is not possible.
func (st *relayed) resume(ctx context.Context, an *answer, cause error) *answer {
	ro, ca := st.router, st.call
	if errors.Is(cause, errCaller) || errors.Is(ctx.Err(), context.Canceled) {
		an.finish(placement.Neutral)
		return nil
	}
	an.finish(placement.Failed)
	ca.tried = append(ca.tried, an.endpoint.ID)
	ro.releases.observe(ca.service.ID, an.endpoint, rollout.Outcome{Failed: true})
	for worker.Sleep(ctx, resumePause) && ca.route.Resumable && ro.mayRepeat(ctx, ca, &failure{err: cause}) {
		next, fa := ro.attempt(ctx, ca, st.last)
		if fa == nil && next.stream != nil {
			ro.log.InfoLimited(event.StreamResumed, event.Fields{"request": ca.request.ID, "from": an.endpoint.ID, "to": next.endpoint.ID, "after_event": st.last, "cause": cause.Error()})
			return next
		}
		if fa == nil {
			next.drop()
			return nil
		}
		if fa.nowhere {
			return nil
		}
	}
	ro.log.WarnLimited(event.StreamCut, cause, event.Fields{"request": ca.request.ID, "endpoint": an.endpoint.ID, "after_event": st.last, "sends": ca.sends})
	return nil
}
