package relay

import (
	"context"
	"errors"
	"net/url"
	"slices"
	"time"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
)

const (
	// settleTimeout bounds the wait until it is known whether the path is lost.
	settleTimeout = time.Second
	// lateSettleTimeout is that bound for a request whose time is up: a sound path is proven
	// in less.
	lateSettleTimeout = 50 * time.Millisecond
)

// WatchPath watches the path to the endpoints until ctx is cancelled. changed is called when it
// is lost or back.
func (ro *Router) WatchPath(ctx context.Context, changed func()) {
	ro.path.Run(ctx, ro.endpointAddresses, func(lost bool) {
		// Pooled connections from before the change may be dead without a sign.
		ro.client.CloseIdle()
		if lost {
			ro.log.Warn(event.PathLost, nil, event.Fields{"carriers": len(ro.carriers.peers(time.Now()))})
		} else {
			ro.log.Info(event.PathBack, nil)
		}
		changed()
	})
}

// PathLost reports whether this router has no path to any endpoint.
func (ro *Router) PathLost() bool { return ro.path.Lost() }

// endpointAddresses returns the addresses of all endpoints, each once.
func (ro *Router) endpointAddresses() []string {
	var out []string
	for _, en := range ro.holder.Set().Endpoints.List() {
		ur, err := url.Parse(en.Url)
		if err == nil && ur.Host != "" {
			out = append(out, ur.Host)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

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
		at.router.path.Doubt()
		at.pathFault = at.settlePath()
	}
	return at.pathFault
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

func (at *attempt) settlePath() bool {
	timeout := settleTimeout
	if left := time.Until(at.call.deadline); left < timeout {
		timeout = max(left, lateSettleTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return at.router.path.Settle(ctx)
}

// triesElsewhere reports whether the request is to avoid the endpoint at which the attempt
// failed. Without a path it need not, as long as a peer may carry it there.
func (at *attempt) triesElsewhere() bool {
	return !at.pathFault || at.carried || len(at.router.carriers.peers(time.Now())) == 0
}
