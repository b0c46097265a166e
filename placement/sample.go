package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxCompared is the largest number of endpoints that are all compared for a job.
	maxCompared = 24
	// sampledNear and sampledAll are how many endpoints of the router's failure domain, and
	// of all, are compared at random where there are more.
	sampledNear = 2
	sampledAll  = 1
)

// compared returns the usable endpoints to compare for a job, and the homes of its prefix: all
// where they are few. Where they are many, so are the routers that choose by the same loads,
// which are somewhat old: if all compared all endpoints, they would all send to the few that
// were the least loaded. So each compares the homes and some at random (Mitzenmacher, 2000: How
// useful is old information?), or all if none of these is usable.
func (ba *Balancer) compared(ens []policy.Endpoint, jo Job, unusable func(en policy.Endpoint) bool) (compared, home []policy.Endpoint) {
	if len(ens) > maxCompared {
		sampled, home := ba.sample(ens, jo.Prefix)
		if sampled = slices.DeleteFunc(sampled, unusable); len(sampled) > 0 {
			return sampled, home
		}
	}
	compared = slices.DeleteFunc(slices.Clone(ens), unusable)
	return compared, homes(compared, jo.Prefix)
}

// sample returns the homes of a prefix in the router's failure domain with some endpoints of
// the domain, and of all, at random. It also returns the homes apart.
func (ba *Balancer) sample(ens []policy.Endpoint, pr Prefix) (sampled, home []policy.Endpoint) {
	near := slices.DeleteFunc(slices.Clone(ens), func(en policy.Endpoint) bool { return policy.FailureDomain(en.FailureDomain) != ba.domain })
	if len(near) < sampledNear {
		near = ens
	}
	home = homes(near, pr)
	sampled = slices.Clone(home)
	for range sampledNear {
		sampled = appendNew(sampled, near[ba.rng.IntN(len(near))])
	}
	for range sampledAll {
		sampled = appendNew(sampled, ens[ba.rng.IntN(len(ens))])
	}
	return sampled, home
}

// homes returns the endpoints that rendezvous hashing assigns to a prefix, the first one
// first; none if there is no prefix.
func homes(ens []policy.Endpoint, pr Prefix) []policy.Endpoint {
	if pr == 0 || len(ens) == 0 {
		return nil
	}
	var first, second policy.Endpoint
	var most, next uint64
	for _, en := range ens {
		switch ha := homeRank(en.ID, pr); {
		case first.Endpoint == nil || ha > most:
			second, next = first, most
			first, most = en, ha
		case second.Endpoint == nil || ha > next:
			second, next = en, ha
		}
	}
	if second.Endpoint == nil {
		return []policy.Endpoint{first}
	}
	return []policy.Endpoint{first, second}
}

// homeRank returns the rank of an endpoint for a prefix; the greatest are its homes.
func homeRank(id policy.EndpointID, pr Prefix) uint64 {
	return mix(xxhash.Sum64String(string(id)) ^ uint64(pr))
}

// appendNew appends an endpoint that is not among those before.
func appendNew(ens []policy.Endpoint, en policy.Endpoint) []policy.Endpoint {
	if slices.ContainsFunc(ens, func(other policy.Endpoint) bool { return other.ID == en.ID }) {
		return ens
	}
	return append(ens, en)
}
