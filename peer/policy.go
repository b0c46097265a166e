package peer

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// tell exchanges nothing but policy revisions with a peer; the one behind
// fetches what it lacks.
func (gr *Group) tell(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gr.exchangeTimeout())
	defer cancel()
	asked := time.Now()
	rs, err := gr.Peer(address).Exchange(ctx, &rpc.ExchangeRequest{
		From: gr.opt.Self, PolicyOnly: true,
		PolicyRevision: int64(gr.holder.Set().Revision), PolicyAgeMs: gr.policyAgeMS(asked),
	})
	if err != nil {
		gr.failedMeeting(ctx, address, err)
		return
	}
	gr.learnPolicy(ctx, address, store.Revision(rs.GetPolicyRevision()), asked.Add(-time.Duration(rs.GetPolicyAgeMs())*time.Millisecond))
}

// learnPolicy brings a peer's policy into force when it is newer, and takes
// its evidence that the revision is the store's newest.
func (gr *Group) learnPolicy(ctx context.Context, address string, revision store.Revision, evidence time.Time) {
	mine := gr.holder.Set().Revision
	if revision > mine {
		rs, err := gr.Peer(address).FetchPolicy(ctx, &rpc.FetchPolicyRequest{AfterRevision: int64(mine)})
		if err != nil {
			gr.failedMeeting(ctx, address, err)
			return
		}
		gr.take(rs)
		gr.log.Info(event.PolicyFromPeer, event.Fields{"address": address, "revision": rs.GetRevision()})
	}
	gr.holder.Confirm(revision, evidence)
}

// offerPolicy brings the policy in force to a peer at an older revision that had
// time to fetch it and has not: it may be unable to reach anyone itself.
func (gr *Group) offerPolicy(ctx context.Context, address string, revision store.Revision) {
	gr.mu.Lock()
	settled := gr.settled
	gr.mu.Unlock()
	if revision >= settled {
		return
	}
	_, err := gr.Peer(address).OfferPolicy(ctx, &rpc.OfferPolicyRequest{Policy: gr.policyAfter(revision), AfterRevision: int64(revision)})
	if err != nil {
		gr.failedMeeting(ctx, address, err)
	}
}

// settle notes the policy of the round before: peers that lack it had a round's
// time to fetch it.
func (gr *Group) settle() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.settled, gr.current = gr.current, gr.holder.Set().Revision
}

// take brings records of a peer into force. The holder keeps what is newer.
func (gr *Group) take(rs *rpc.FetchPolicyResponse) {
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

// policyAfter gives the records changed after a revision, or all there are when
// it is not remembered what was removed since.
func (gr *Group) policyAfter(after store.Revision) *rpc.FetchPolicyResponse {
	set := gr.holder.Set()
	rs := &rpc.FetchPolicyResponse{Revision: int64(set.Revision)}
	changes := set.ChangedAfter(after)
	if after < set.SnapshotRevision {
		rs.Complete, changes = true, set.Live()
	}
	for _, st := range changes {
		if !rs.GetComplete() && st.ModRevision > set.Revision {
			// Read ahead of the set's revision: others must not take it for complete up to there.
			continue
		}
		rs.Entries = append(rs.Entries, &rpc.PolicyEntry{Key: st.Key, Value: st.Value, ModRevision: int64(st.ModRevision)})
	}
	return rs
}

// policyAgeMS is how old the evidence for the policy in force is.
func (gr *Group) policyAgeMS(now time.Time) int64 {
	return now.Sub(gr.holder.Evidence()).Milliseconds()
}
