// Package bill stores exactly one bill for each answer that was delivered.
//
// A bill is copied to peers before the last byte of its answer is sent, and is
// added to a batch. To seal a batch is to write it to the store, as a sequence of
// parts. The key of a part is made of the owner's incarnation, the batch number and
// the part number; a part is only ever created, never overwritten. A batch is
// sealed by its owner, or by a peer if the owner has failed. If parts of the batch
// exist, either one reads them and appends a part with the bills that are missing,
// so that each bill is stored once. spec/bill.pml is a model of this protocol.
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

// ID identifies a bill. Each request has its own.
type ID string

// BatchNumber is the number of a batch within its owner's incarnation, from 1.
type BatchNumber int64

const (
	// maxBatch is the largest number of bills in one batch. It keeps a batch
	// below the largest value that the store accepts.
	maxBatch = 2000
	// copyTimeout is the timeout of a call to a peer that holds copies.
	copyTimeout = 400 * time.Millisecond
	// adoptAfter is the time since an owner's last heartbeat after which a peer
	// seals the owner's batches.
	adoptAfter = 5 * time.Second
	// checkAfter is the time after the last copy of a batch arrived at which a peer
	// seals the batch itself if it has not been notified that the batch is sealed.
	checkAfter = time.Minute
	// adoptInterval is the interval at which held batches are checked for failed
	// owners.
	adoptInterval = time.Second
	// minSealInterval is the shortest pause between two rounds of sealing. It also
	// holds when bills wait for the store because no peer has a copy, so that the
	// store is not flooded with single bills.
	minSealInterval = 25 * time.Millisecond
	// entriesAtFullRate is the largest number of entries that seal at the
	// configured interval. If there are more, each of them seals less often, so that
	// the store's write rate does not grow with their number.
	entriesAtFullRate = 8
)

// ErrNotKept is returned for a bill that neither a peer nor the store is known to
// have.
var ErrNotKept = eris.New("bill: not confirmed by a peer or the store")

// Options configure a Book. Prefix is the prefix of its keys in the store, Copies
// the number of peers that get a copy of each bill, SealEvery the interval between
// batches, and MaxUnsealed the number of unsealed bills at which it is full.
type Options struct {
	Prefix      store.Key
	Copies      int
	SealEvery   time.Duration
	MaxUnsealed int
}

// batch is a batch that this incarnation owns.
type batch struct {
	number BatchNumber
	bills  []*rpc.Bill
	// holders are the addresses of peers that some of the bills were copied to.
	holders []string
	// sealed is closed when the batch is in the store.
	sealed chan struct{}
}

// heldKey identifies a batch that a peer owns.
type heldKey struct {
	incarnation peer.Incarnation
	number      BatchNumber
}

// heldBatch is the copies that this entry has of a peer's batch.
type heldBatch struct {
	bills []*rpc.Bill
	// checkAt is when this entry seals the batch even if its owner is alive: by
	// then the owner has normally sealed it and the notification was lost.
	checkAt time.Time
}

// pendingBill is a bill that waits to be copied to peers. done receives nil once
// a peer or the store has it, or an error.
type pendingBill struct {
	bill *rpc.Bill
	done chan error
}

// Book holds this entry's unsealed bills and copies of its peers' unsealed bills.
// Its methods may be called concurrently.
//
// mu guards open, closed, held, unnotified and number. It is taken before the
// locks of peers, never after; no call to a peer or the store is made while it is
// held.
type Book struct {
	opt     Options
	store   store.Store
	peers   *peer.Group
	log     *event.Log
	group   *worker.Group
	pending chan *pendingBill
	// sealNow receives a value when the open batch must be sealed without waiting
	// for the interval.
	sealNow chan struct{}
	// unsealed is the number of this entry's unsealed bills.
	unsealed atomic.Int64

	mu sync.Mutex
	// number is the number of the open batch, which new bills are added to.
	number BatchNumber
	open   *batch
	// closed holds the batches that wait to be sealed, oldest first.
	closed []*batch
	held   map[heldKey]heldBatch
	// unnotified maps the address of a holder to the numbers of sealed batches
	// that it has not been notified of yet.
	unnotified map[string][]int64
}

// NewBook returns an empty book and starts its goroutines; Close stops them.
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

