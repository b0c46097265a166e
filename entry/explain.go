package entry

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxExplanations is how many requests are remembered.
	maxExplanations = 4096
	// maxSteps bounds the steps remembered of one request.
	maxSteps = 32
)

// explanations remembers why the last requests went where they did.
type explanations struct {
	byID *lru.Cache[string, *stepLog]
}

func newExplanations() *explanations {
	ca, err := lru.New[string, *stepLog](maxExplanations)
	if err != nil {
		panic(err)
	}
	return &explanations{byID: ca}
}

// stepLog collects one request's steps.
type stepLog struct {
	mu          sync.Mutex
	explanation Explanation
}

// Explanation is why a request went where it did.
type Explanation struct {
	RequestID    string                `json:"request_id"`
	BillID       string                `json:"bill_id"`
	Organisation policy.OrganisationID `json:"organisation"`
	Arrived      time.Time             `json:"arrived"`
	Deadline     time.Time             `json:"deadline"`
	Steps        []Step                `json:"steps"`
}

// Step is one thing that happened to a request.
type Step struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

func (exs *explanations) startRequest(rq *request) *stepLog {
	out := &stepLog{explanation: Explanation{
		RequestID: rq.id, BillID: rq.billID, Organisation: rq.organisation, Arrived: rq.arrived, Deadline: rq.deadline,
	}}
	exs.byID.Add(rq.id, out)
	return out
}

func (exs *explanations) get(id string) (Explanation, bool) {
	out, ok := exs.byID.Get(id)
	if !ok {
		return Explanation{}, false
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.explanation, true
}

func (sl *stepLog) add(format string, args ...any) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if len(sl.explanation.Steps) < maxSteps {
		sl.explanation.Steps = append(sl.explanation.Steps, Step{At: time.Now(), Text: fmt.Sprintf(format, args...)})
	}
}
