package cascade

// escalateBelow is the confidence, from 0 to 100, below which the answer of a
// small model is given up for one of a larger.
const escalateBelow = 55

// Step decides what becomes of an answer that a small model has begun, before
// the caller has any of it. It answers the load in which most requests are easy
// and the large model takes many times the time: a start at the small model
// costs little, and says which requests are worth more.
type Step struct {
	// Confidence is the small model's opinion of its answer, from 0 to 100.
	Confidence float64
}

// Escalate tells whether to start again at the largest model.
func (st Step) Escalate() bool { return st.Confidence < escalateBelow }
