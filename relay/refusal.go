package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Reason says why the router refused or failed a request without passing on an
// endpoint's answer.
type Reason string

// The values of Reason.
const (
	ReasonNoPolicy             Reason = "no_policy"
	ReasonNoRoute              Reason = "no_route"
	ReasonUnknownKey           Reason = "unknown_key"
	ReasonUnrepresentable      Reason = "organisation_not_representable"
	ReasonTooLarge             Reason = "body_too_large"
	ReasonNoMemory             Reason = "no_memory_for_body"
	ReasonMalformed            Reason = "malformed"
	ReasonDraining             Reason = "draining"
	ReasonNoEndpoint           Reason = "no_endpoint"
	ReasonEndpointsBusy        Reason = "endpoints_busy"
	ReasonDeadlineUnreachable  Reason = "deadline_unreachable"
	ReasonEndpointsUnreachable Reason = "endpoints_unreachable"
	ReasonAnswerBroken         Reason = "answer_broken"
	ReasonTimeout              Reason = "timeout"
	ReasonQuarantined          Reason = "prompt_part_quarantined"
	ReasonRequestQuarantined   Reason = "request_quarantined"
)

// Refusal is an answer made by the router itself. It ends a request.
type Refusal struct {
	Status int
	Reason Reason
	// RetryAt is when the caller should retry; zero if a retry is of no use.
	RetryAt time.Time
}

// Error implements error.
func (re *Refusal) Error() string { return "relay: " + string(re.Reason) }

// refuseNotRun returns a refusal for a request that no endpoint has run or will
// run.
func refuseNotRun(rs Reason, retryAt time.Time) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: rs, RetryAt: retryAt}
}

type refusalBody struct {
	Error  Reason `json:"error"`
	NotRun bool   `json:"not_run"`
}

// Write writes the refusal to the caller.
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
