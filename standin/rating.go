package standin

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tanagerpoint.example/tanager/rating"
)

// Rating stands in for the rating service. Ratings come after a lag.
type Rating struct {
	FaultInjector

	lag     time.Duration
	mu      sync.Mutex
	quality map[string]float64
	ratings []lateRating
}

type lateRating struct {
	showAt time.Time
	rating rating.Rating
}

// NewRating gives a service that knows each version's true quality.
func NewRating(lag time.Duration, quality map[string]float64) *Rating {
	return &Rating{lag: lag, quality: quality}
}

// SetQuality changes a version's true quality.
func (ra *Rating) SetQuality(version string, quality float64) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.quality[version] = quality
}

// Handler serves the API.
func (ra *Rating) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("POST /v1/answers", ra.handleAnswer)
	mu.HandleFunc("GET /v1/ratings", ra.handleRatings)
	return ra.Wrap(mu)
}

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
	ra.ratings = append(ra.ratings, lateRating{
		showAt: time.Now().Add(ra.lag),
		rating: rating.Rating{
			Sequence: int64(len(ra.ratings) + 1), RequestID: an.RequestID, Cascade: an.Cascade,
			Work: an.Work, Version: an.Version, Quality: quality,
		},
	})
}

func (ra *Rating) handleRatings(wr http.ResponseWriter, rq *http.Request) {
	after, _ := strconv.ParseInt(rq.URL.Query().Get("after"), 10, 64)
	out := []rating.Rating{}
	ra.mu.Lock()
	for _, la := range ra.ratings {
		if la.rating.Sequence > after && !time.Now().Before(la.showAt) {
			out = append(out, la.rating)
		}
	}
	ra.mu.Unlock()
	writeJSON(wr, out)
}
