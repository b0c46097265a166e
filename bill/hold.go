package bill

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
)

// Hold implements peer.Bills. It stores copies of a peer's bills, and deletes the
// copies of the batches that the peer has sealed.
func (bo *Book) Hold(rq *rpc.HoldBillsRequest) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	in := peer.Incarnation(rq.GetOwnerIncarnation())
	if len(rq.GetBills()) > 0 {
		key := heldKey{in, BatchNumber(rq.GetBatch())}
		hb := bo.held[key]
		hb.bills = append(hb.bills, rq.GetBills()...)
		hb.checkAt = time.Now().Add(checkAfter)
		bo.held[key] = hb
	}
	for _, number := range rq.GetSealed() {
		delete(bo.held, heldKey{in, BatchNumber(number)})
	}
}

// adopt seals the held batches of failed owners, and those whose owner has not
// notified this entry within checkAfter that they are sealed. It stops at the first
// error.
func (bo *Book) adopt(ctx context.Context) {
	for key, hb := range bo.adoptable() {
		if err := bo.seal(ctx, key.incarnation, key.number, hb.bills); err != nil {
			bo.log.Debug(event.BillsUnsealed, err, event.Fields{"owner": key.incarnation, "batch": key.number})
			return
		}
		bo.dropCopies(key, len(hb.bills))
		bo.log.Info(event.PeerBillsSealed, event.Fields{"owner": key.incarnation, "batch": key.number, "bills": len(hb.bills)})
	}
}

// adoptable returns the held batches that this entry must seal now; see adopt.
func (bo *Book) adoptable() map[heldKey]heldBatch {
	now := time.Now()
	bo.mu.Lock()
	defer bo.mu.Unlock()
	out := map[heldKey]heldBatch{}
	for key, hb := range bo.held {
		heard, ok := bo.peers.LastHeard(key.incarnation)
		if !ok || now.Sub(heard) > adoptAfter || now.After(hb.checkAt) {
			out[key] = hb
		}
	}
	return out
}

// dropCopies deletes the first n copies of a batch. It keeps the rest, which
// arrived while those were being sealed.
func (bo *Book) dropCopies(key heldKey, n int) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	hb := bo.held[key]
	hb.bills = hb.bills[min(n, len(hb.bills)):]
	bo.held[key] = hb
	if len(hb.bills) == 0 {
		delete(bo.held, key)
	}
}
