package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultRouteTimeoutMS = 30_000
	defaultRouteTargetMS  = 2_000
)

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	ID RouteID
	*rpc.Route
}

// Defaults sets the kind, the timeout, the target and the number of attempts if
// they are not set. A route without a kind is unsafe: its requests are not
// repeated.
func (rt Route) Defaults() {
	if rt.Kind == rpc.RouteKind_ROUTE_KIND_UNSPECIFIED {
		rt.Kind = rpc.RouteKind_UNSAFE
	}
	if rt.TimeoutMs == 0 {
		rt.TimeoutMs = defaultRouteTimeoutMS
	}
	if rt.TargetMs == 0 {
		rt.TargetMs = defaultRouteTargetMS
	}
	if rt.MaxAttempts == 0 {
		rt.MaxAttempts = 1
	}
}

// Validate adds a finding to li for a missing host or split, an invalid prefix, a
// service that does not exist, a negative weight, timeout or number of attempts, and
// another route with the same host and prefix.
func (rt Route) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if rt.Host == "" {
		li.Add(at("host"), "missing")
	}
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		li.Add(at("prefix"), "%q must begin and end with a slash", rt.Prefix)
	}
	if len(rt.Splits) == 0 {
		li.Add(at("splits"), "missing")
	}
	for _, sp := range rt.Splits {
		if _, ok := se.Services.ByID(ServiceID(sp.GetService())); !ok {
			li.Add(at("splits"), "no service %q", sp.GetService())
		}
		if sp.GetWeight() < 0 {
			li.Add(at("splits"), "weight %d is negative", sp.GetWeight())
		}
	}
	if rt.TimeoutMs < 0 {
		li.Add(at("timeout_ms"), "%d is negative", rt.TimeoutMs)
	}
	if rt.MaxAttempts < 0 {
		li.Add(at("max_attempts"), "%d is negative", rt.MaxAttempts)
	}
	for _, other := range se.Routes.List() {
		if other.ID != rt.ID && other.Host == rt.Host && other.Prefix == rt.Prefix {
			li.Add(at("prefix"), "route %q has the same host and prefix", other.ID)
		}
	}
}

// Deadline returns the time by which a request that arrived at the given time must
// have its final answer.
func (rt Route) Deadline(arrived time.Time) time.Time {
	return arrived.Add(quantity.Milliseconds(rt.TimeoutMs))
}

// LatencyTarget returns the longest latency of an answer, or of a stream's first
// event, that counts as in time.
func (rt Route) LatencyTarget() time.Duration { return quantity.Milliseconds(rt.TargetMs) }

// GapTarget returns the longest pause between two events of a stream that counts as
// in time, 0 if none is set.
func (rt Route) GapTarget() time.Duration { return quantity.Milliseconds(rt.GapTargetMs) }

// Repeatable reports whether a request may run more than once. A stream may if it
// can be resumed.
func (rt Route) Repeatable() bool {
	return rt.Kind == rpc.RouteKind_SAFE || rt.Kind == rpc.RouteKind_STREAM && rt.Resumable
}

// PickService picks one of the route's services in proportion to the weights of its
// splits. draw is a random number, at least 0 and less than 1. If all weights are 0,
// the service of the last split is picked. Without splits, PickService returns "".
func (rt Route) PickService(draw float64) ServiceID {
	sum := 0.0
	for _, sp := range rt.Splits {
		sum += float64(sp.GetWeight())
	}
	left := draw * sum
	for _, sp := range rt.Splits {
		if left -= float64(sp.GetWeight()); left < 0 {
			return ServiceID(sp.GetService())
		}
	}
	if len(rt.Splits) == 0 {
		return ""
	}
	return ServiceID(rt.Splits[len(rt.Splits)-1].GetService())
}

// RouteOf returns the route of the host with the longest prefix that matches the
// path.
func (se *Set) RouteOf(host, path string) (Route, bool) {
	for _, rt := range se.byHost[host] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt, true
		}
	}
	return Route{}, false
}

// routesByHost groups routes by host, each group sorted by prefix length, longest
// first.
func routesByHost(rts []Route) map[string][]Route {
	out := map[string][]Route{}
	for _, rt := range rts {
		out[rt.Host] = append(out[rt.Host], rt)
	}
	for _, group := range out {
		slices.SortFunc(group, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return out
}

// ServiceRollout returns the roll-out of a service's release: the active one, or
// else the one that ended last. Its record has the service's id, so that a service has
// one such record at most.
func (se *Set) ServiceRollout(id ServiceID) (Rollout, bool) {
	return se.Rollouts.ByID(RolloutID(id))
}
