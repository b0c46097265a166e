// Package bill keeps one bill for each answer that was given.
//
// A bill goes to peers before the last byte of its answer, and into a batch
// that its owner seals in the store. A batch is a chain of parts, written
// create-only under the owner's incarnation, batch number and part number.
// Whoever seals, the owner or a peer for a failed owner, reads the parts that
// are there and appends a part with the bills that are missing; so each bill
// is stored once. spec/bill.pml checks it.
package bill

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/worker"
)

// ID names a bill. It is unique to a request.
type ID string

// BatchNumber counts an incarnation's batches.
type BatchNumber int64

const (
	// maxBatch bounds the bills of one batch, to stay below the store's
	// largest value.
	maxBatch = 2000
	// copyTimeout bounds a call to a peer that holds copies.
	copyTimeout = 400 * time.Millisecond
	// adoptAfter is how long an owner is unheard of before a peer seals for it.
	adoptAfter = 5 * time.Second
	// checkAfter is how long copies stay without a notification that their batch is sealed.
	checkAfter = time.Minute
	// adoptInterval is the time between looks for failed owners.
	adoptInterval = time.Second
	// minSealInterval is the least time between two batches, also when bills
	// wait for the store because peers are missing.
	minSealInterval = 25 * time.Millisecond
	// entriesAtFullRate is how many entries seal at the set interval; more
	// of them seal less often, so that the store's writes do not grow.
	entriesAtFullRate = 8
)

// ErrNotKept marks a bill that reached neither a peer nor the store.
var ErrNotKept = eris.New("bill: neither a peer nor the store keeps it")

// Options set a Book.
type Options struct {
	Prefix      store.Key
	Copies      int
	SealEvery   time.Duration
	MaxUnsealed int
}

// batch is a batch of this incarnation's own.
type batch struct {
	number BatchNumber
	bills  []*rpc.Bill
	// holders are the peers that have copies of some of the bills.
	holders []string
	// sealed is closed when the store has the batch.
	sealed chan struct{}
}

// heldKey is a batch of a peer's.
type heldKey struct {
	incarnation peer.Incarnation
	number      BatchNumber
}

// heldBatch is what this entry has of a peer's batch.
type heldBatch struct {
	bills []*rpc.Bill
	// checkAt is when the batch is sealed even if its owner lives: by then the
	// owner has sealed it, and its notification was lost.
	checkAt time.Time
}

// pendingBill is a bill on its way to the peers.
type pendingBill struct {
	bill *rpc.Bill
	done chan error
}

// Book keeps this entry's unsealed bills and copies of its peers'.
//
// mu guards open, closed, held, sealed and number. It is taken before the
// peers' locks, never after; no call is made while it is held.
type Book struct {
	opt      Options
	store    store.Store
	peers    *peer.Group
	log      *event.Log
	group    *worker.Group
	pending  chan *pendingBill
	sealNow  chan struct{}
	unsealed atomic.Int64

	mu     sync.Mutex
	number BatchNumber
	open   *batch
	closed []*batch
	held   map[heldKey]heldBatch
	// unnotified are batches whose holders have not been notified yet.
	unnotified map[string][]int64
}

// NewBook gives an empty book; Close ends it.
func NewBook(opt Options, st store.Store, pe *peer.Group, lo *event.Log) *Book {
	bo := &Book{
		opt: opt, store: st, peers: pe, log: lo,
		group: worker.NewGroup(), pending: make(chan *pendingBill), sealNow: make(chan struct{}, 1),
		held: map[heldKey]heldBatch{}, unnotified: map[string][]int64{},
	}
	bo.open = bo.newBatch()
	bo.group.Go(bo.copyLoop)
	bo.group.Go(bo.sealLoop)
	bo.group.Every(adoptInterval, bo.adopt)
	return bo
}

// Close ends the book's goroutines, after a last try to seal every batch.
func (bo *Book) Close(ctx context.Context) {
	bo.group.Close()
	bo.closeOpen()
	bo.sealClosed(ctx)
	bo.notifySealed(ctx)
}

func (bo *Book) newBatch() *batch {
	bo.number++
	return &batch{number: bo.number, sealed: make(chan struct{})}
}

// Full tells whether too many bills are unsealed for more work to be taken.
func (bo *Book) Full() bool { return bo.unsealed.Load() >= int64(bo.opt.MaxUnsealed) }

// Unsealed counts this entry's unsealed bills.
func (bo *Book) Unsealed() int64 { return bo.unsealed.Load() }

