package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// streamEvents and streamGap are those of a sound stream.
	streamEvents = 64
	streamGap    = 80 * time.Millisecond
	// endlessPiece is what a replica in trouble sends each endlessGap, in bytes: half a megabyte
	// a second.
	endlessPiece = 64 << 10
	endlessGap   = 120 * time.Millisecond
)

// engine is a model replica. In trouble it sends bytes that are no answer, until its caller
// closes the connection.
type engine struct {
	id      string
	record  *recorder
	trouble atomic.Bool
}

// ServeHTTP implements http.Handler.
func (en *engine) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	_, _ = io.Copy(io.Discard, rq.Body)
	id, he := rq.Header.Get("Attempt-Id"), wr.Header()
	en.record.add("ran", "%s at %s", id, en.id)
	he.Set("Instance-Id", en.id)
	he.Set("Attempt-Id", id)
	he.Set("Response-Signature", "signed-by-"+en.id)
	if en.trouble.Load() {
		he.Set("Content-Type", "application/octet-stream")
		en.sendEndless(wr, id)
		return
	}
	he.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(wr)
	for event := 1; event <= streamEvents; event++ {
		_, err := io.WriteString(wr, fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event))
		if err != nil || rc.Flush() != nil {
			return
		}
		time.Sleep(streamGap)
	}
}

func (en *engine) sendEndless(wr http.ResponseWriter, id string) {
	piece, sent := make([]byte, endlessPiece), 0
	rc := http.NewResponseController(wr)
	for {
		n, err := wr.Write(piece)
		sent += n
		if err != nil || rc.Flush() != nil {
			en.record.add("closed", "%s at %s, after %d bytes of its answer", id, en.id, sent)
			return
		}
		time.Sleep(endlessGap)
	}
}
