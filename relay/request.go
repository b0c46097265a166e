// Package relay is the router's reverse proxy: it sends the requests of routes to
// the endpoints of their services and returns the answers. It selects endpoints
// and models, retries where that is allowed, resumes streams, and limits the harm
// that a bad release can do.
//
// It is independent of any wire protocol. A front end decodes callers' requests
// into a Request, and a Dialect defines the headers exchanged with endpoints.
package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

// RequestID identifies a request as a caller sent it. A caller that sends the same
// request again uses another id.
type RequestID string

// SessionID identifies a session of a caller.
type SessionID string

// EventID is the number of an event in a stream. It increases with each event.
type EventID int64

// MaxEventID is larger than the number of any event. Endpoints' events with such a number, or a
// larger one, count as not numbered: all that follow would be taken for older ones.
const MaxEventID EventID = 1 << 53

// PromptPart is a part of a prompt, with its length.
type PromptPart struct {
	ID     policy.PromptPartID
	Tokens policy.Tokens
}

// Request is a caller's request.
type Request struct {
	ID     RequestID
	Method string
	// Target is the request target as the caller sent it; Path is its path.
	Target string
	Path   string
	Host   string
	// Header holds the headers that are passed on to the endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, "" for none.
	Key        string
	ReceivedAt time.Time
	// Deadline is the deadline set by the caller, zero for none.
	Deadline time.Time
	Session  SessionID
	// Prompt lists the parts of the prompt in order. The last one is specific to
	// this request; those before it form the prefix that requests may share.
	Prompt []PromptPart
	// ExpectedOutput is the caller's estimate of the answer's length in tokens.
	ExpectedOutput policy.Tokens
	// AnyModel reports whether the router selects the model.
	AnyModel bool
	// LastEventID is the last event of the stream that the caller has received, 0
	// for none.
	LastEventID EventID
}

// tokensOf returns the length of parts of a prompt.
func tokensOf(parts []PromptPart) policy.Tokens {
	sum := policy.Tokens(0)
	for _, pa := range parts {
		sum = quantity.Sum(sum, pa.Tokens)
	}
	return sum
}

// prefixTokens returns the length of the prompt's shared prefix.
func (rq *Request) prefixTokens() policy.Tokens {
	return tokensOf(rq.Prompt[:max(0, len(rq.Prompt)-1)])
}

// sharedParts returns the IDs of the parts that other requests may share.
func (rq *Request) sharedParts() []policy.PromptPartID {
	var out []policy.PromptPartID
	for n := range max(0, len(rq.Prompt)-1) {
		out = append(out, rq.Prompt[n].ID)
	}
	return out
}

// fingerprint identifies the request among those of its caller: one that comes again
// unchanged, under another ID, has the same.
func (rq *Request) fingerprint(caller policy.OrganisationID) policy.Fingerprint {
	di := xxhash.New()
	for _, text := range []string{string(caller), rq.Method, rq.Host, rq.Target} {
		_, _ = di.WriteString(text + "\x00") // never fails
	}
	_, _ = di.Write(rq.Body) // never fails
	return policy.Fingerprint(strconv.FormatUint(di.Sum64(), 16))
}

// prefix returns a hash of the prompt's shared prefix and the model, or 0 if there
// is no shared prefix.
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

// sessionFraction returns a number from 0 up to, but not including, 1 that is the
// same for all requests of a session. Numbers with different salts are
// independent of each other.
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
