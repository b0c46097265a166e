package bill

import (
	"context"
	"slices"
	"sync/atomic"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/worker"
)

// copyLoop copies bills to peers in rounds. The bills that arrive during one round
// are sent together in the next.
func (bo *Book) copyLoop(ctx context.Context) {
	for {
		var pbs []*pendingBill
		select {
		case pb := <-bo.pending:
			pbs = append(pbs, pb)
		case <-ctx.Done():
			return
		}
		for more := true; more && len(pbs) < maxBatch; {
			select {
			case pb := <-bo.pending:
				pbs = append(pbs, pb)
			default:
				more = false
			}
		}
		bo.copyRound(ctx, pbs)
	}
}

// copyRound adds bills to the open batch and copies them to peers. If no peer has
// confirmed its copies, it requests that the batch is sealed, and the callers of
// Add block until it is.
func (bo *Book) copyRound(ctx context.Context, pbs []*pendingBill) {
	bills := make([]*rpc.Bill, len(pbs))
	for i, pb := range pbs {
		bills[i] = pb.bill
	}
	targets := bo.pickHolders()
	ba := bo.appendOpen(targets, bills)
	copies := bo.copyTo(ctx, targets, ba.number, bills)
	if copies < bo.opt.Copies {
		bo.log.Debug(event.BillsNotCopied, nil, event.Fields{"copies": copies, "set": bo.opt.Copies})
	}
	if copies == 0 {
		bo.requestSeal()
	}
	for _, pb := range pbs {
		if copies > 0 {
			pb.done <- nil
			continue
		}
		bo.group.Go(func(ctx context.Context) { pb.done <- waitSealed(ctx, ba) })
	}
}

// pickHolders returns the addresses of up to Copies entries for the next copies:
// first the live holders of the open batch, then random entries in failure domains
// other than this entry's and those of the entries chosen before, then any others.
// It leaves out draining entries.
func (bo *Book) pickHolders() []string {
	mbs := bo.peers.Entries()
	bo.mu.Lock()
	chosen := slices.Clone(bo.open.holders)
	bo.mu.Unlock()
	live := func(ad string) bool {
		return slices.ContainsFunc(mbs, func(mb peer.Member) bool { return mb.PeerAddress == ad && !mb.Draining })
	}
	chosen = slices.DeleteFunc(chosen, func(ad string) bool { return !live(ad) })
	var domains []string
	for _, mb := range mbs {
		if slices.Contains(chosen, mb.PeerAddress) {
			domains = append(domains, string(mb.FailureDomain))
		}
	}
	for _, otherDomains := range []bool{true, false} {
		for _, i := range shuffled(len(mbs)) {
			mb := mbs[i]
			if len(chosen) >= bo.opt.Copies {
				return chosen
			}
			if mb.Draining || slices.Contains(chosen, mb.PeerAddress) {
				continue
			}
			if otherDomains && (slices.Contains(domains, string(mb.FailureDomain)) || mb.FailureDomain == bo.peers.FailureDomain()) {
				continue
			}
			chosen = append(chosen, mb.PeerAddress)
			domains = append(domains, string(mb.FailureDomain))
		}
	}
	return chosen
}

// copyTo sends bills of a batch to peers concurrently, and with them the numbers of
// sealed batches that each has not been notified of. It returns the number of peers
// that confirmed.
func (bo *Book) copyTo(ctx context.Context, targets []string, number BatchNumber, bills []*rpc.Bill) int {
	var copies atomic.Int64
	wg := worker.NewGroup()
	for _, ad := range targets {
		rq := &rpc.HoldBillsRequest{
			OwnerVm: string(bo.peers.VM()), OwnerIncarnation: string(bo.peers.Incarnation()),
			Batch: int64(number), Bills: bills, Sealed: bo.takeUnnotified(ad),
		}
		wg.Go(func(context.Context) {
			ctx, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			if _, err := bo.peers.Peer(ad).HoldBills(ctx, rq); err == nil {
				copies.Add(1)
				return
			}
			bo.removeHolder(ad)
			bo.requeueUnnotified(ad, rq.GetSealed())
		})
	}
	wg.Wait()
	return int(copies.Load())
}

// removeHolder removes a peer that did not answer from the holders of the open
// batch, so that the next round may choose another one.
func (bo *Book) removeHolder(ad string) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.open.holders = slices.DeleteFunc(bo.open.holders, func(other string) bool { return other == ad })
}
