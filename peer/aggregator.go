package peer

import (
	"context"
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

const (
	// shareInterval is how often a daemon of a large group exchanges sums, and
	// idleShareInterval how often it does so while they are empty.
	shareInterval     = 250 * time.Millisecond
	idleShareInterval = 500 * time.Millisecond
	// shareTimeout bounds such an exchange: later it is of no use.
	shareTimeout = 200 * time.Millisecond
	// SumsLifetime is how long received sums are used.
	SumsLifetime = 1500 * time.Millisecond
	// maxSharedLoads is the largest number of endpoints whose loads are told: a relay tells
	// them to each router of its failure domain. Endpoints with less load are left out.
	maxSharedLoads = 300
)

// ReleaseKey identifies a roll-out of a service's release.
type ReleaseKey struct {
	Service   policy.ServiceID
	Candidate policy.ReleaseID
}

// Sums are what daemons of a large group tell the others, added up on the way.
type Sums struct {
	Loads    Loads
	Releases map[ReleaseKey]rollout.Report
}

// newSums returns empty sums.
func newSums() Sums { return Sums{Loads: Loads{}, Releases: map[ReleaseKey]rollout.Report{}} }

// empty reports whether there is nothing to tell.
func (su Sums) empty() bool { return len(su.Loads) == 0 && len(su.Releases) == 0 }

// add adds other sums.
func (su Sums) add(other Sums) {
	su.Loads.add(other.Loads)
	for key, re := range other.Releases {
		su.Releases[key] = su.Releases[key].Add(re)
	}
}

// bounded returns the sums without the loads that are too many to be told.
func (su Sums) bounded() Sums {
	return Sums{Loads: su.Loads.Largest(maxSharedLoads), Releases: su.Releases}
}

func (su Sums) releaseMessages() []*rpc.ReleaseReport {
	var out []*rpc.ReleaseReport
	for key, re := range su.Releases {
		out = append(out, &rpc.ReleaseReport{Service: string(key.Service), Health: re.Message(string(key.Candidate))})
	}
	return out
}

// sumsOf returns the sums of a message.
func sumsOf(loads *rpc.EndpointLoads, releases []*rpc.ReleaseReport) Sums {
	out := Sums{Loads: loadsOf(loads), Releases: map[ReleaseKey]rollout.Report{}}
	for _, rr := range releases {
		key := ReleaseKey{policy.ServiceID(rr.GetService()), policy.ReleaseID(rr.GetHealth().GetVersion())}
		out.Releases[key] = rollout.ReportOf(rr.GetHealth())
	}
	return out
}

// sharedSums are sums as received at a time.
type sharedSums struct {
	Sums
	at time.Time
}

// Aggregator adds up what the daemons of a large group know, which is too much for each to tell
// every other one: the loads that they place on endpoints, and what they have observed of
// roll-outs. Each daemon tells the first relay of its failure domain its own, and is told the
// sums of all; the first relays tell each other the sums of their domains. The second relay
// stands in for the first. It is safe for concurrent use.
//
// mu guards all fields below it. No other lock is taken while it is held.
type Aggregator struct {
	group *Group
	own   func() Sums
	apply func(su Sums)

	mu sync.Mutex
	// members holds what the daemons of this failure domain told this one.
	members map[vm.ID]sharedSums
	// domains holds the sums of the other failure domains.
	domains map[policy.FailureDomain]sharedSums
	// all are the sums of all daemons, as this one last knew them.
	all sharedSums
	// lastShare is when this daemon last told its own.
	lastShare time.Time
}

// NewAggregator returns an aggregator of what own returns at each daemon. apply gets the loads
// of the other daemons, and the reports of all, again and again while they are known.
func NewAggregator(gr *Group, own func() Sums, apply func(su Sums)) *Aggregator {
	return &Aggregator{
		group: gr, own: own, apply: apply,
		members: map[vm.ID]sharedSums{}, domains: map[policy.FailureDomain]sharedSums{},
	}
}

// Run exchanges sums until ctx is done.
func (ag *Aggregator) Run(ctx context.Context) {
	for worker.Sleep(ctx, shareInterval) {
		if own := ag.own(); ag.group.Large() && ag.due(own) {
			ag.share(ctx, own)
		}
	}
}

// due reports whether this daemon is to tell its own now, and records that it is.
func (ag *Aggregator) due(own Sums) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	idle := own.empty() && ag.all.empty()
	for _, sh := range ag.members {
		idle = idle && sh.empty()
	}
	if idle && time.Since(ag.lastShare) < idleShareInterval {
		return false
	}
	ag.lastShare = time.Now()
	return true
}

