package bill

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
)

// Hold implements peer.Bills.
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

// adopt seals the held batches of owners that are not heard of any more, and
// those whose owner sent no notification.
func (bo *Book) adopt(ctx context.Context) {
	for key, hb := range bo.adoptable() {
		if err := bo.seal(ctx, key.incarnation, key.number, hb.bills); err != nil {
			bo.log.Debug(event.BillsUnsealed, err, event.Fields{"owner": key.incarnation, "batch": key.number})
			return
		}
		bo.drop(key, len(hb.bills))
		bo.log.Info(event.PeerBillsSealed, event.Fields{"owner": key.incarnation, "batch": key.number, "bills": len(hb.bills)})
	}
}

func (bo *Book) adoptable() map[heldKey]heldBatch {
	now := time.Now()
	bo.mu.Lock()
	defer bo.mu.Unlock()
	out := map[heldKey]heldBatch{}
	for key, hb := range bo.held {
		heard, ok := bo.peers.Heard(key.incarnation)
		if !ok || now.Sub(heard) > adoptAfter || now.After(hb.checkAt) {
			out[key] = hb
		}
	}
	return out
}

// drop forgets the first n copies of a batch: more may have come since.
func (bo *Book) drop(key heldKey, n int) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	hb := bo.held[key]
	hb.bills = hb.bills[min(n, len(hb.bills)):]
	bo.held[key] = hb
	if len(hb.bills) == 0 {
		delete(bo.held, key)
	}
}
