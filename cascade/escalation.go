package cascade

const (
	// idleThreshold is the confidence, from 0 to 100, below which a small model's
	// answer is discarded if all endpoints are idle and the large model needs no
	// time. The work of the large model, the backlog and the wait lower it.
	idleThreshold = 85
	// minThreshold is the lowest threshold: an answer with less confidence is
	// discarded at any load, if there is time left.
	minThreshold = 12
	// workWeight is the number of points by which each second of work lowers the
	// threshold. backlogWeight is multiplied by the work and by the square of the
	// backlog, both in seconds. The square lets almost idle endpoints escalate
	// freely.
	workWeight    = 50
	backlogWeight = 600
	// waitWeight is the number of points by which the threshold is lowered if the
	// expected wait uses all the time left; a shorter wait lowers it in proportion.
	waitWeight = 20
)

// Escalation is the input to the decision whether to run a request again on the
// largest model and to discard the answer that a small model has begun, of which
// nothing has reached the caller yet. It is designed for loads in which most
// requests are easy and the large model takes many times as long: starting with
// the small model costs little and shows which requests need the large one.
// As the backlog grows, long prompts are the first to stay on the small model,
// because they delay all other requests.
type Escalation struct {
	// Confidence is the small model's own rating of its answer, from 0 to 100.
	Confidence float64
	// Work is the time that the large model takes on an idle endpoint until its
	// answer begins, in seconds.
	Work float64
	// Backlog is the mean work queued at an endpoint, in seconds.
	Backlog float64
	// TimeLeft is the time until the answer should begin, in seconds.
	TimeLeft float64
}

// ShouldEscalate reports whether to run the request again on the largest model.
func (es Escalation) ShouldEscalate() bool {
	wait := es.Backlog + es.Work
	if wait >= es.TimeLeft {
		return false
	}
	threshold := idleThreshold - workWeight*es.Work - backlogWeight*es.Backlog*es.Backlog*es.Work - waitWeight*wait/es.TimeLeft
	return es.Confidence < max(minThreshold, threshold)
}
