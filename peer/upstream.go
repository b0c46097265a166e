package peer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

const (
	// StoreWatchers is how many daemons watch the store for all.
	StoreWatchers = 3
	// domainRelays is how many daemons of each failure domain of a large group pass the
	// policy on to the others of the domain.
	domainRelays = 2
	// watchTask is the key by which the daemons rank themselves for watching.
	watchTask = "policy_watch"
	// maxPolicyWait is the longest time for which a daemon waits at another one for news of
	// the policy.
	maxPolicyWait = 2 * time.Second
	// minEvidenceStep is how much newer evidence must be to be passed on at once, and
	// urgentEvidenceStep the same for a daemon that asks urgently.
	minEvidenceStep    = 500 * time.Millisecond
	urgentEvidenceStep = 10 * time.Millisecond
	// planAge is the age up to which a daemon of a small group does not look at the others
	// anew. In larger groups it is longer, up to maxPlanAge: sorting them takes longer too.
	planAge    = 500 * time.Millisecond
	maxPlanAge = 1500 * time.Millisecond
	// spareWatchers is how many daemons after the first are followed when those have no word
	// from the store.
	spareWatchers = 6
)

// watchPlan is what a daemon derives from the order in which the daemons are to watch the
// store.
type watchPlan struct {
	// rank is this daemon's place in the order, and alone reports whether there is no other
	// daemon in it.
	rank  int
	alone bool
	// daemons is the number of daemons in the order.
	daemons int
	// upstreams are the addresses of the daemons to follow.
	upstreams []string
	// relays are the relays of this daemon's failure domain, and firstRelays the first one of
	// each failure domain.
	relays      []Holder
	firstRelays map[policy.FailureDomain]Holder
	expiresAt   time.Time
}

// Seed implements configuration.Upstream.
func (gr *Group) Seed() bool { return slices.Contains(gr.opt.Seeds, gr.opt.Self.GetPeerAddress()) }

// Alone implements configuration.Upstream.
func (gr *Group) Alone() bool {
	pl := gr.plan()
	return pl.alone && len(pl.upstreams) > 0
}

// WatchRank implements configuration.Upstream.
func (gr *Group) WatchRank() (rank, daemons int) {
	pl := gr.plan()
	return pl.rank, pl.daemons
}

// PassOn implements configuration.Upstream. In a small group it tells all peers, in a large one a few,
// which pass it on in turn.
func (gr *Group) PassOn(ctx context.Context) {
	if gr.Large() {
		gr.notifyPeers(ctx, notifyFanout)
		return
	}
	gr.notifyPeers(ctx, smallGroup)
}

// Upstreams implements configuration.Upstream. In a small group these are the daemons that
// watch the store. In a large group the relays of each failure domain follow those, and the
// other daemons of the domain follow its relays. The next in the order come last: they watch
// the store when the first have no word from it.
func (gr *Group) Upstreams() []string { return gr.plan().upstreams }

// plan returns the plan, which may be a little old.
func (gr *Group) plan() watchPlan {
	gr.mu.Lock()
	pl := gr.watch
	gr.mu.Unlock()
	now := time.Now()
	if now.Before(pl.expiresAt) {
		return pl
	}
	order := gr.watchOrder()
	// This daemon follows none whose records may lack something: others watch in their place.
	whole := slices.DeleteFunc(slices.Clone(order), func(ho Holder) bool { return !gr.isWhole(ho.PolicyForm) })
	pl = watchPlan{
		rank: slices.IndexFunc(whole, gr.isSelf), daemons: len(whole), alone: len(order) <= 1,
		relays: relaysOf(order, gr.FailureDomain()), firstRelays: firstRelays(order),
		expiresAt: now.Add(min(gr.ScaleInterval(planAge), maxPlanAge)),
	}
	if pl.rank < 0 {
		pl.rank = len(whole)
	}
	if pl.alone {
		pl.upstreams = gr.otherSeeds()
	} else {
		pl.upstreams = gr.upstreamsOf(whole)
	}
	gr.mu.Lock()
	gr.watch = pl
	gr.mu.Unlock()
	return pl
}