// share tells a relay what this daemon knows or, at a relay, the other domains' relays the sums
// of its domain, and applies what is known of the others.
func (ag *Aggregator) share(ctx context.Context, own Sums) {
	gr := ag.group
	pl := gr.plan()
	for _, re := range pl.relays {
		if gr.isSelf(re) {
			ag.shareDomain(ctx, pl.firstRelays, own)
			break
		}
		if su, ok := ag.tell(ctx, re.Address, false, own); ok {
			ag.setAll(su)
			break
		}
	}
	ag.mu.Lock()
	all := ag.all
	ag.mu.Unlock()
	if time.Since(all.at) < SumsLifetime {
		ag.apply(Sums{Loads: all.Loads.without(own.Loads), Releases: all.Releases})
	}
}

// tell tells a daemon sums, and returns those that it knows.
func (ag *Aggregator) tell(ctx context.Context, address string, domain bool, su Sums) (Sums, bool) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	gr := ag.group
	rs, err := gr.Peer(address).ShareLoad(ctx, &rpc.ShareLoadRequest{
		Vm: string(gr.VM()), FailureDomain: string(gr.FailureDomain()), Domain: domain,
		Loads: su.Loads.message(), Releases: su.releaseMessages(),
	})
	if err != nil {
		gr.recordFailure(ctx, address, err)
		return Sums{}, false
	}
	return sumsOf(rs.GetLoads(), rs.GetReleases()), true
}

// shareDomain tells the first relay of each other failure domain the sums of this one.
func (ag *Aggregator) shareDomain(ctx context.Context, relays map[policy.FailureDomain]Holder, own Sums) {
	mine := ag.domainSum(own)
	told := mine.bounded()
	wg := worker.NewGroup()
	for fd, re := range relays {
		if fd == ag.group.FailureDomain() {
			continue
		}
		wg.Go(func(context.Context) {
			if su, ok := ag.tell(ctx, re.Address, true, told); ok {
				ag.setDomain(fd, su)
			}
		})
	}
	wg.Wait()
	ag.mu.Lock()
	for _, sh := range ag.domains {
		if time.Since(sh.at) < SumsLifetime {
			mine.add(sh.Sums)
		}
	}
	ag.mu.Unlock()
	ag.setAll(mine)
}

// domainSum returns the sums of this daemon's own and of what the others of its failure domain
// have told it, and forgets what is too old.
func (ag *Aggregator) domainSum(own Sums) Sums {
	out := newSums()
	out.add(own)
	ag.mu.Lock()
	defer ag.mu.Unlock()
	for id, sh := range ag.members {
		if time.Since(sh.at) >= SumsLifetime {
			delete(ag.members, id)
			continue
		}
		out.add(sh.Sums)
	}
	return out
}

func (ag *Aggregator) setAll(su Sums) {
	su = su.bounded()
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.all = sharedSums{su, time.Now()}
}

func (ag *Aggregator) setDomain(fd policy.FailureDomain, su Sums) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.domains[fd] = sharedSums{su, time.Now()}
}

// ShareLoad answers other daemons' calls of rpc.PeerService.
func (ag *Aggregator) ShareLoad(_ context.Context, rq *rpc.ShareLoadRequest) (*rpc.ShareLoadResponse, error) {
	told := sumsOf(rq.GetLoads(), rq.GetReleases())
	if rq.GetDomain() {
		ag.setDomain(policy.FailureDomain(rq.GetFailureDomain()), told)
		mine := ag.domainSum(ag.own()).bounded()
		return &rpc.ShareLoadResponse{Loads: mine.Loads.message(), Releases: mine.releaseMessages()}, nil
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.members[vm.ID(rq.GetVm())] = sharedSums{told, time.Now()}
	all := ag.all
	if time.Since(all.at) >= SumsLifetime {
		all.Sums = Sums{}
	}
	return &rpc.ShareLoadResponse{Loads: all.Loads.message(), Releases: all.releaseMessages()}, nil
}
