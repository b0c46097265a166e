package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

const (
	// shareInterval is how often a daemon of a large group shares its load, and
	// idleShareInterval how often it does so while it knows of none.
	shareInterval     = 250 * time.Millisecond
	idleShareInterval = time.Second
	// shareTimeout bounds a call that shares a load: later it is of no use.
	shareTimeout = 200 * time.Millisecond
	// loadLifetime is how long a shared load is used.
	loadLifetime = 1500 * time.Millisecond
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

func (lo Loads) message() *rpc.EndpointLoads {
	ms := &rpc.EndpointLoads{}
	for ha, el := range lo {
		ms.Endpoints = append(ms.Endpoints, uint32(ha))
		ms.Running = append(ms.Running, uint32(el.Running))
		ms.BacklogMs = append(ms.BacklogMs, uint32(el.Backlog.Milliseconds()))
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
			Running: int64(ms.GetRunning()[n]), Backlog: time.Duration(ms.GetBacklogMs()[n]) * time.Millisecond,
		}
	}
	return out
}

// sharedLoad is a load as received at a time.
type sharedLoad struct {
	loads Loads
	at    time.Time
}

// LoadShare adds up the loads that the daemons of a large group place on endpoints. Each daemon
// tells the first relay of its failure domain its load, and is told that of all; the first
// relays tell each other the sums of their domains. The second relay stands in for the first.
// It is safe for concurrent use.
//
// mu guards all fields below it. No other lock is taken while it is held.
type LoadShare struct {
	group *Group
	own   func() Loads
	apply func(others Loads)

	mu sync.Mutex
	// members holds the loads of the daemons of this failure domain that told this one.
	members map[vm.ID]sharedLoad
	// domains holds the sums of the other failure domains.
	domains map[policy.FailureDomain]sharedLoad
	// all is the load of all daemons, as this one last knew it.
	all sharedLoad
	// lastShare is when this daemon last shared its load.
	lastShare time.Time
}

// NewLoadShare returns a share of the loads that own returns. apply gets the loads of the other
// daemons, again and again while they are known.
func NewLoadShare(gr *Group, own func() Loads, apply func(others Loads)) *LoadShare {
	return &LoadShare{
		group: gr, own: own, apply: apply,
		members: map[vm.ID]sharedLoad{}, domains: map[policy.FailureDomain]sharedLoad{},
	}
}

// Run shares loads until ctx is done.
func (ls *LoadShare) Run(ctx context.Context) {
	for worker.Sleep(ctx, shareInterval) {
		if own := ls.own(); ls.group.Large() && ls.due(own) {
			ls.share(ctx, own)
		}
	}
}

// due reports whether this daemon's load is to be shared now, and records that it is.
func (ls *LoadShare) due(own Loads) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	idle := len(own) == 0 && len(ls.all.loads) == 0
	for _, sl := range ls.members {
		idle = idle && len(sl.loads) == 0
	}
	if idle && time.Since(ls.lastShare) < idleShareInterval {
		return false
	}
	ls.lastShare = time.Now()
	return true
}

// share tells a relay this daemon's load or, at a relay, the other domains' relays that of its
// domain, and applies what is known of the others.
func (ls *LoadShare) share(ctx context.Context, own Loads) {
	gr := ls.group
	order := gr.watchOrder()
	for _, re := range relaysOf(order, gr.FailureDomain()) {
		if gr.isSelf(re) {
			ls.shareDomain(ctx, order, own)
			break
		}
		if loads, ok := ls.tell(ctx, re.Address, false, own); ok {
			ls.setAll(loads)
			break
		}
	}
	ls.mu.Lock()
	all := ls.all
	ls.mu.Unlock()
	if time.Since(all.at) < loadLifetime {
		ls.apply(all.loads.without(own))
	}
}

// tell tells a daemon a load, and returns the load that it knows.
func (ls *LoadShare) tell(ctx context.Context, address string, domain bool, loads Loads) (Loads, bool) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	gr := ls.group
	rs, err := gr.Peer(address).ShareLoad(ctx, &rpc.ShareLoadRequest{
		Vm: string(gr.VM()), FailureDomain: string(gr.FailureDomain()), Domain: domain, Loads: loads.message(),
	})
	if err != nil {
		gr.recordFailure(ctx, address, err)
		return nil, false
	}
	return loadsOf(rs.GetLoads()), true
}

// shareDomain tells the first relay of each other failure domain the load of this one.
func (ls *LoadShare) shareDomain(ctx context.Context, order []Holder, own Loads) {
	mine := ls.domainSum()
	mine.add(own)
	wg := worker.NewGroup()
	for fd, re := range firstRelays(order) {
		if fd == ls.group.FailureDomain() {
			continue
		}
		wg.Go(func(context.Context) {
			if loads, ok := ls.tell(ctx, re.Address, true, mine); ok {
				ls.setDomain(fd, loads)
			}
		})
	}
	wg.Wait()
	ls.mu.Lock()
	for _, sl := range ls.domains {
		if time.Since(sl.at) < loadLifetime {
			mine.add(sl.loads)
		}
	}
	ls.mu.Unlock()
	ls.setAll(mine)
}

// firstRelays returns the first relay of each failure domain in an order.
func firstRelays(order []Holder) map[policy.FailureDomain]Holder {
	out := map[policy.FailureDomain]Holder{}
	for _, ho := range order {
		if _, ok := out[ho.FailureDomain]; !ok {
			out[ho.FailureDomain] = ho
		}
	}
	return out
}

// domainSum returns the sum of the loads that daemons of this failure domain have told this
// one, and forgets those that are too old.
func (ls *LoadShare) domainSum() Loads {
	out := Loads{}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for id, sl := range ls.members {
		if time.Since(sl.at) >= loadLifetime {
			delete(ls.members, id)
			continue
		}
		out.add(sl.loads)
	}
	return out
}

func (ls *LoadShare) setAll(loads Loads) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.all = sharedLoad{loads, time.Now()}
}

func (ls *LoadShare) setDomain(fd policy.FailureDomain, loads Loads) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.domains[fd] = sharedLoad{loads, time.Now()}
}

// ShareLoad answers other daemons' calls of rpc.PeerService.
func (ls *LoadShare) ShareLoad(_ context.Context, rq *rpc.ShareLoadRequest) (*rpc.ShareLoadResponse, error) {
	told := loadsOf(rq.GetLoads())
	if rq.GetDomain() {
		ls.setDomain(policy.FailureDomain(rq.GetFailureDomain()), told)
		mine := ls.domainSum()
		mine.add(ls.own())
		return &rpc.ShareLoadResponse{Loads: mine.message()}, nil
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.members[vm.ID(rq.GetVm())] = sharedLoad{told, time.Now()}
	all := ls.all
	if time.Since(all.at) >= loadLifetime {
		all.loads = nil
	}
	return &rpc.ShareLoadResponse{Loads: all.loads.message()}, nil
}
