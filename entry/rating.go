package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rating"
)

const (
	// maxQueuedRatings bounds the answers waiting for the rating service.
	maxQueuedRatings = 256
	submitTimeout    = 2 * time.Second
	// rolloutRatedShare of the answers of a model under roll-out are rated.
	rolloutRatedShare = 0.1
	// candidateRatedShare of a candidate's answers are rated.
	candidateRatedShare = 1.0
)

// ratingSubmitter hands answers to the rating service in the background, and
// drops them while it cannot keep up: ratings are a sample.
type ratingSubmitter struct {
	service *rating.Service
	queue   chan rating.Answer
}

func newRatingSubmitter(se *rating.Service) *ratingSubmitter {
	return &ratingSubmitter{service: se, queue: make(chan rating.Answer, maxQueuedRatings)}
}

func (rs *ratingSubmitter) submit(an rating.Answer) {
	select {
	case rs.queue <- an:
	default:
	}
}

func (rs *ratingSubmitter) run(ctx context.Context) {
	for {
		select {
		case an := <-rs.queue:
			call, cancel := context.WithTimeout(ctx, submitTimeout)
			_ = rs.service.Submit(call, an)
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// inRatingSample decides by the request's id, so that the answer is the same
// whenever it is asked.
func (ch *chatRequest) inRatingSample(an *answerRelay) bool {
	share := 0.0
	se := an.daemon.holder.Set()
	if ca, ok := se.Cascades.ByID(an.target.cascade); ok {
		share = ca.RatedShare
	}
	if ro, ok := se.ActiveRollout(an.target.model); ok {
		share = max(share, rolloutRatedShare)
		if policy.VersionID(ro.ToVersion) == an.target.version.ID {
			share = candidateRatedShare
		}
	}
	const scale = 1 << 20
	return float64(xxhash.Sum64String(ch.billID)%scale) < share*scale
}

func ratingAnswer(an *answerRelay) rating.Answer {
	return rating.Answer{
		RequestID: an.chat.billID, Cascade: string(an.target.cascade), Work: string(an.chat.work),
		Version:  string(an.target.version.ID),
		Messages: json.RawMessage(gjson.GetBytes(an.chat.body, "messages").Raw),
		Text:     an.answer.text(),
	}
}
