package cascade

const (
	// idleThreshold is the confidence, from 0 to 100, below which an answer is
	// given up at an idle fleet.
	idleThreshold = 85
	// minThreshold is always low enough, while there is time.
	minThreshold = 12
	// workWeight is the confidence that a second of work is worth, and
	// pressureWeight that of a second that waits at every endpoint, for each
	// second of work.
	workWeight    = 50
	backlogWeight = 600
	// waitWeight is the confidence that using up the whole time left is worth.
	waitWeight = 20
)

// Escalation decides what becomes of an answer that a small model has begun, before
// the caller has any of it. It answers the load in which most requests are easy
// and the large model takes many times the time: a start at the small model
// costs little, and says which requests are worth more. Under pressure long
// prompts stay at the small model first, since they hold up everyone.
type Escalation struct {
	// Confidence is the small model's opinion of its answer, from 0 to 100.
	Confidence float64
	// Work is what the large model takes until its answer begins, in seconds of
	// an idle endpoint.
	Work float64
	// Backlog is the work that waits at the mean endpoint, in seconds.
	Backlog float64
	// TimeLeft is until the answer should begin, in seconds.
	TimeLeft float64
}

// ShouldEscalate tells whether to start again at the largest model.
func (es Escalation) ShouldEscalate() bool {
	wait := es.Backlog + es.Work
	if wait >= es.TimeLeft {
		return false
	}
	limit := idleThreshold - workWeight*es.Work - backlogWeight*es.Backlog*es.Backlog*es.Work - waitWeight*wait/es.TimeLeft
	return es.Confidence < max(minThreshold, limit)
}
