package peer

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// exchangeRevisions exchanges only policy revisions with a peer. The side with
// the older policy then fetches the newer one.
func (gr *Group) exchangeRevisions(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gr.exchangeTimeout())
	defer cancel()
	asked := time.Now()
	rs, err := gr.Peer(address).Exchange(ctx, &rpc.ExchangeRequest{
		From: gr.opt.Self, PolicyOnly: true,
		PolicyRevision: int64(gr.holder.Set().Revision), PolicyAgeMs: gr.policyAgeMS(asked),
	})
	if err != nil {
		gr.recordFailure(ctx, address, err)
		return
	}
	gr.fetchPolicy(ctx, address, store.Revision(rs.GetPolicyRevision()), asked.Add(-time.Duration(rs.GetPolicyAgeMs())*time.Millisecond))
}

// fetchPolicy fetches and applies a peer's policy if it is newer. It also adopts
// the peer's evidence, the time at which that revision was known to be the
// store's newest.
func (gr *Group) fetchPolicy(ctx context.Context, address string, revision store.Revision, evidence time.Time) {
	mine := gr.holder.Set().Revision
	if revision > mine {
		rs, err := gr.Peer(address).FetchPolicy(ctx, &rpc.FetchPolicyRequest{AfterRevision: int64(mine)})
		if err != nil {
			gr.recordFailure(ctx, address, err)
			return
		}
		gr.applyPolicy(rs)
		gr.log.Info(event.PolicyFromPeer, event.Fields{"address": address, "revision": rs.GetRevision()})
	}
	gr.holder.Confirm(revision, evidence)
}

// offerPolicy sends the policy in force to a peer whose policy is still older than
// this daemon's was at the start of the previous round. Such a peer had time to
// fetch that policy and has not, so it may be unable to open connections to other
// daemons.
func (gr *Group) offerPolicy(ctx context.Context, address string, revision store.Revision) {
	gr.mu.Lock()
	previous := gr.previousRevision
	gr.mu.Unlock()
	if revision >= previous {
		return
	}
	_, err := gr.Peer(address).OfferPolicy(ctx, &rpc.OfferPolicyRequest{Policy: gr.policyAfter(revision), AfterRevision: int64(revision)})
	if err != nil {
		gr.recordFailure(ctx, address, err)
	}
}

// rotateRevisions records the policy revision at the start of a round and keeps
// that of the round before, which peers have had a whole round to fetch.
func (gr *Group) rotateRevisions() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.previousRevision, gr.currentRevision = gr.currentRevision, gr.holder.Set().Revision
}

// applyPolicy applies policy records from a peer. The holder ignores those that
// are older than its own.
func (gr *Group) applyPolicy(rs *rpc.FetchPolicyResponse) {
	var changes []policy.StoredRecord
	for _, en := range rs.GetEntries() {
		changes = append(changes, policy.StoredRecord{Key: en.GetKey(), Value: en.GetValue(), ModRevision: store.Revision(en.GetModRevision())})
	}
	if rs.GetComplete() {
		gr.holder.Replace(store.Revision(rs.GetRevision()), changes)
		return
	}
	gr.holder.Update(store.Revision(rs.GetRevision()), changes)
}

// policyAfter returns the records changed after a revision. If the revision is
// older than the set's SnapshotRevision, the set may lack removals since then, and
// it returns a complete copy of the live records instead.
func (gr *Group) policyAfter(after store.Revision) *rpc.FetchPolicyResponse {
	set := gr.holder.Set()
	rs := &rpc.FetchPolicyResponse{Revision: int64(set.Revision)}
	changes := set.ChangedAfter(after)
	if after < set.SnapshotRevision {
		rs.Complete, changes = true, set.Live()
	}
	for _, st := range changes {
		if !rs.GetComplete() && st.ModRevision > set.Revision {
			// The record is newer than the set's revision. A peer must not
			// conclude that it has all changes up to the record's revision.
			continue
		}
		rs.Entries = append(rs.Entries, &rpc.PolicyEntry{Key: st.Key, Value: st.Value, ModRevision: int64(st.ModRevision)})
	}
	return rs
}

// policyAgeMS returns the age, in milliseconds, of the latest evidence that the
// policy in force is the store's newest.
func (gr *Group) policyAgeMS(now time.Time) int64 {
	return now.Sub(gr.holder.Evidence()).Milliseconds()
}