// Held counts the copies of peers' bills.
func (bo *Book) Held() int {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	n := 0
	for _, hb := range bo.held {
		n += len(hb.bills)
	}
	return n
}

// Add keeps a bill: it returns when the peers have their copies or the store
// has the bill. The answer's end must wait for it.
func (bo *Book) Add(ctx context.Context, bi *rpc.Bill) error {
	bo.unsealed.Add(1)
	pb := &pendingBill{bill: bi, done: make(chan error, 1)}
	select {
	case bo.pending <- pb:
	case <-bo.group.Context().Done():
		bo.appendOpen(nil, []*rpc.Bill{bi})
		return eris.Wrap(ErrNotKept, "Book.Add: closed")
	}
	select {
	case err := <-pb.done:
		return err
	case <-ctx.Done():
		return errors.Join(ErrNotKept, ctx.Err())
	}
}

// appendOpen adds bills to the open batch and gives it.
func (bo *Book) appendOpen(holders []string, bills []*rpc.Bill) *batch {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if len(bo.open.bills)+len(bills) > maxBatch {
		bo.closeOpenLocked()
	}
	bo.open.bills = append(bo.open.bills, bills...)
	for _, ad := range holders {
		if !slices.Contains(bo.open.holders, ad) {
			bo.open.holders = append(bo.open.holders, ad)
		}
	}
	return bo.open
}

func (bo *Book) closeOpen() {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.closeOpenLocked()
}

func (bo *Book) closeOpenLocked() {
	if len(bo.open.bills) == 0 {
		return
	}
	bo.closed = append(bo.closed, bo.open)
	bo.open = bo.newBatch()
}

func (bo *Book) requestSeal() {
	select {
	case bo.sealNow <- struct{}{}:
	default:
	}
}

// waitSealed waits until the store has a batch.
func waitSealed(ctx context.Context, ba *batch) error {
	select {
	case <-ba.sealed:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ErrNotKept, "bill.waitSealed")
	}
}

func (bo *Book) sealLoop(ctx context.Context) {
	for ctx.Err() == nil {
		tm := time.NewTimer(bo.sealInterval())
		select {
		case <-tm.C:
		case <-bo.sealNow:
		case <-ctx.Done():
		}
		tm.Stop()
		bo.closeOpen()
		bo.sealClosed(ctx)
		bo.notifySealed(ctx)
		worker.Sleep(ctx, minSealInterval)
	}
}

func (bo *Book) sealInterval() time.Duration {
	entries := 1 + len(bo.peers.Entries())
	return bo.opt.SealEvery * time.Duration(max(entriesAtFullRate, entries)) / entriesAtFullRate
}

func (bo *Book) sealClosed(ctx context.Context) {
	for {
		bo.mu.Lock()
		if len(bo.closed) == 0 {
			bo.mu.Unlock()
			return
		}
		ba := bo.closed[0]
		bo.mu.Unlock()
		if err := bo.seal(ctx, bo.peers.Incarnation(), ba.number, ba.bills); err != nil {
			bo.log.Debug(event.BillsUnsealed, err, event.Fields{"batch": ba.number, "bills": len(ba.bills)})
			return
		}
		bo.mu.Lock()
		bo.closed = bo.closed[1:]
		close(ba.sealed)
		for _, ad := range ba.holders {
			bo.unnotified[ad] = append(bo.unnotified[ad], int64(ba.number))
		}
		bo.mu.Unlock()
		bo.unsealed.Add(-int64(len(ba.bills)))
		bo.log.Debug(event.BillsSealed, nil, event.Fields{"batch": ba.number, "bills": len(ba.bills)})
	}
}

// notifySealed lets holders drop the copies of sealed batches.
func (bo *Book) notifySealed(ctx context.Context) {
	bo.mu.Lock()
	var holders []string
	for ad := range bo.unnotified {
		holders = append(holders, ad)
	}
	bo.mu.Unlock()
	if len(holders) > 0 {
		bo.copyTo(ctx, holders, 0, nil)
	}
}

func (bo *Book) takeUnnotified(ad string) []int64 {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	out := bo.unnotified[ad]
	delete(bo.unnotified, ad)
	return out
}

// requeueUnnotified keeps the numbers of batches whose holder did not hear of them,
// for as long as it lives.
func (bo *Book) requeueUnnotified(ad string, numbers []int64) {
	alive := slices.ContainsFunc(bo.peers.Entries(), func(mb peer.Member) bool { return mb.PeerAddress == ad })
	if len(numbers) == 0 || !alive {
		return
	}
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.unnotified[ad] = append(bo.unnotified[ad], numbers...)
}
