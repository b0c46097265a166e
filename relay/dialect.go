package relay

import (
	"net/http"
	"time"

	"tanagerpoint.example/tanager/policy"
)

// Send is one sending of a request to an endpoint.
type Send struct {
	Request      *Request
	Endpoint     policy.Endpoint
	Organisation policy.OrganisationID
	// Model is the router's choice, "" when the caller named one.
	Model    policy.ModelID
	Deadline time.Time
	// After is the last event that the caller has, 0 for none.
	After EventID
	// Urgency is 0 for the most urgent.
	Urgency int64
}

// Head is what an endpoint's answer says beside its status and body.
type Head struct {
	// Request is the id that the answer carries, "" when it carries none.
	Request RequestID
	// NotRun tells that the endpoint did not run the request.
	NotRun bool
	// Signed tells that the service itself made the answer. A dialect without
	// signatures says so of every answer.
	Signed bool
	// Confidence is the model's opinion of its answer, from 0 to 100.
	Confidence float64
	// Rated tells that there is a confidence.
	Rated bool
	// Running and Waiting are the requests at the endpoint, if Loaded.
	Running, Waiting int
	Loaded           bool
}

// Dialect says how endpoints are spoken to.
type Dialect interface {
	// Header gives the headers of a send.
	Header(se Send, now time.Time) http.Header
	// Head reads an answer's.
	Head(status int, he http.Header) Head
	// Unsigned takes out what marks an answer as the service's own.
	Unsigned(he http.Header)
}
