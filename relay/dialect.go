package relay

import (
	"net/http"
	"time"

	"tanagerpoint.example/tanager/policy"
)

// SendParams describes one send of a request to an endpoint.
type SendParams struct {
	Request  *Request
	Endpoint policy.Endpoint
	// Organisation is the caller's, nil if it has none.
	Organisation *policy.OrganisationID
	// Model is the model selected by the router, "" if the caller chose one.
	Model    policy.ModelID
	Deadline time.Time
	// LastEventID is the last event that the caller has received, 0 for none.
	LastEventID EventID
	// Urgency is 0 for the most urgent requests.
	Urgency int64
}

// AnswerHead is what the status and headers of an endpoint's answer say.
type AnswerHead struct {
	// Request is the request id in the answer, "" if there is none.
	Request RequestID
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// Signed reports whether the answer was made by the service itself. It is true
	// for every answer in a dialect without signatures.
	Signed bool
	// Confidence is the model's own rating of its answer, from 0 to 100.
	Confidence float64
	// HasConfidence reports whether Confidence is set.
	HasConfidence bool
	// Running and Waiting are the numbers of requests at the endpoint. They are
	// set if HasLoad is true.
	Running, Waiting int
	HasLoad          bool
	// Slots is the number of requests that the endpoint runs at once, 0 if it does not say.
	Slots int
	// Refusals is the number of requests that the endpoint can refuse in a second, for want
	// of room, without falling over. It is set if Brittle is true.
	Refusals int
	Brittle  bool
	// Full reports whether the endpoint refused the request for want of room.
	Full bool
	// Limit is the number of requests a second that the endpoint takes from all routers
	// together. It is set if HasLimit is true; otherwise the endpoint names none.
	Limit    float64
	HasLimit bool
	// ColdUntil is until when the endpoint is cold, the time of the answer if it states that it
	// is not, and zero if it does not say.
	ColdUntil time.Time
	// Leaving reports whether the endpoint states that it leaves.
	Leaving bool
	// RetryAt is until when the endpoint wants no request from this router, zero if it does
	// not say.
	RetryAt time.Time
	// OtherInstance reports whether the answer comes from another endpoint than the one that
	// the request was meant for.
	OtherInstance bool
}

// Dialect defines the headers of requests to endpoints and of their answers.
type Dialect interface {
	// Header returns the headers of a request.
	Header(se SendParams, now time.Time) http.Header
	// Head parses the status and headers of an answer that began to arrive at a time.
	Head(status int, he http.Header, arrived time.Time) AnswerHead
	// Represents reports whether a header can hold a name unchanged.
	Represents(name string) bool
	// RemoveSignature removes the headers that show that the service itself made
	// the answer.
	RemoveSignature(he http.Header)
}
