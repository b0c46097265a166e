package placement

import (
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// cacheLifetime is how long a prefix counts as cached at an endpoint that it
	// was sent to.
	cacheLifetime = 6 * time.Second
	// maxRecentPrefixes is the largest size of Balancer.sentAt, and the size of
	// popularity.counts above which rarely requested prefixes are dropped.
	maxRecentPrefixes = 4096
	// secondPreferredShare is the part of a prefix that is expected in the cache
	// of its second home.
	secondPreferredShare = 0.5
)

// endpointPrefix is a prefix that was sent to an endpoint.
type endpointPrefix struct {
	prefix   Prefix
	endpoint policy.EndpointID
}

// cachedShares returns for each endpoint the part of the job's prefix expected
// in its cache, from 0 to 1: all of it at the first of its homes and where
// it was sent within cacheLifetime, and secondPreferredShare at the second.
func (ba *Balancer) cachedShares(now time.Time, ens, homes []policy.Endpoint, jo Job) []float64 {
	out := make([]float64, len(ens))
	if jo.Prefix == 0 {
		return out
	}
	for i, en := range ens {
		switch at, ok := ba.sentAt[endpointPrefix{jo.Prefix, en.ID}]; {
		case ok && now.Sub(at) < cacheLifetime, len(homes) > 0 && homes[0].ID == en.ID:
			out[i] = 1
		case len(homes) > 1 && homes[1].ID == en.ID:
			out[i] = secondPreferredShare
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
