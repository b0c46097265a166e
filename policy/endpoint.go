package policy

import (
	"net/http"
	"net/url"
	"slices"
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultSlots            = 8
	defaultServiceTimeoutMS = 10_000
)

// Endpoint is one replica: a model engine or a plain service.
type Endpoint struct {
	ID EndpointID
	*rpc.Endpoint
}

// Defaults sets what the record leaves out.
func (en Endpoint) Defaults() {
	if en.Kind == rpc.EndpointKind_ENDPOINT_KIND_UNSPECIFIED {
		en.Kind = rpc.EndpointKind_ENGINE
	}
	if en.Slots == 0 {
		en.Slots = defaultSlots
	}
}

// Validate finds mistakes.
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

// Serves tells whether the endpoint should serve a version.
func (en Endpoint) Serves(id VersionID) bool {
	return slices.Contains(en.Versions, string(id))
}

// Service is a plain service beside the engines.
type Service struct {
	ID ServiceID
	*rpc.Service
}

// Defaults sets what the record leaves out: only calls that change nothing may
// be repeated.
func (sv Service) Defaults() {
	if sv.UnrepeatableMethods == nil {
		sv.UnrepeatableMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	}
	if sv.TimeoutMs == 0 {
		sv.TimeoutMs = defaultServiceTimeoutMS
	}
}

// Validate finds mistakes.
func (sv Service) Validate(li *finding.List, pl finding.Place, _ *Set) {
	if sv.TimeoutMs < 0 {
		li.Add(specPlace(pl)("timeout_ms"), "%d is negative", sv.TimeoutMs)
	}
	if sv.CostPerCall < 0 {
		li.Add(specPlace(pl)("cost_per_call"), "%d is negative", sv.CostPerCall)
	}
}

// Repeatable tells whether a call with a method may be sent more than once.
func (sv Service) Repeatable(method string) bool {
	return !slices.Contains(sv.UnrepeatableMethods, method)
}

// Deadline is when a call that arrived at a time must have its answer.
func (sv Service) Deadline(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(sv.TimeoutMs) * time.Millisecond)
}
