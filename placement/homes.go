package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// rememberedHome is how long a prompt sent to an endpoint counts as cached there.
	rememberedHome = 6 * time.Second
	// maxRemembered bounds the prompts remembered.
	maxRemembered = 4096
	// homes is how many endpoints a prompt's start has by hash.
	homes = 2
	// secondHomeCredit is the part of a cached start that is expected at the second.
	secondHomeCredit = 0.5
)

// remembered is a prompt's start sent to an endpoint.
type remembered struct {
	start    Prefix
	endpoint policy.EndpointID
}

// credits gives, for each endpoint, which part of the job's start is expected
// in its cache: all where it was sent of late, and at its first home by hash.
func (ba *Balancer) credits(now time.Time, ens []policy.Endpoint, jo Job) []float64 {
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
	credit := 1.0
	for _, i := range order[:min(homes, len(order))] {
		out[i] = credit
		credit = secondHomeCredit
	}
	for i, en := range ens {
		if at, ok := ba.sent[remembered{jo.Prefix, en.ID}]; ok && now.Sub(at) < rememberedHome {
			out[i] = 1
		}
	}
	return out
}

func (ba *Balancer) remember(now time.Time, start Prefix, id policy.EndpointID) {
	if start == 0 {
		return
	}
	if len(ba.sent) >= maxRemembered {
		for key, at := range ba.sent {
			if now.Sub(at) >= rememberedHome {
				delete(ba.sent, key)
			}
		}
		if len(ba.sent) >= maxRemembered {
			clear(ba.sent)
		}
	}
	ba.sent[remembered{start, id}] = now
}
