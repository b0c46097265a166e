// Package relay carries requests of routes to the endpoints of their services
// and brings the answers back: it chooses endpoints and models, tries again
// where that is allowed, resumes streams, and keeps new releases from harm.
//
// It knows requests in its own terms only. A front decodes what callers send
// into a Request, and a Dialect says how endpoints are spoken to.
package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// RequestID names one sending of a request by a caller; it is not used again.
type RequestID string

// SessionID names a session of a caller.
type SessionID string

// PromptPartID names a part of a prompt; equal parts have equal ids.
type PromptPartID string

// EventID numbers the events of a stream; ids rise.
type EventID int64

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     PromptPartID
	Tokens policy.Tokens
}

// Request is one request of a route.
type Request struct {
	ID     RequestID
	Method string
	// Target is the request target as the caller wrote it, Path its path.
	Target string
	Path   string
	Host   string
	// Header holds what is carried to the endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, "" without one.
	Key        string
	ReceivedAt time.Time
	// Deadline is the caller's own, zero when it named none.
	Deadline time.Time
	Session  SessionID
	// Prompt lists the parts of a prompt in order; the last is the request's own.
	Prompt []PromptPart
	// ExpectedOutput is the caller's estimate of the answer's tokens.
	ExpectedOutput policy.Tokens
	// AnyModel leaves the choice of the model to the router.
	AnyModel bool
	// LastEventID is the last event that the caller has of a stream, 0 for none.
	LastEventID EventID
}

// promptTokens adds up the prompt.
func (rq *Request) promptTokens() policy.Tokens {
	sum := policy.Tokens(0)
	for _, pa := range rq.Prompt {
		sum += pa.Tokens
	}
	return sum
}

// prefixTokens adds up the parts before the request's own.
func (rq *Request) prefixTokens() policy.Tokens {
	if len(rq.Prompt) == 0 {
		return 0
	}
	return rq.promptTokens() - rq.Prompt[len(rq.Prompt)-1].Tokens
}

// prefix names the shared prefix of the prompt for a model, 0 when there is none.
func (rq *Request) prefix(model policy.ModelID) placement.Prefix {
	if len(rq.Prompt) < 2 {
		return 0
	}
	di := xxhash.New()
	_, _ = di.WriteString(string(model))
	for _, pa := range rq.Prompt[:len(rq.Prompt)-1] {
		_, _ = di.WriteString("\x00" + string(pa.ID))
	}
	return placement.Prefix(di.Sum64())
}

// sessionFraction gives a number from 0 to 1 that is the same for all requests of a
// session; salt makes draws for different ends independent.
func (rq *Request) sessionFraction(salt string) float64 {
	if rq.Session == "" {
		return hashFraction(salt, string(rq.ID))
	}
	return hashFraction(salt, string(rq.Session))
}

func hashFraction(salt, key string) float64 {
	const scale = 1 << 52
	return float64(xxhash.Sum64String(salt+"\x00"+key)%scale) / scale
}
