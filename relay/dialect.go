package relay

import (
	"net/http"
	"time"

	"tanagerpoint.example/tanager/policy"
)

// SendParams is one sending of a request to an endpoint.
type SendParams struct {
	Request      *Request
	Endpoint     policy.Endpoint
	Organisation policy.OrganisationID
	// Model is the router's choice, "" when the caller named one.
	Model    policy.ModelID
	Deadline time.Time
	// LastEventID is the last event that the caller has, 0 for none.
	LastEventID EventID
	// Urgency is 0 for the most urgent.
	Urgency int64
}

// AnswerHead is what an endpoint's answer says beside its status and body.
type AnswerHead struct {
	// Request is the id that the answer carries, "" when it carries none.
	Request RequestID
	// NotRun tells that the endpoint did not run the request.
	NotRun bool
	// Signed tells that the service itself made the answer. A dialect without
	// signatures says so of every answer.
	Signed bool
	// Confidence is the model's opinion of its answer, from 0 to 100.
	Confidence float64
	// HasConfidence tells that there is a confidence.
	HasConfidence bool
	// Running and Waiting are the requests at the endpoint, if Loaded.
	Running, Waiting int
	HasLoad          bool
}

// Dialect says how endpoints are spoken to.
type Dialect interface {
	// Header gives the headers of a send.
	Header(se SendParams, now time.Time) http.Header
	// Head reads an answer's.
	Head(status int, he http.Header) AnswerHead
	// RemoveSignature takes out what marks an answer as the service's own.
	RemoveSignature(he http.Header)
}
