package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/endpoint"
)

// Plain stands in for a plain service whose calls may not be repeated. It
// counts what it ran by the call's Idempotency-Key.
type Plain struct {
	FaultInjector

	delay time.Duration
	mu    sync.Mutex
	ran   map[string]int
}

// NewPlain gives a service that takes a while for each call.
func NewPlain(delay time.Duration) *Plain {
	return &Plain{delay: delay, ran: map[string]int{}}
}

// RunCounts counts how often each key was run.
func (pl *Plain) RunCounts() map[string]int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	out := make(map[string]int, len(pl.ran))
	for key, n := range pl.ran {
		out[key] = n
	}
	return out
}

// RanPath is where the counts of what ran are read.
const RanPath = "/standin/ran"

// Handler serves any path.
func (pl *Plain) Handler() http.Handler {
	return pl.Wrap(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == RanPath {
			writeJSON(wr, pl.RunCounts())
			return
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		key := rq.Header.Get("Idempotency-Key")
		pl.mu.Lock()
		pl.ran[key]++
		n := pl.ran[key]
		pl.mu.Unlock()
		time.Sleep(pl.delay)
		wr.Header().Set(endpoint.HeaderAttempt, rq.Header.Get(endpoint.HeaderAttempt))
		writeJSON(wr, plainAnswer{Path: rq.URL.Path, Key: key, Run: n, Receipt: fmt.Sprintf("receipt-%s-%d", key, n), Bytes: len(body)})
	}))
}

type plainAnswer struct {
	Path    string `json:"path"`
	Key     string `json:"key"`
	Run     int    `json:"run"`
	Receipt string `json:"receipt"`
	Bytes   int    `json:"bytes"`
}
