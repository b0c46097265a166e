package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultRouteTimeoutMS = 30_000
	defaultRouteTargetMS  = 2_000
)

// Route sends requests of a host and path to services.
type Route struct {
	ID RouteID
	*rpc.Route
}

// Defaults sets what the record leaves out. A route that does not say what may
// be repeated repeats nothing.
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

// Validate finds mistakes.
func (rt Route) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if rt.Host == "" {
		li.Add(at("host"), "missing")
	}
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		li.Add(at("prefix"), "%q does not begin and end with a slash", rt.Prefix)
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
			li.Add(at("prefix"), "same host and prefix as route %q", other.ID)
		}
	}
}

// Deadline is when a request that arrived at a time must have its final answer.
func (rt Route) Deadline(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(rt.TimeoutMs) * time.Millisecond)
}

// LatencyTarget is the time within which an answer is in time.
func (rt Route) LatencyTarget() time.Duration { return time.Duration(rt.TargetMs) * time.Millisecond }

// GapTarget is the longest pause of a stream that is in time, 0 when none is set.
func (rt Route) GapTarget() time.Duration { return time.Duration(rt.GapTargetMs) * time.Millisecond }

// Repeatable tells whether a request may run more than once. A stream may when
// it can be resumed.
func (rt Route) Repeatable() bool {
	return rt.Kind == rpc.RouteKind_SAFE || rt.Kind == rpc.RouteKind_STREAM && rt.Resumable
}

// PickService gives the service for a draw from 0 to 1, by the splits' weights.
func (rt Route) PickService(draw float64) ServiceID {
	sum := int64(0)
	for _, sp := range rt.Splits {
		sum += sp.GetWeight()
	}
	left := draw * float64(sum)
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

// RouteOf gives the route of a host and path: the one with the longest prefix.
func (se *Set) RouteOf(host, path string) (Route, bool) {
	for _, rt := range se.byHost[host] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt, true
		}
	}
	return Route{}, false
}

func routesByHost(rts []Route) map[string][]Route {
	out := map[string][]Route{}
	for _, rt := range rts {
		out[rt.Host] = append(out[rt.Host], rt)
	}
	for _, of := range out {
		slices.SortFunc(of, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return out
}

// ServiceRollout gives the roll-out of a service's release that is under way,
// or else the one that ended last.
func (se *Set) ServiceRollout(id ServiceID) (Rollout, bool) {
	return se.Rollouts.ByID(RolloutID(id))
}
