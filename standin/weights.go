package standin

import (
	"net/http"
	"sync"
	"time"
)

// Weights simulates the platform's store of model weights, which limits the rate of
// reads. Its methods may be called concurrently.
type Weights struct {
	FaultInjector

	interval time.Duration
	mu       sync.Mutex
	// nextAt is when the next read is allowed; mu guards it.
	nextAt time.Time
}

// NewWeights returns a store that allows one read per interval.
func NewWeights(interval time.Duration) *Weights { return &Weights{interval: interval} }

// Handler returns the handler of HEAD /weights/{key}. It responds with status 429
// to reads beyond the limit.
func (we *Weights) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("HEAD /weights/{key}", func(wr http.ResponseWriter, _ *http.Request) {
		we.mu.Lock()
		defer we.mu.Unlock()
		if time.Now().Before(we.nextAt) {
			wr.Header().Set("Retry-After", "1")
			wr.WriteHeader(http.StatusTooManyRequests)
			return
		}
		we.nextAt = time.Now().Add(we.interval)
	})
	return we.Wrap(mu)
}
