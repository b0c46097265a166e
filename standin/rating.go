package standin

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tanagerpoint.example/tanager/rating"
)

// Rating simulates the rating service. It rates each answer with the quality of
// its version plus noise, and shows the rating after a lag. Its methods may be
// called concurrently.
type Rating struct {
	FaultInjector

	lag time.Duration
	// mu guards the fields below it.
	mu sync.Mutex
	// quality is the true quality by version, from 0 to 1.
	quality map[string]float64
	ratings []delayedRating
}

// delayedRating is a rating that is listed from visibleAt on.
type delayedRating struct {
	visibleAt time.Time
	rating    rating.Rating
}

// NewRating returns a service that shows ratings after lag; quality is the true
// quality by version, from 0 to 1.
func NewRating(lag time.Duration, quality map[string]float64) *Rating {
	return &Rating{lag: lag, quality: quality}
}

// SetQuality sets the true quality of a version.
func (ra *Rating) SetQuality(version string, quality float64) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.quality[version] = quality
}

// Handler returns the handler of the API.
func (ra *Rating) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("POST /v1/answers", ra.handleAnswer)
	mu.HandleFunc("GET /v1/ratings", ra.handleRatings)
	return ra.Wrap(mu)
}

// handleAnswer rates an answer. The noise is at most 0.1 either way and is derived
// from the request ID, so that it is the same in every run.
func (ra *Rating) handleAnswer(wr http.ResponseWriter, rq *http.Request) {
	var an rating.Answer
	if !readJSON(wr, rq, &an) {
		return
	}
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(an.RequestID))
	noise := (float64(ha.Sum32()%1000)/1000 - 0.5) * 0.2
	quality := min(1, max(0, ra.quality[an.Version]+noise))
	ra.ratings = append(ra.ratings, delayedRating{
		visibleAt: time.Now().Add(ra.lag),
		rating: rating.Rating{
			Sequence: int64(len(ra.ratings) + 1), RequestID: an.RequestID, Cascade: an.Cascade,
			Work: an.Work, Version: an.Version, Quality: quality,
		},
	})
}

// handleRatings responds with the visible ratings after a sequence number.
func (ra *Rating) handleRatings(wr http.ResponseWriter, rq *http.Request) {
	after, _ := strconv.ParseInt(rq.URL.Query().Get("after"), 10, 64)
	out := []rating.Rating{}
	ra.mu.Lock()
	for _, dr := range ra.ratings {
		if dr.rating.Sequence > after && !time.Now().Before(dr.visibleAt) {
			out = append(out, dr.rating)
		}
	}
	ra.mu.Unlock()
	writeJSON(wr, out)
}