// Close stops the book's goroutines and then tries once to seal this entry's
// remaining batches and to notify their holders.
func (bo *Book) Close(ctx context.Context) {
	bo.group.Close()
	bo.closeBatch()
	bo.sealClosed(ctx)
	bo.notifySealed(ctx)
}

func (bo *Book) newBatch() *batch {
	bo.number++
	return &batch{number: bo.number, sealed: make(chan struct{})}
}

// Full reports whether MaxUnsealed bills or more are unsealed, so that no new work
// should be accepted.
func (bo *Book) Full() bool { return bo.unsealed.Load() >= int64(bo.opt.MaxUnsealed) }

// Unsealed returns the number of this entry's unsealed bills.
func (bo *Book) Unsealed() int64 { return bo.unsealed.Load() }

// Held returns the number of copies of peers' bills that this entry has.
func (bo *Book) Held() int {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	n := 0
	for _, hb := range bo.held {
		n += len(hb.bills)
	}
	return n
}

// Add adds a bill. It blocks until at least one peer has a copy or the bill is in
// the store; the caller must not send the end of the answer before. The error
// wraps ErrNotKept if ctx is done first or the book is closed.
func (bo *Book) Add(ctx context.Context, bi *rpc.Bill) error {
	bo.unsealed.Add(1)
	pb := &pendingBill{bill: bi, done: make(chan error, 1)}
	select {
	case bo.pending <- pb:
	case <-bo.group.Context().Done():
		bo.appendOpen(nil, []*rpc.Bill{bi})
		return eris.Wrap(ErrNotKept, "Book.Add: book is closed")
	}
	select {
	case err := <-pb.done:
		return err
	case <-ctx.Done():
		return errors.Join(ErrNotKept, ctx.Err())
	}
}

// appendOpen adds bills and their holders to the open batch, after closing it if
// the bills would make it larger than maxBatch, and returns the open batch.
func (bo *Book) appendOpen(holders []string, bills []*rpc.Bill) *batch {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if len(bo.open.bills)+len(bills) > maxBatch {
		bo.closeBatchLocked()
	}
	bo.open.bills = append(bo.open.bills, bills...)
	for _, ad := range holders {
		if !slices.Contains(bo.open.holders, ad) {
			bo.open.holders = append(bo.open.holders, ad)
		}
	}
	return bo.open
}

// closeBatch closes the open batch, unless it is empty, and opens a new one.
func (bo *Book) closeBatch() {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.closeBatchLocked()
}

func (bo *Book) closeBatchLocked() {
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

// waitSealed blocks until a batch is in the store. The error wraps ErrNotKept if
// ctx is done first.
func waitSealed(ctx context.Context, ba *batch) error {
	select {
	case <-ba.sealed:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ErrNotKept, "bill.waitSealed")
	}
}

// sealLoop seals this entry's batches at each interval and on requestSeal.
func (bo *Book) sealLoop(ctx context.Context) {
	for ctx.Err() == nil {
		tm := time.NewTimer(bo.sealInterval())
		select {
		case <-tm.C:
		case <-bo.sealNow:
		case <-ctx.Done():
		}
		tm.Stop()
		bo.closeBatch()
		bo.sealClosed(ctx)
		bo.notifySealed(ctx)
		worker.Sleep(ctx, minSealInterval)
	}
}

func (bo *Book) sealInterval() time.Duration {
	entries := 1 + len(bo.peers.Entries())
	return bo.opt.SealEvery * time.Duration(max(entriesAtFullRate, entries)) / entriesAtFullRate
}

// sealClosed seals the closed batches in order until none is left or one cannot be
// sealed.
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

// notifySealed notifies the holders of sealed batches, so that they delete their
// copies.
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

// takeUnnotified removes and returns the numbers of sealed batches that a holder
// has not been notified of.
func (bo *Book) takeUnnotified(ad string) []int64 {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	out := bo.unnotified[ad]
	delete(bo.unnotified, ad)
	return out
}

// requeueUnnotified puts the numbers of sealed batches back after a failed
// notification, so that it is repeated, unless the holder is no longer alive.
func (bo *Book) requeueUnnotified(ad string, numbers []int64) {
	alive := slices.ContainsFunc(bo.peers.Entries(), func(mb peer.Member) bool { return mb.PeerAddress == ad })
	if len(numbers) == 0 || !alive {
		return
	}
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.unnotified[ad] = append(bo.unnotified[ad], numbers...)
}
