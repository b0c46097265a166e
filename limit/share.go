package limit

import (
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
)

const (
	// usedShare is the part of a limit that the routers use together. The rest allows for
	// routers that disagree on who shares it.
	usedShare = 0.9
	// minRate is used for lower limits, in requests a second: only an answer can show that
	// a limit has ended.
	minRate = Rate(0.1)
	// minSharers is the smallest number of routers that share a limit, so that it is used
	// when one of them has no callers.
	minSharers = 2
	// assumedRouters is how many routers a router assumes at least in the time joinTime
	// after its start, as it does not know the others yet.
	assumedRouters = 8
	joinTime       = 5 * time.Second
)

// site is what a router knows of the others at a time.
type site struct {
	now     time.Time
	routers []peer.Holder
	// self is the first of routers. joining reports whether it has just started.
	self    peer.Holder
	joining bool
	policy  *policy.Set
}

func (li *Limits) site(now time.Time) site {
	routers := li.group.Holders()
	return site{now: now, routers: routers, self: routers[0], joining: now.Sub(li.startedAt) < joinTime, policy: li.holder.Set()}
}

// sharers returns how many routers share a limit. Each may have one token at hand, so
// more of them would send larger bursts, and fewer leave more callers without a share.
func sharers(ra Rate) int { return max(minSharers, int(math.Ceil(float64(ra)))+1) }

// shareOf returns this router's part of an endpoint's limit. Without word of the endpoint
// for wordTTL, those that share it may have no callers, so that all routers share it.
func (si site) shareOf(id policy.EndpointID, wo *word) Rate {
	routers := len(si.routers)
	if si.joining {
		routers = max(routers, assumedRouters)
	}
	use := usedShare * max(minRate, wo.rate)
	if si.now.Sub(wo.at) > wordTTL {
		return use / Rate(routers)
	}
	en, _ := si.policy.Endpoints.ByID(id)
	var domain policy.FailureDomain
	if en.Endpoint != nil {
		domain = policy.FailureDomain(en.FailureDomain)
	}
	n := min(routers, sharers(wo.rate))
	if !slices.Contains(peer.SelectNearest(si.routers, domain, string(id), n), si.self) {
		return 0
	}
	return use / Rate(n)
}
