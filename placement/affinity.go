package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// cacheLifetime is how long a prefix counts as cached at an endpoint that it
	// was sent to.
	cacheLifetime = 6 * time.Second
	// maxRecentPrefixes is the largest size of Balancer.sentAt, and the size of
	// popularity.counts above which rarely requested prefixes are dropped.
	maxRecentPrefixes = 4096
	// preferredEndpoints is the number of endpoints that rendezvous hashing assigns
	// to each prefix.
	preferredEndpoints = 2
	// secondPreferredShare is the part of a prefix that is expected in the cache
	// of its second preferred endpoint.
	secondPreferredShare = 0.5
)

// endpointPrefix is a prefix that was sent to an endpoint.
type endpointPrefix struct {
	prefix   Prefix
	endpoint policy.EndpointID
}

// cachedShares returns for each endpoint the part of the job's prefix expected
// in its cache, from 0 to 1: all of it at the first preferred endpoint and where
// it was sent within cacheLifetime, and secondPreferredShare at the second.
func (ba *Balancer) cachedShares(now time.Time, ens []policy.Endpoint, jo Job) []float64 {
	out := make([]float64, len(ens))
	if jo.Prefix == 0 {
		return out
	}
	order := make([]int, len(ens))
	hashes := make([]uint64, len(ens))
	for i, en := range ens {
		order[i], hashes[i] = i, mix(xxhash.Sum64String(string(en.ID))^uint64(jo.Prefix))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[b], hashes[a]) })
	share := 1.0
	for _, i := range order[:min(preferredEndpoints, len(order))] {
		out[i] = share
		share = secondPreferredShare
	}
	for i, en := range ens {
		if at, ok := ba.sentAt[endpointPrefix{jo.Prefix, en.ID}]; ok && now.Sub(at) < cacheLifetime {
			out[i] = 1
		}
	}
	return out
}

// recordSent records that a prefix was sent to an endpoint. When the table is
// full, it drops the expired entries, or all when none has expired.
func (ba *Balancer) recordSent(now time.Time, prefix Prefix, id policy.EndpointID) {
	if prefix == 0 {
		return
	}
	if len(ba.sentAt) >= maxRecentPrefixes {
		for key, at := range ba.sentAt {
			if now.Sub(at) >= cacheLifetime {
				delete(ba.sentAt, key)
			}
		}
		if len(ba.sentAt) >= maxRecentPrefixes {
			clear(ba.sentAt)
		}
	}
	ba.sentAt[endpointPrefix{prefix, id}] = now
}
