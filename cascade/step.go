package cascade

const (
	// escalateBelow is the confidence, from 0 to 100, below which an answer is
	// given up at an idle fleet.
	escalateBelow = 85
	// leastConfidence is always low enough, while there is time.
	leastConfidence = 12
	// workWeight is the confidence that a second of work is worth, and
	// pressureWeight that of a second that waits at every endpoint, for each
	// second of work.
	workWeight     = 50
	pressureWeight = 600
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
	// Pressure is the work that waits at the mean endpoint, in seconds.
	Pressure float64
	// TimeLeft is until the answer should begin, in seconds.
	TimeLeft float64
}

// ShouldEscalate tells whether to start again at the largest model.
func (st Escalation) ShouldEscalate() bool {
	wait := st.Pressure + st.Work
	if wait >= st.TimeLeft {
		return false
	}
	limit := escalateBelow - workWeight*st.Work - pressureWeight*st.Pressure*st.Pressure*st.Work - waitWeight*wait/st.TimeLeft
	return st.Confidence < max(leastConfidence, limit)
}
