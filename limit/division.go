package limit

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

// Division deals the places of a service's endpoints to the routers in turn, so that together
// they send no endpoint more than it has room for, whatever each of them knows of the others'
// requests, and have nearly as many places each.
type Division struct {
	routers int
	// index is this router's number among them.
	index int
	// firsts holds for each endpoint the number of the router that gets its first place.
	firsts map[policy.EndpointID]int
}

// Divide returns the division among the known routers, self included, of the places of
// endpoints. There may be minRouters, of which the others are not known yet.
func Divide(routers []vm.ID, self vm.ID, minRouters int, ens []policy.Endpoint) Division {
	di := Division{routers: len(routers), firsts: make(map[policy.EndpointID]int, len(ens))}
	sorted := slices.Sorted(slices.Values(routers))
	di.index, _ = slices.BinarySearch(sorted, self)
	if minRouters > di.routers {
		di.routers = minRouters
		di.index = int(xxhash.Sum64String(string(self)) % uint64(minRouters))
	}
	places := 0
	for _, en := range sortedByID(ens) {
		di.firsts[en.ID] = places % di.routers
		places += int(en.Slots)
	}
	return di
}

func sortedByID(ens []policy.Endpoint) []policy.Endpoint {
	return slices.SortedFunc(slices.Values(ens), func(a, b policy.Endpoint) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

// Share returns how many of an endpoint's places are this router's.
func (di Division) Share(id policy.EndpointID, places int) int {
	first, ok := di.firsts[id]
	if !ok {
		// The policy lacks it, but it is still used.
		first = int(xxhash.Sum64String(string(id)) % uint64(di.routers))
	}
	rank := (di.index - first + di.routers) % di.routers
	share := places / di.routers
	if rank < places%di.routers {
		share++
	}
	return share
}
