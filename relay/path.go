package relay

import (
	"context"
	"errors"
	"net/url"
	"slices"
	"time"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
)

const (
	// settleTimeout bounds the wait until it is known whether the path is lost.
	settleTimeout = time.Second
	// lateSettleTimeout is that bound for a request whose time is up: a sound path is proven
	// in less.
	lateSettleTimeout = 50 * time.Millisecond
)

// WatchPaths watches the paths to the endpoints until ctx is cancelled. changed is called when
// one is lost or back.
func (ro *Router) WatchPaths(ctx context.Context, changed func()) {
	ro.paths.Run(ctx, ro.endpointAddresses, func(id policy.ServiceID, lost bool) {
		// Pooled connections from before the change may be dead without a sign.
		ro.paths.Of(id).CloseIdle()
		if lost {
			ro.log.Warn(event.PathLost, nil, event.Fields{"service": id, "carriers": len(ro.carriers.peers(time.Now(), id))})
			ro.doubtOthers(id)
		} else {
			ro.log.Info(event.PathBack, event.Fields{"service": id})
		}
		changed()
	})
}

// PathLost reports whether this router has no path to the endpoints of any service.
func (ro *Router) PathLost() bool {
	lost := ro.LostServices()
	return len(lost) > 0 && !slices.ContainsFunc(ro.services(), func(id policy.ServiceID) bool { return !slices.Contains(lost, id) })
}

// LostServices returns the services to whose endpoints this router has no path.
func (ro *Router) LostServices() []policy.ServiceID { return ro.paths.LostServices() }

// services returns the services that have endpoints, each once.
func (ro *Router) services() []policy.ServiceID {
	var out []policy.ServiceID
	for _, en := range ro.holder.Set().Endpoints.List() {
		out = append(out, policy.ServiceID(en.Service))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// doubtOthers raises doubt about the paths to all services but one.
func (ro *Router) doubtOthers(id policy.ServiceID) {
	for _, other := range ro.services() {
		if other != id {
			ro.paths.Of(other).Doubt()
		}
	}
}

// endpointAddresses returns the addresses of a service's endpoints, each once.
func (ro *Router) endpointAddresses(id policy.ServiceID) []string {
	var out []string
	for _, en := range ro.holder.Set().Endpoints.List() {
		if ad := addressOf(en); en.Service == string(id) && ad != "" {
			out = append(out, ad)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// addressOf returns an endpoint's address, HOST:PORT, "" if its URL names none.
func addressOf(en policy.Endpoint) string {
	ur, err := url.Parse(en.Url)
	if err != nil {
		return ""
	}
	return ur.Host
}

// service returns the service of the attempt's endpoint, path the path to its endpoints.
func (at *attempt) service() policy.ServiceID { return policy.ServiceID(at.endpoint.Service) }
func (at *attempt) path() *endpoint.Path      { return at.router.paths.Of(at.service()) }

// pathFailed reports whether a failure of the attempt's connection is due to the path to the
// endpoint, or to a peer on it, and says nothing of the endpoint. It blocks until that is known.
func (at *attempt) pathFailed(err error) bool {
	var fa *endpoint.Failure
	if !errors.As(err, &fa) {
		return false
	}
	switch {
	case at.carried:
		at.pathFault = fa.Hop
	case isConnectionFailure(fa):
		at.path().Doubt()
		at.pathFault = at.settle(at.path())
	}
	return at.pathFault
}

// excused reports whether a failure of the attempt's connection says nothing of its request.
// While endpoints of other services are reached, those of this one may all have crashed.
func (at *attempt) excused(err error) bool {
	if !at.pathFailed(err) || at.carried {
		return at.pathFault
	}
	at.router.doubtOthers(at.service())
	for _, id := range at.router.services() {
		if !at.settle(at.router.paths.Of(id)) {
			return false
		}
	}
	return true
}

// isConnectionFailure reports whether a failure may be that of the path. One by a caller that
// left is none.
func isConnectionFailure(fa *endpoint.Failure) bool {
	switch fa.Cause {
	case endpoint.CauseSilent:
		return true
	case endpoint.CauseUnreachable, endpoint.CauseBroken:
		return !errors.Is(fa.Err, context.Canceled)
	default:
		return false
	}
}

// settle reports whether a path is lost. It blocks until that is known.
func (at *attempt) settle(pa *endpoint.Path) bool {
	timeout := settleTimeout
	if left := time.Until(at.call.deadline); left < timeout {
		timeout = max(left, lateSettleTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return pa.Settle(ctx)
}

// triesElsewhere reports whether the request is to avoid the endpoint at which the attempt
// failed. Without a path it need not, as long as a peer may carry it there.
func (at *attempt) triesElsewhere() bool {
	return !at.pathFault || at.carried || len(at.router.carriers.peers(time.Now(), at.service())) == 0
}
