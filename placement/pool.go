package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
)

// pointsPerEndpoint is the number of points that each endpoint has on the hash
// ring, so that endpoints get nearly equal parts of it.
const pointsPerEndpoint = 32

// Pool is the set of endpoints that serve one version or service, with their
// hash ring. It is immutable.
type Pool struct {
	Endpoints []policy.Endpoint
	points    []ringPoint
}

// ringPoint is a point of the hash ring; index is that of its endpoint.
type ringPoint struct {
	hash  uint64
	index int
}

// NewPool returns a pool of the given endpoints.
func NewPool(ens []policy.Endpoint) *Pool {
	po := &Pool{Endpoints: ens}
	for i, en := range ens {
		ha := xxhash.Sum64String(string(en.ID))
		for range pointsPerEndpoint {
			po.points = append(po.points, ringPoint{hash: ha, index: i})
			ha = mix(ha)
		}
	}
	slices.SortFunc(po.points, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return po
}

// mix returns a hash of ha by the finaliser of SplitMix64 (Steele, Lea and
// Flood, 2014).
func mix(ha uint64) uint64 {
	ha += 0x9e3779b97f4a7c15
	ha = (ha ^ ha>>30) * 0xbf58476d1ce4e5b9
	ha = (ha ^ ha>>27) * 0x94d049bb133111eb
	return ha ^ ha>>31
}
