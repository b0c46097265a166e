package peer

import (
	"context"
	"errors"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

// exchangeRevisions exchanges only policy revisions with a peer. The side with
// the older policy then fetches the newer one.
func (gr *Group) exchangeRevisions(ctx context.Context, address string) {
	exchangeCtx, cancel := context.WithTimeout(ctx, gr.exchangeTimeout())
	defer cancel()
	asked := time.Now()
	rs, err := gr.Peer(address).Exchange(exchangeCtx, &rpc.ExchangeRequest{
		From: gr.identity(), PolicyOnly: true,
		PolicyRevision: int64(gr.position().revision), PolicyRetained: uint64(gr.position().retained), PolicyAgeMs: gr.policyAgeMS(asked),
	})
	if err != nil {
		gr.recordFailure(exchangeCtx, address, err)
		return
	}
	gr.fetchPolicy(ctx, address, rs, quantity.Ago(asked, rs.GetPolicyAgeMs()))
}

// position is what a daemon's policy set holds: the changes up to a revision, and the
// records that it retains over a restore of the store.
type position struct {
	revision store.Revision
	retained policy.RetainedDigest
}

func positionOf(rs *rpc.ExchangeResponse) position {
	return position{store.Revision(rs.GetPolicyRevision()), policy.RetainedDigest(rs.GetPolicyRetained())}
}

// position returns this daemon's position. That of a set which a build of a lower form has
// translated is 0, so that peers return all records.
func (gr *Group) position() position {
	set := gr.holder.Set()
	if !gr.isWhole(set.Form) {
		return position{}
	}
	return position{set.Revision, set.Retained}
}

// isWhole reports whether records that were translated in a form lack nothing that this
// daemon's build would have.
func (gr *Group) isWhole(form policy.Form) bool { return int64(form) >= gr.opt.Self.GetPolicyForm() }

// policyForm returns the form in which the records that this daemon holds were translated.
func (gr *Group) policyForm() int64 {
	return min(gr.opt.Self.GetPolicyForm(), int64(gr.holder.Set().Form))
}

// bridgeDelay is how long a daemon that has started tries to read the store before it uses
// records of a lower form than its own.
const bridgeDelay = time.Second

// takes reports whether this daemon takes records of a form from a peer: also of a lower one
// than its own, if it could get none that are whole.
func (gr *Group) takes(form policy.Form) bool {
	set := gr.holder.Set()
	if gr.isWhole(form) {
		return true
	}
	started := time.UnixMilli(gr.fence)
	return (set.Revision == 0 || !gr.isWhole(set.Form)) && time.Since(started) >= bridgeDelay
}

// offers reports whether a daemon at this position may have what one at another lacks.
func (po position) offers(other position) bool {
	if po.revision.Era() == other.revision.Era() && po.retained != 0 && po.retained != other.retained {
		return true
	}
	return po.revision > other.revision
}

// urgent reports whether a daemon at this position has what one at another lacks, which
// should fetch it without waiting for the next round. Where both retain records, each may
// lack some of the other's: if both exchanged at once, neither would come to an end as long
// as they differ.
func (po position) urgent(other position) bool {
	return po.revision > other.revision || other.retained == 0 && po.offers(other)
}

// fetchPolicy fetches and applies a peer's policy if it is newer, or retains other records
// over a restore of the store. It also adopts the peer's evidence, the time at which that
// revision was known to be the store's newest. er is what the peer has answered to an exchange.
func (gr *Group) fetchPolicy(ctx context.Context, address string, er *rpc.ExchangeResponse, evidence time.Time) {
	theirs, form := positionOf(er), policy.Form(er.GetFrom().GetPolicyForm())
	if mine := gr.position(); theirs.offers(mine) && gr.takes(form) {
		if gr.transfers.Load() > 0 {
			// The records that arrive are probably the same.
			return
		}
		ctx, cancel := network.WithStallLimit(ctx, gr.exchangeTimeout())
		defer cancel()
		rs, err := gr.Peer(address).FetchPolicy(ctx, &rpc.FetchPolicyRequest{AfterRevision: int64(mine.revision), PolicyRetained: uint64(mine.retained)})
		if errors.Is(err, configuration.ErrReceiving) {
			return
		}
		if err != nil {
			gr.recordFailure(ctx, address, err)
			return
		}
		gr.applyPolicy(rs)
		gr.log.Info(event.PolicyFromPeer, event.Fields{"address": address, "revision": rs.GetRevision(), "form": rs.GetPolicyForm()})
	}
	gr.confirm(form, theirs.revision, evidence)
}

// confirm adopts a peer's evidence, unless its records may lack something.
func (gr *Group) confirm(form policy.Form, revision store.Revision, at time.Time) {
	if gr.isWhole(form) {
		gr.holder.Confirm(revision, at)
	}
}

// offerPolicy sends the policy in force to a peer whose policy is still older than
// this daemon's was at the start of the previous round. Such a peer had time to
// fetch that policy and has not, so it may be unable to open connections to other
// daemons.
func (gr *Group) offerPolicy(ctx context.Context, address string, theirs position) {
	gr.mu.Lock()
	previous := gr.previousRevision
	gr.mu.Unlock()
	if theirs.revision >= previous {
		return
	}
	_, err := gr.Peer(address).OfferPolicy(ctx, &rpc.OfferPolicyRequest{Policy: gr.policyAfter(theirs), AfterRevision: int64(theirs.revision)})
	if err != nil {
		gr.recordFailure(ctx, address, err)
	}
}

// rotateRevisions records the policy revision at the start of a round and keeps
// that of the round before, which peers have had a whole round to fetch.
func (gr *Group) rotateRevisions() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.previousRevision, gr.currentRevision = gr.currentRevision, gr.position().revision
}

// applyPolicy applies policy records from a peer. The holder ignores those that
// are older than its own. Records of a lower form than this build's are only used until there
// are others: a version of the configuration may be missing from them.
func (gr *Group) applyPolicy(rs *rpc.FetchPolicyResponse) {
	form := policy.Form(rs.GetPolicyForm())
	if !gr.takes(form) {
		return
	}
	var changes []policy.StoredRecord
	for _, en := range rs.GetEntries() {
		changes = append(changes, policy.StoredRecord{Key: en.GetKey(), Value: en.GetValue(), ModRevision: store.Revision(en.GetModRevision())})
	}
	if !gr.isWhole(form) {
		gr.holder.Bridge(form, store.Revision(rs.GetRevision()), changes)
		return
	}
	if rs.GetComplete() {
		gr.holder.Replace(store.Revision(rs.GetRevision()), changes)
		return
	}
	gr.holder.Update(store.Revision(rs.GetRevision()), changes)
}

// policyAfter returns the records changed after a daemon's position. If its revision is
// older than the set's SnapshotRevision, the set may lack removals since then. If it
// retains other records over a restore of the store, the changes are not those between the
// two sets. In both cases policyAfter returns a complete copy of the live records instead,
// or only the retained ones if the daemon is not behind.
func (gr *Group) policyAfter(after position) *rpc.FetchPolicyResponse {
	set := gr.holder.Set()
	rs := &rpc.FetchPolicyResponse{Revision: int64(set.Revision), PolicyForm: gr.policyForm()}
	changes := set.ChangedAfter(after.revision)
	if after.revision < set.SnapshotRevision || after.retained != set.Retained {
		rs.Complete, changes = true, set.Live()
	}
	if rs.GetComplete() && after.revision >= set.Revision {
		changes = set.RetainedRecords()
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
