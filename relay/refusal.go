package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Reason says why the router itself ended a request.
type Reason string

// The reasons.
const (
	ReasonNoPolicy             Reason = "no_policy"
	ReasonNoRoute              Reason = "no_route"
	ReasonUnknownKey           Reason = "unknown_key"
	ReasonTooLarge             Reason = "body_too_large"
	ReasonMalformed            Reason = "malformed"
	ReasonDraining             Reason = "draining"
	ReasonNoEndpoint           Reason = "no_endpoint"
	ReasonEndpointsBusy        Reason = "endpoints_busy"
	ReasonDeadlineUnreachable  Reason = "deadline_unreachable"
	ReasonEndpointsUnreachable Reason = "endpoints_unreachable"
	ReasonAnswerBroken         Reason = "answer_broken"
	ReasonTimeout              Reason = "timeout"
)

// Refusal is the router's own final answer to a request.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAt is when to come back; zero when that is of no use.
	RetryAt time.Time
}

// Error gives the reason.
func (re *Refusal) Error() string { return "relay: " + string(re.Reason) }

// refuseNotRun refuses a request that no endpoint has run or will run.
func refuseNotRun(rs Reason, retryAt time.Time) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: rs, RetryAt: retryAt}
}

type refusalBody struct {
	Error  Reason `json:"error"`
	NotRun bool   `json:"not_run"`
}

// Write sends the refusal.
func (re *Refusal) Write(wr http.ResponseWriter, now time.Time) {
	he := wr.Header()
	he.Set("Content-Type", "application/json")
	if !re.RetryAt.IsZero() {
		he.Set("Retry-After", strconv.FormatFloat(max(0.05, re.RetryAt.Sub(now).Seconds()), 'f', 2, 64))
	}
	// Marshal cannot fail on these fields.
	text, _ := json.Marshal(refusalBody{Error: re.Reason, NotRun: re.Status == http.StatusServiceUnavailable})
	he.Set("Content-Length", strconv.Itoa(len(text)))
	wr.WriteHeader(re.Status)
	_, _ = wr.Write(text)
}
