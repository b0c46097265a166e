package standin

import (
	"net/http"
	"sync"
	"time"
)

// Weights stands in for the rate-limited weight store.
type Weights struct {
	FaultInjector

	every  time.Duration
	mu     sync.Mutex
	freeAt time.Time
}

// NewWeights gives a store that serves one read in each interval.
func NewWeights(every time.Duration) *Weights { return &Weights{every: every} }

// Handler serves weights at /weights/{key}, and 429 beyond the limit.
func (we *Weights) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("HEAD /weights/{key}", func(wr http.ResponseWriter, _ *http.Request) {
		we.mu.Lock()
		defer we.mu.Unlock()
		if time.Now().Before(we.freeAt) {
			wr.Header().Set("Retry-After", "1")
			wr.WriteHeader(http.StatusTooManyRequests)
			return
		}
		we.freeAt = time.Now().Add(we.every)
	})
	return we.Wrap(mu)
}