// watchOrder returns the live daemons of this daemon's role that do not drain, this one
// included, in the order in which they are to watch the store. Daemons with fast links come
// first, as they pass large policies on sooner, then those that rendezvous hashing ranks
// first; the first ones are in as many failure domains as there are.
func (gr *Group) watchOrder() []Holder {
	all := gr.Holders()
	all[0].Draining = gr.self().GetDraining()
	all = slices.DeleteFunc(all, func(ho Holder) bool { return ho.Draining })
	weights := weightsOf(all, watchTask)
	slices.SortFunc(all, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(weights[b.VM], weights[a.VM]))
	})
	for n := 1; n < min(StoreWatchers, len(all)); n++ {
		elsewhere := slices.IndexFunc(all[n:], func(ho Holder) bool {
			return !slices.ContainsFunc(all[:n], func(before Holder) bool { return before.FailureDomain == ho.FailureDomain })
		})
		if elsewhere > 0 {
			ho := all[n+elsewhere]
			all = slices.Insert(slices.Delete(all, n+elsewhere, n+elsewhere+1), n, ho)
		}
	}
	return all
}

// otherSeeds returns the addresses of the daemons to follow while no other one is known.
func (gr *Group) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(gr.opt.Seeds), func(address string) bool { return address == gr.opt.Self.GetPeerAddress() })
}

