package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/endpoint"
)

// Plain simulates a plain service whose calls must not be repeated. It counts how
// often it ran the call of each Idempotency-Key. Its methods may be called
// concurrently.
type Plain struct {
	FaultInjector

	delay time.Duration
	// mu guards runCounts.
	mu        sync.Mutex
	runCounts map[string]int
}

// NewPlain returns a service that takes delay for each call.
func NewPlain(delay time.Duration) *Plain {
	return &Plain{delay: delay, runCounts: map[string]int{}}
}

// RunCounts returns how often the call of each Idempotency-Key was run.
func (pl *Plain) RunCounts() map[string]int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	out := make(map[string]int, len(pl.runCounts))
	for key, n := range pl.runCounts {
		out[key] = n
	}
	return out
}

// RunCountsPath is the path at which RunCounts is read over HTTP.
const RunCountsPath = "/standin/ran"

// Handler returns the handler of calls, which accepts any method and path.
func (pl *Plain) Handler() http.Handler {
	return pl.Wrap(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == RunCountsPath {
			writeJSON(wr, pl.RunCounts())
			return
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		key := rq.Header.Get("Idempotency-Key")
		pl.mu.Lock()
		pl.runCounts[key]++
		n := pl.runCounts[key]
		pl.mu.Unlock()
		time.Sleep(pl.delay)
		wr.Header().Set(endpoint.HeaderAttempt, rq.Header.Get(endpoint.HeaderAttempt))
		writeJSON(wr, plainResponse{Path: rq.URL.Path, Key: key, Run: n, Receipt: fmt.Sprintf("receipt-%s-%d", key, n), Bytes: len(body)})
	}))
}

// plainResponse is the body of the response to a call; Run is how often the call
// has been run.
type plainResponse struct {
	Path    string `json:"path"`
	Key     string `json:"key"`
	Run     int    `json:"run"`
	Receipt string `json:"receipt"`
	Bytes   int    `json:"bytes"`
}
