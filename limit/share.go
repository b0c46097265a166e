package limit

import (
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

const (
	// usedShare is the part of a limit that the routers use together. The rest allows for
	// routers that disagree on who shares it.
	usedShare = 0.9
	// minRate is used for lower limits, in requests a second: only an answer can show that
	// a limit has ended.
	minRate = Rate(0.1)
	// minSharers is the number of routers that share a limit of 0, and sharersPerRate how
	// many more do for each request a second. Each may have one request at hand: more of
	// them would send larger bursts, fewer would leave more callers without a share.
	minSharers     = 3
	sharersPerRate = 2
	// assumedRouters is how many routers a router assumes at least in the time joinTime
	// after its start, as it does not know the others yet.
	assumedRouters = 8
	joinTime       = 5 * time.Second
)

// site is what a router knows of the others at a time.
type site struct {
	now     time.Time
	routers []peer.Holder
	// self is the first of routers. There may be minRouters that it does not know yet.
	self       peer.Holder
	minRouters int
	policy     *policy.Set
}

func (li *Limits) site(now time.Time) site {
	routers := li.group.Holders()
	si := site{now: now, routers: routers, self: routers[0], policy: li.holder.Set()}
	if now.Sub(li.startedAt) < joinTime {
		si.minRouters = assumedRouters
	}
	return si
}

// sharerBounds are those of the routers that share a limit besides minSharers: there are fewer.
var sharerBounds = quantity.Bounds[int]{Min: 0, Max: 1 << 20}

// sharers returns how many routers share a limit.
func sharers(ra Rate) int { return minSharers + sharerBounds.Of(math.Ceil(sharersPerRate*float64(ra))) }

// Share returns a router's part of the limit of an endpoint in a failure domain, 0 if
// others of the routers share it.
func Share(routers []peer.Holder, self peer.Holder, fd policy.FailureDomain, id policy.EndpointID, ra Rate) Rate {
	n := min(len(routers), sharers(ra))
	if !slices.Contains(peer.SelectNearest(routers, fd, string(id), n), self) {
		return 0
	}
	return used(ra) / Rate(n)
}

// used returns the part of a limit that the routers use together.
func used(ra Rate) Rate { return usedShare * rateBounds.Clamp(ra) }

// shareOf returns this router's part of an endpoint's limit. Without word of the endpoint
// for wordTTL, those that share it may have no callers, so that all routers share it.
func (si site) shareOf(id policy.EndpointID, wo *word) Rate {
	if si.now.Sub(wo.at) > wordTTL {
		return used(wo.rate) / Rate(max(len(si.routers), si.minRouters))
	}
	var fd policy.FailureDomain
	if en, ok := si.policy.Endpoints.ByID(id); ok {
		fd = policy.FailureDomain(en.FailureDomain)
	}
	share := Share(si.routers, si.self, fd, id, wo.rate)
	if unknown := min(si.minRouters, sharers(wo.rate)) - len(si.routers); unknown > 0 {
		share *= Rate(len(si.routers)) / Rate(len(si.routers)+unknown)
	}
	return share
}
