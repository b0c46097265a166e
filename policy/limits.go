package policy

import (
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// LimitsSite is the id of the record whose limits apply to the site.
const LimitsSite LimitsID = "site"

const (
	defaultMaxHeaderBytes  = 32 << 10
	defaultMaxBodyBytes    = 1 << 20
	defaultHeaderTimeoutMS = 5_000
	defaultIdleTimeoutMS   = 60_000
	// maxBodyBytes bounds the limit of a body: no VM holds more, and buffers may still grow by it.
	maxBodyBytes = 1 << 40
)

// Limits are the limits on callers' requests: the sizes of header and body, and the
// time to send the header and to keep an idle connection.
type Limits struct {
	ID LimitsID
	*rpc.Limits
}

// Defaults sets each limit that is not set, and bounds that of bodies.
func (lm Limits) Defaults() {
	if lm.MaxHeaderBytes == 0 {
		lm.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if lm.MaxBodyBytes == 0 {
		lm.MaxBodyBytes = defaultMaxBodyBytes
	}
	lm.MaxBodyBytes = min(lm.MaxBodyBytes, maxBodyBytes)
	if lm.HeaderTimeoutMs == 0 {
		lm.HeaderTimeoutMs = defaultHeaderTimeoutMS
	}
	if lm.IdleTimeoutMs == 0 {
		lm.IdleTimeoutMs = defaultIdleTimeoutMS
	}
}

// Validate adds a finding to li for each negative limit.
func (lm Limits) Validate(li *finding.List, pl finding.Place, _ *Set) {
	for _, fi := range []struct {
		key   string
		value int64
	}{
		{"max_header_bytes", lm.MaxHeaderBytes}, {"max_body_bytes", lm.MaxBodyBytes},
		{"header_timeout_ms", lm.HeaderTimeoutMs}, {"idle_timeout_ms", lm.IdleTimeoutMs},
	} {
		if fi.value < 0 {
			li.Add(specPlace(pl)(fi.key), "%d is negative", fi.value)
		}
	}
}

// IdleTimeout returns how long a caller's connection may stay open without a
// request.
func (lm Limits) IdleTimeout() time.Duration {
	return quantity.Milliseconds(lm.IdleTimeoutMs)
}

// SiteLimits returns the limits of the site, or the defaults if there is no usable
// record for them.
func (se *Set) SiteLimits() Limits {
	if lm, ok := se.Limits.ByID(LimitsSite); ok {
		return lm
	}
	lm := Limits{ID: LimitsSite, Limits: &rpc.Limits{}}
	lm.Defaults()
	return lm
}
