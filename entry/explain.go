package entry

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxExplained is how many requests are remembered.
	maxExplained = 4096
	// maxSteps bounds the steps remembered of one request.
	maxSteps = 32
)

// explains remembers why the last requests went where they did.
type explains struct {
	byID *lru.Cache[string, *explain]
}

func newExplains() *explains {
	ca, err := lru.New[string, *explain](maxExplained)
	if err != nil {
		panic(err)
	}
	return &explains{byID: ca}
}

// explain collects one request's steps.
type explain struct {
	mu sync.Mutex
	ex Explanation
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

func (ex *explains) start(rq *request) *explain {
	out := &explain{ex: Explanation{
		RequestID: rq.id, BillID: rq.billID, Organisation: rq.organisation, Arrived: rq.arrived, Deadline: rq.deadline,
	}}
	ex.byID.Add(rq.id, out)
	return out
}

func (ex *explains) get(id string) (Explanation, bool) {
	out, ok := ex.byID.Get(id)
	if !ok {
		return Explanation{}, false
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.ex, true
}

func (ex *explain) add(format string, args ...any) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if len(ex.ex.Steps) < maxSteps {
		ex.ex.Steps = append(ex.ex.Steps, Step{At: time.Now(), Text: fmt.Sprintf(format, args...)})
	}
}
