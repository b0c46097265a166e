package entry

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxExplanations is the number of requests whose steps are kept.
	maxExplanations = 4096
	// maxSteps is the number of steps kept per request; later ones are dropped.
	maxSteps = 32
)

// explanations keeps the step logs of the requests that were added or read most
// recently, by request ID.
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

// stepLog records the steps of one request.
//
// mu guards the explanation. No other lock is taken while it is held.
type stepLog struct {
	mu          sync.Mutex
	explanation Explanation
}

// Explanation lists what an entry did with a request, as GET /v1/explain/:id
// returns it.
type Explanation struct {
	RequestID    string                `json:"request_id"`
	BillID       string                `json:"bill_id"`
	Organisation policy.OrganisationID `json:"organisation"`
	Arrived      time.Time             `json:"arrived"`
	Deadline     time.Time             `json:"deadline"`
	Steps        []Step                `json:"steps"`
}

// Step is one event in the processing of a request.
type Step struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// startRequest adds an empty step log for a request. It replaces that of an earlier
// request with the same ID.
func (exs *explanations) startRequest(rq *request) *stepLog {
	sl := &stepLog{explanation: Explanation{
		RequestID: rq.id, BillID: rq.billID, Organisation: rq.organisation, Arrived: rq.arrived, Deadline: rq.deadline,
	}}
	exs.byID.Add(rq.id, sl)
	return sl
}

// get returns the explanation of a request, and false when there is none for its ID.
func (exs *explanations) get(id string) (Explanation, bool) {
	sl, ok := exs.byID.Get(id)
	if !ok {
		return Explanation{}, false
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.explanation, true
}

// add appends a step with a formatted text and the current time.
func (sl *stepLog) add(format string, args ...any) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if len(sl.explanation.Steps) < maxSteps {
		sl.explanation.Steps = append(sl.explanation.Steps, Step{At: time.Now(), Text: fmt.Sprintf(format, args...)})
	}
}
