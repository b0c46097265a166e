package standin

import (
	"fmt"
	"net/http"
	"time"
)

// CrashMoment is how much of its response a replica has sent when a prompt part crashes it.
type CrashMoment string

// The moments of a crash.
const (
	CrashAfterHead  CrashMoment = ""
	CrashBeforeHead CrashMoment = "before the head"
	CrashInHead     CrashMoment = "in the head"
	CrashInEvent    CrashMoment = "in the first event"
	CrashAfterEvent CrashMoment = "after an event"
	CrashAfterMany  CrashMoment = "after many events"
	// CrashAtSilentEnd is after an event of a stream that only the end of its connection ends: the
	// crash looks like the end of the stream.
	CrashAtSilentEnd CrashMoment = "between events without framing"
)

const (
	// crashDelay is the time from the begin of a run, or from what the replica sends last, to
	// the crash that the request causes.
	crashDelay = 60 * time.Millisecond
	// With CrashAfterMany, manyEvents events are sent, manyEventsGap apart.
	manyEvents    = 15
	manyEventsGap = 100 * time.Millisecond
)

// crash sends what a response has before the crash of a moment, and then crashes the replica.
func (re *Replica) crash(wr http.ResponseWriter, rq *http.Request, ru *ReplicaRun, moment CrashMoment) {
	switch moment {
	case CrashBeforeHead:
	case CrashInHead:
		co, _, err := http.NewResponseController(wr).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = co.Close() }()
		_, _ = fmt.Fprintf(co, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstan", ru.Request)
	default:
		wr.Header().Set("Content-Type", "text/event-stream")
		re.crashInStream(wr, rq, ru, moment)
	}
	re.crashAfter(rq, crashDelay)
}

// crashInStream sends the head of a stream, and its events up to the crash.
func (re *Replica) crashInStream(wr http.ResponseWriter, rq *http.Request, ru *ReplicaRun, moment CrashMoment) {
	send := func(format string, args ...any) {
		_, _ = fmt.Fprintf(wr, format, args...)
		if http.NewResponseController(wr).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if moment == CrashAtSilentEnd {
		ReplicaFaults{EndsWithConnection: true}.delimit(wr.Header())
	}
	send("")
	switch moment {
	case CrashInEvent:
		send("id: 1\ndata: tor")
	case CrashAfterEvent, CrashAtSilentEnd:
		send("id: 1\ndata: piece 1 of %s\n\n", ru.Request)
	case CrashAfterMany:
		for n := range manyEvents {
			send("id: %d\ndata: piece %d of %s\n\n", n+1, n+1, ru.Request)
			if !wait(rq, manyEventsGap) {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// crashAfter crashes the replica after a time, unless the client disconnects before.
func (re *Replica) crashAfter(rq *http.Request, delay time.Duration) {
	if wait(rq, delay) && re.setCrashed() {
		re.opt.OnCrash()
	}
	panic(http.ErrAbortHandler)
}