// upstreamsOf returns the addresses of the daemons to follow, given the order.
func (gr *Group) upstreamsOf(order []Holder) []string {
	watchers := order[:min(StoreWatchers, len(order))]
	relays := relaysOf(order, gr.FailureDomain())
	first, second := watchers, relays
	if gr.Large() && !slices.ContainsFunc(relays, gr.isSelf) {
		first, second = relays, watchers
	}
	out := gr.rotated(first)
	spares := order[len(watchers):min(len(order), StoreWatchers+spareWatchers)]
	for _, address := range append(gr.rotated(second), addressesOf(spares)...) {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// relaysOf returns the first daemons of a failure domain in an order.
func relaysOf(order []Holder, fd policy.FailureDomain) []Holder {
	var out []Holder
	for _, ho := range order {
		if ho.FailureDomain == fd && len(out) < domainRelays {
			out = append(out, ho)
		}
	}
	return out
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

// rotated returns the addresses of the daemons without this one, from one on that differs
// from daemon to daemon, so that each gets the same share of the others.
func (gr *Group) rotated(daemons []Holder) []string {
	var out []string
	first := int(weight(gr.VM(), watchTask) % uint64(max(1, len(daemons))))
	for n := range daemons {
		if ho := daemons[(first+n)%len(daemons)]; !gr.isSelf(ho) {
			out = append(out, ho.Address)
		}
	}
	return out
}

// addressesOf returns the addresses of daemons, without this one's.
func addressesOf(daemons []Holder) []string {
	var out []string
	for _, ho := range daemons {
		if ho.Address != "" {
			out = append(out, ho.Address)
		}
	}
	return out
}

func (gr *Group) isSelf(ho Holder) bool { return ho.VM == gr.VM() }

// errLowerForm is the error of a call to a daemon whose records may lack something.
var errLowerForm = eris.New("peer holds policy records of a lower form")

// FollowPolicy implements configuration.Upstream.
func (gr *Group) FollowPolicy(ctx context.Context, address string, urgent bool) (configuration.Passed, error) {
	mine, age := gr.position(), gr.policyAgeMS(time.Now())
	if urgent {
		age += (minEvidenceStep - urgentEvidenceStep).Milliseconds()
	}
	rs, err := gr.Peer(address).WatchPolicy(ctx, &rpc.WatchPolicyRequest{
		AfterRevision: int64(mine.revision), PolicyRetained: uint64(mine.retained),
		PolicyAgeMs: age, WaitMs: maxPolicyWait.Milliseconds(),
	})
	if errors.Is(err, configuration.ErrReceiving) {
		return configuration.Passed{}, err
	}
	if err != nil {
		gr.recordFailure(ctx, address, err)
		return configuration.Passed{}, err
	}
	if rs.GetPolicy() != nil {
		gr.applyPolicy(rs.GetPolicy())
		gr.log.Debug(event.PolicyFromPeer, nil, event.Fields{"address": address, "revision": rs.GetPolicy().GetRevision()})
	}
	if !gr.isWhole(policy.Form(rs.GetPolicyForm())) {
		return configuration.Passed{}, errLowerForm
	}
	pa := configuration.Passed{Evidence: ago(rs.GetPolicyAgeMs()), StoreAnswered: ago(rs.GetStoreAgeMs()), StoreLost: rs.GetStoreLost()}
	gr.holder.Confirm(store.Revision(rs.GetPolicyRevision()), pa.Evidence)
	return pa, nil
}

// ago returns the time that was a number of milliseconds ago.
func ago(ms int64) time.Time { return quantity.Ago(time.Now(), ms) }

// WatchPolicy implements rpc.PeerService.
func (se *Server) WatchPolicy(ctx context.Context, rq *rpc.WatchPolicyRequest) (*rpc.WatchPolicyResponse, error) {
	gr := se.group
	theirs := position{store.Revision(rq.GetAfterRevision()), policy.RetainedDigest(rq.GetPolicyRetained())}
	gr.awaitNews(ctx, theirs, ago(rq.GetPolicyAgeMs()), min(maxPolicyWait, quantity.Milliseconds(rq.GetWaitMs())))
	rs := &rpc.WatchPolicyResponse{PolicyRevision: int64(gr.position().revision), PolicyAgeMs: gr.policyAgeMS(time.Now()), StoreAgeMs: gr.storeAgeMS(time.Now()), StoreLost: isClosed(gr.storeLost()), PolicyForm: gr.policyForm()}
	if gr.position().offers(theirs) {
		rs.Policy = gr.policyAfter(theirs)
		rs.PolicyRevision = rs.GetPolicy().GetRevision()
	}
	return rs, nil
}

// awaitNews blocks until this daemon has newer policy records than one at a position, or newer
// evidence than at a time, for wait at most. It does not block while this daemon has no word
// from the store itself, or has lost it.
func (gr *Group) awaitNews(ctx context.Context, theirs position, evidence time.Time, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for ctx.Err() == nil {
		changed, confirmed, mine := gr.holder.Changed(), gr.holder.Confirmed(), gr.holder.Evidence()
		lost := gr.storeLost()
		newer := gr.position().revision >= theirs.revision && mine.Sub(evidence) >= minEvidenceStep
		if newer || gr.position().urgent(theirs) || isClosed(lost) || time.Since(mine) >= gr.opt.MaxPassedAge {
			return
		}
		select {
		case <-changed:
		case <-confirmed:
		case <-lost:
		case <-time.After(time.Until(mine.Add(gr.opt.MaxPassedAge))):
		case <-ctx.Done():
		}
	}
}

// storeAgeMS returns the time in milliseconds since the store itself answered this daemon, as
// far as Options.StoreAnswered tells.
func (gr *Group) storeAgeMS(now time.Time) int64 {
	if gr.opt.StoreAnswered == nil {
		return now.UnixMilli()
	}
	return now.Sub(gr.opt.StoreAnswered()).Milliseconds()
}

// storeLost returns a channel that is closed while the store fails this daemon, as far as
// Options.StoreLost tells.
func (gr *Group) storeLost() <-chan struct{} {
	if gr.opt.StoreLost == nil {
		return nil
	}
	return gr.opt.StoreLost()
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
