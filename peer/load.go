package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// EndpointHash stands for an endpoint's ID in messages.
type EndpointHash uint32

// HashEndpoint returns the hash of an endpoint's ID.
func HashEndpoint(id policy.EndpointID) EndpointHash {
	return EndpointHash(xxhash.Sum64String(string(id)))
}

// EndpointLoad is the load that daemons have placed on an endpoint.
type EndpointLoad struct {
	// Running is the number of requests in flight.
	Running int64
	// Backlog is the time that an idle endpoint would need for those of them whose answers
	// have not begun.
	Backlog time.Duration
}

// runningBounds are those of the requests in flight that daemons tell each other.
var runningBounds = quantity.Bounds[int64]{Min: 0, Max: 1 << 20}

// BoundedRunning returns a number of requests in flight as far as daemons believe it.
func BoundedRunning(n int64) int64 { return runningBounds.Clamp(n) }

// maxBacklog is more work than any endpoint gets.
const maxBacklog = time.Hour

// BoundedBacklog returns a backlog as far as daemons believe it.
func BoundedBacklog(du time.Duration) time.Duration {
	return quantity.Bounds[time.Duration]{Min: 0, Max: maxBacklog}.Clamp(du)
}

// Loads are the loads of endpoints.
type Loads map[EndpointHash]EndpointLoad

// add adds other loads.
func (lo Loads) add(other Loads) {
	for ha, el := range other {
		sum := lo[ha]
		lo[ha] = EndpointLoad{Running: sum.Running + el.Running, Backlog: sum.Backlog + el.Backlog}
	}
}

// without returns the loads less others. What is not above zero is left out.
func (lo Loads) without(other Loads) Loads {
	out := Loads{}
	for ha, el := range lo {
		rest := EndpointLoad{Running: el.Running - other[ha].Running, Backlog: max(0, el.Backlog-other[ha].Backlog)}
		if rest.Running > 0 {
			out[ha] = rest
		}
	}
	return out
}

// Largest returns the n loads with the most requests in flight, or all if there are fewer.
func (lo Loads) Largest(n int) Loads {
	if len(lo) <= n {
		return lo
	}
	hashes := slices.SortedFunc(maps.Keys(lo), func(a, b EndpointHash) int {
		return cmp.Or(cmp.Compare(lo[b].Running, lo[a].Running), cmp.Compare(lo[b].Backlog, lo[a].Backlog), cmp.Compare(a, b))
	})
	out := make(Loads, n)
	for _, ha := range hashes[:n] {
		out[ha] = lo[ha]
	}
	return out
}

func (lo Loads) message() *rpc.EndpointLoads {
	ms := &rpc.EndpointLoads{}
	for ha, el := range lo {
		ms.Endpoints = append(ms.Endpoints, uint32(ha))
		ms.Running = append(ms.Running, uint32(runningBounds.Clamp(el.Running)))
		ms.BacklogMs = append(ms.BacklogMs, uint32(BoundedBacklog(el.Backlog).Milliseconds()))
	}
	return ms
}

// loadsOf returns the loads of a message. One with lists of different lengths has none.
func loadsOf(ms *rpc.EndpointLoads) Loads {
	out := Loads{}
	if len(ms.GetRunning()) != len(ms.GetEndpoints()) || len(ms.GetBacklogMs()) != len(ms.GetEndpoints()) {
		return out
	}
	for n, ha := range ms.GetEndpoints() {
		out[EndpointHash(ha)] = EndpointLoad{
			Running: runningBounds.Clamp(int64(ms.GetRunning()[n])), Backlog: BoundedBacklog(quantity.Milliseconds(ms.GetBacklogMs()[n])),
		}
	}
	return out
}
