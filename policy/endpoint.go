package policy

import (
	"net/http"
	"net/url"
	"slices"
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultSlots            = 8
	defaultServiceTimeoutMS = 10_000
	// maxSlots is more than any endpoint has: slots are added and multiplied.
	maxSlots = 1 << 20
)

// Endpoint is one replica of a model engine or of a plain service.
type Endpoint struct {
	ID EndpointID
	*rpc.Endpoint
}

// Defaults sets the kind and the number of slots if they are not set, and bounds the latter.
func (en Endpoint) Defaults() {
	if en.Kind == rpc.EndpointKind_ENDPOINT_KIND_UNSPECIFIED {
		en.Kind = rpc.EndpointKind_ENGINE
	}
	if en.Slots == 0 {
		en.Slots = defaultSlots
	}
	en.Slots = min(en.Slots, maxSlots)
}

// Validate adds a finding to li for an invalid URL, a missing failure domain, a
// negative number of slots, each version that does not exist, and the service of a
// plain endpoint if it does not exist.
func (en Endpoint) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	ur, err := url.Parse(en.Url)
	if err != nil || ur.Scheme != "http" && ur.Scheme != "https" || ur.Host == "" {
		li.Add(at("url"), "%q is not an http or https URL", en.Url)
	}
	if en.FailureDomain == "" {
		li.Add(at("failure_domain"), "missing")
	}
	if en.Slots < 0 {
		li.Add(at("slots"), "%d is negative", en.Slots)
	}
	for _, id := range en.Versions {
		if _, ok := se.Versions.ByID(VersionID(id)); !ok {
			li.Add(at("versions"), "no version %q", id)
		}
	}
	if en.Kind != rpc.EndpointKind_PLAIN {
		return
	}
	if _, ok := se.Services.ByID(ServiceID(en.Service)); !ok {
		li.Add(at("service"), "no service %q", en.Service)
	}
}

// EndpointRun identifies one run of an endpoint: after a restart the endpoint may have the
// same ID. StartedAtMs is 0 if the start is not known.
type EndpointRun struct {
	ID          EndpointID
	StartedAtMs int64
}

// Run returns the endpoint's run.
func (en Endpoint) Run() EndpointRun { return EndpointRun{ID: en.ID, StartedAtMs: en.StartedAtMs} }

// ColdEndpoints returns the endpoints that are cold by their records, sorted by id. The caller must not
// change the slice.
func (se *Set) ColdEndpoints() []Endpoint { return se.coldEndpoints }

// Serves reports whether the endpoint's record lists a version among those that
// the endpoint should serve. The engine may not have loaded it yet.
func (en Endpoint) Serves(id VersionID) bool {
	return slices.Contains(en.Versions, string(id))
}

// Service is a plain HTTP service or, if its field Engine is set, a service whose
// endpoints are model engines.
type Service struct {
	ID ServiceID
	*rpc.Service
}

// Defaults sets the timeout and the unrepeatable methods if they are not set. By
// default a call with a method that may change data is not repeated.
func (sv Service) Defaults() {
	if sv.UnrepeatableMethods == nil {
		sv.UnrepeatableMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	}
	if sv.TimeoutMs == 0 {
		sv.TimeoutMs = defaultServiceTimeoutMS
	}
}

// Validate adds a finding to li for a negative timeout or price.
func (sv Service) Validate(li *finding.List, pl finding.Place, _ *Set) {
	if sv.TimeoutMs < 0 {
		li.Add(specPlace(pl)("timeout_ms"), "%d is negative", sv.TimeoutMs)
	}
	if sv.CostPerCall < 0 {
		li.Add(specPlace(pl)("cost_per_call"), "%d is negative", sv.CostPerCall)
	}
}

// Repeatable reports whether a call with a method may be sent more than once.
func (sv Service) Repeatable(method string) bool {
	return !slices.Contains(sv.UnrepeatableMethods, method)
}

// Deadline returns the time by which a call that arrived at the given time must
// be answered.
func (sv Service) Deadline(arrived time.Time) time.Time {
	return arrived.Add(quantity.Milliseconds(sv.TimeoutMs))
}
