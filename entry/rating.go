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
	// maxQueuedAnswers is the number of answers that may wait for the rating
	// service.
	maxQueuedAnswers = 256
	submitTimeout    = 2 * time.Second
	// rolloutRatedShare is the minimum share of answers that is rated during a
	// roll-out of their model.
	rolloutRatedShare = 0.1
	// candidateRatedShare is the share of a candidate version's answers that is
	// rated.
	candidateRatedShare = 1.0
)

// ratingSubmitter sends answers to the rating service in the background. It drops
// answers while its queue is full, and those whose submission fails, because
// ratings are only a sample.
type ratingSubmitter struct {
	client *rating.Client
	queue  chan rating.Answer
}

func newRatingSubmitter(cl *rating.Client) *ratingSubmitter {
	return &ratingSubmitter{client: cl, queue: make(chan rating.Answer, maxQueuedAnswers)}
}

// submit queues an answer, or drops it when the queue is full. It does not block.
func (rs *ratingSubmitter) submit(an rating.Answer) {
	select {
	case rs.queue <- an:
	default:
	}
}

// run sends the queued answers one at a time until ctx is done.
func (rs *ratingSubmitter) run(ctx context.Context) {
	for {
		select {
		case an := <-rs.queue:
			call, cancel := context.WithTimeout(ctx, submitTimeout)
			_ = rs.client.Submit(call, an)
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// shouldRate reports whether the answer is to be sent to the rating service, if it
// becomes complete.
func (an *answerRelay) shouldRate() bool {
	return an.daemon.ratings != nil && an.chat.inRatingSample(an)
}

// submitForRating queues the answer for the rating service if it is in the
// sample.
func (an *answerRelay) submitForRating() {
	if !an.shouldRate() {
		return
	}
	an.daemon.ratings.submit(ratingAnswer(an))
}

// inRatingSample reports whether the answer is in the sample to be rated. It
// decides by a hash of the bill ID, which is unique to the request, so that
// repeated calls for one request agree.
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

// ratingAnswer returns the answer in the form in which it is submitted. Its request
// ID is the bill's, which is unique; the ID of the request itself may be chosen by
// the caller.
func ratingAnswer(an *answerRelay) rating.Answer {
	return rating.Answer{
		RequestID: an.chat.billID, Cascade: string(an.target.cascade), Work: string(an.chat.work),
		Version:  string(an.target.version.ID),
		Messages: json.RawMessage(gjson.GetBytes(an.chat.body, "messages").Raw),
		Text:     an.answer.text(),
	}
}
