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
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

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
	// checkAfter is how long copies stay with no word of their sealing.
	checkAfter = time.Minute
	// adoptInterval is the time between looks for failed owners.
	adoptInterval = time.Second
	// entriesAtSealInterval is how many entries seal at the set interval; more
	// of them seal less often, so that the store's writes do not grow.
	entriesAtSealInterval = 8
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
	// owner has sealed it, and its word of that was lost.
	checkAt time.Time
}

// addition is a bill on its way to the peers.
type addition struct {
	bill *rpc.Bill
	done chan error
}

// Book keeps this entry's unsealed bills and copies of its peers'.
//
// mu guards open, closed, held, sealed and number. It is taken before the
// peers' locks, never after; no call is made while it is held.
type Book struct {
	opt       Options
	store     store.Store
	peers     *peer.Group
	log       *event.Log
	group     *worker.Group
	additions chan *addition
	sealNow   chan struct{}
	unsealed  atomic.Int64

	mu     sync.Mutex
	number BatchNumber
	open   *batch
	closed []*batch
	held   map[heldKey]heldBatch
	// sealed are batches whose holders have not been told yet.
	sealed map[string][]int64
}

// NewBook gives an empty book; Close ends it.
func NewBook(opt Options, st store.Store, pe *peer.Group, lo *event.Log) *Book {
	bo := &Book{
		opt: opt, store: st, peers: pe, log: lo,
		group: worker.NewGroup(), additions: make(chan *addition), sealNow: make(chan struct{}, 1),
		held: map[heldKey]heldBatch{}, sealed: map[string][]int64{},
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
	bo.tellSealed(ctx)
}

func (bo *Book) newBatch() *batch {
	bo.number++
	return &batch{number: bo.number}
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
	ad := &addition{bill: bi, done: make(chan error, 1)}
	select {
	case bo.additions <- ad:
	case <-bo.group.Context().Done():
		bo.putOpen(nil, []*rpc.Bill{bi})
		return eris.Wrap(ErrNotKept, "Book.Add: closed")
	}
	select {
	case err := <-ad.done:
		return err
	case <-ctx.Done():
		return errors.Join(ErrNotKept, ctx.Err())
	}
}

// copyLoop sends bills to peers, all that came during one round in the next.
func (bo *Book) copyLoop(ctx context.Context) {
	for {
		var ads []*addition
		select {
		case ad := <-bo.additions:
			ads = append(ads, ad)
		case <-ctx.Done():
			return
		}
		for more := true; more && len(ads) < maxBatch; {
			select {
			case ad := <-bo.additions:
				ads = append(ads, ad)
			default:
				more = false
			}
		}
		bo.copyRound(ctx, ads)
	}
}

func (bo *Book) copyRound(ctx context.Context, ads []*addition) {
	bills := make([]*rpc.Bill, len(ads))
	for i, ad := range ads {
		bills[i] = ad.bill
	}
	targets := bo.pickHolders()
	number := bo.putOpen(targets, bills)
	copies := bo.copyTo(ctx, targets, number, bills)
	if copies < bo.opt.Copies {
		bo.log.Debug(event.BillsNotCopied, nil, event.Fields{"copies": copies, "set": bo.opt.Copies})
		bo.requestSeal()
	}
	for _, ad := range ads {
		if copies > 0 {
			ad.done <- nil
			continue
		}
		bo.group.Go(func(ctx context.Context) { ad.done <- bo.waitSealed(ctx, number) })
	}
}

// pickHolders chooses the peers for copies: the batch's own so far, then
// entries in other failure domains, then any.
func (bo *Book) pickHolders() []string {
	mes := bo.peers.Entries()
	bo.mu.Lock()
	chosen := slices.Clone(bo.open.holders)
	bo.mu.Unlock()
	live := func(ad string) bool {
		return slices.ContainsFunc(mes, func(mb peer.Member) bool { return mb.PeerAddress == ad && !mb.Draining })
	}
	chosen = slices.DeleteFunc(chosen, func(ad string) bool { return !live(ad) })
	var domains []string
	for _, mb := range mes {
		if slices.Contains(chosen, mb.PeerAddress) {
			domains = append(domains, string(mb.FailureDomain))
		}
	}
	for _, otherDomains := range []bool{true, false} {
		for _, i := range shuffled(len(mes)) {
			mb := mes[i]
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

// copyTo sends bills to peers at the same time and counts who has them.
func (bo *Book) copyTo(ctx context.Context, targets []string, number BatchNumber, bills []*rpc.Bill) int {
	var copies atomic.Int64
	wg := worker.NewGroup()
	for _, ad := range targets {
		rq := &rpc.HoldBillsRequest{
			OwnerVm: string(bo.peers.VM()), OwnerIncarnation: string(bo.peers.Incarnation()),
			Batch: int64(number), Bills: bills, Sealed: bo.takeSealed(ad),
		}
		wg.Go(func(context.Context) {
			ctx, cancel := context.WithTimeout(ctx, copyTimeout)
			defer cancel()
			if _, err := bo.peers.Peer(ad).HoldBills(ctx, rq); err == nil {
				copies.Add(1)
				return
			}
			bo.forgetHolder(ad)
			bo.putSealed(ad, rq.GetSealed())
		})
	}
	wg.Wait()
	return int(copies.Load())
}

// forgetHolder makes the next round choose another peer in place of one that
// did not answer.
func (bo *Book) forgetHolder(ad string) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.open.holders = slices.DeleteFunc(bo.open.holders, func(other string) bool { return other == ad })
}

// putOpen adds bills to the open batch and gives its number.
func (bo *Book) putOpen(holders []string, bills []*rpc.Bill) BatchNumber {
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
	return bo.open.number
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
func (bo *Book) waitSealed(ctx context.Context, number BatchNumber) error {
	const look = 10 * time.Millisecond
	for {
		bo.mu.Lock()
		waiting := bo.open.number == number || slices.ContainsFunc(bo.closed, func(ba *batch) bool { return ba.number == number })
		bo.mu.Unlock()
		if !waiting {
			return nil
		}
		if !worker.Sleep(ctx, look) {
			return eris.Wrap(ErrNotKept, "Book.waitSealed")
		}
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
		bo.tellSealed(ctx)
	}
}

func (bo *Book) sealInterval() time.Duration {
	entries := 1 + len(bo.peers.Entries())
	return bo.opt.SealEvery * time.Duration(max(entriesAtSealInterval, entries)) / entriesAtSealInterval
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
		for _, ad := range ba.holders {
			bo.sealed[ad] = append(bo.sealed[ad], int64(ba.number))
		}
		bo.mu.Unlock()
		bo.unsealed.Add(-int64(len(ba.bills)))
		bo.log.Debug(event.BillsSealed, nil, event.Fields{"batch": ba.number, "bills": len(ba.bills)})
	}
}

// tellSealed lets holders drop the copies of sealed batches.
func (bo *Book) tellSealed(ctx context.Context) {
	bo.mu.Lock()
	var holders []string
	for ad := range bo.sealed {
		holders = append(holders, ad)
	}
	bo.mu.Unlock()
	if len(holders) > 0 {
		bo.copyTo(ctx, holders, 0, nil)
	}
}

func (bo *Book) takeSealed(ad string) []int64 {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	out := bo.sealed[ad]
	delete(bo.sealed, ad)
	return out
}

// putSealed keeps the numbers of batches whose holder did not hear of them,
// for as long as it lives.
func (bo *Book) putSealed(ad string, numbers []int64) {
	alive := slices.ContainsFunc(bo.peers.Entries(), func(mb peer.Member) bool { return mb.PeerAddress == ad })
	if len(numbers) == 0 || !alive {
		return
	}
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sealed[ad] = append(bo.sealed[ad], numbers...)
}

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
// those that no word came of.
func (bo *Book) adopt(ctx context.Context) {
	for key, hb := range bo.adoptable() {
		if err := bo.seal(ctx, key.incarnation, key.number, hb.bills); err != nil {
			bo.log.Debug(event.BillsUnsealed, err, event.Fields{"owner": key.incarnation, "batch": key.number})
			return
		}
		bo.drop(key, len(hb.bills))
		bo.log.Info(event.BillsAdopted, event.Fields{"owner": key.incarnation, "batch": key.number, "bills": len(hb.bills)})
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

func (bo *Book) batchPrefix(in peer.Incarnation, number BatchNumber) store.Key {
	return bo.opt.Prefix + store.Key(fmt.Sprintf("bill/%s/%010d/", in, number))
}

// seal appends the bills of a batch that the store does not have yet.
func (bo *Book) seal(ctx context.Context, in peer.Incarnation, number BatchNumber, bills []*rpc.Bill) error {
	prefix := bo.batchPrefix(in, number)
	// The first part is written unread: it is there only after a lost answer,
	// or when someone else has sealed.
	part, missing := 0, bills
	for {
		value, err := proto.Marshal(&rpc.SealedBatch{
			Incarnation: string(in), Batch: int64(number), Part: int64(part),
			Bills: missing, SealedBy: string(bo.peers.Incarnation()),
		})
		if err != nil {
			return eris.Wrap(err, "Book.seal")
		}
		key := prefix + store.Key(fmt.Sprintf("%04d", part))
		ou, err := bo.store.Apply(ctx, store.Commit{
			Compares: []store.Compare{{Key: key}},
			Puts:     []store.Put{{Key: key, Value: value}},
		})
		if err == nil && ou.Applied {
			return nil
		}
		if err != nil && !errors.Is(err, store.ErrUnknown) {
			return eris.Wrap(err, "Book.seal")
		}
		if part, missing, err = bo.missing(ctx, prefix, bills); err != nil {
			return eris.Wrap(err, "Book.seal")
		}
		if len(missing) == 0 {
			return nil
		}
	}
}

// missing reads a batch's parts and gives the next part's number and the
// bills that no part has.
func (bo *Book) missing(ctx context.Context, prefix store.Key, bills []*rpc.Bill) (int, []*rpc.Bill, error) {
	pa, err := bo.store.Range(ctx, prefix)
	if err != nil {
		return 0, nil, err
	}
	have := map[string]bool{}
	for _, kv := range pa.KeyValues {
		var sb rpc.SealedBatch
		if err := proto.Unmarshal(kv.Value, &sb); err != nil {
			return 0, nil, eris.Wrapf(err, "%s", kv.Key)
		}
		for _, bi := range sb.GetBills() {
			have[bi.GetId()] = true
		}
	}
	var out []*rpc.Bill
	for _, bi := range bills {
		if !have[bi.GetId()] {
			have[bi.GetId()] = true
			out = append(out, bi)
		}
	}
	return len(pa.KeyValues), out, nil
}
