package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

const (
	// followedPeers is how many peers a daemon follows at once, so that one that fails is
	// not missed.
	followedPeers = 2
	// turnInterval is how often a daemon looks whether it is to watch the store, unless its turn
	// comes sooner.
	turnInterval = 100 * time.Millisecond
	// passedMargin is the time that evidence may take from peer to peer; see MaxPassedAge.
	passedMargin = 50 * time.Millisecond
	// minTurnWindow and maxTurnWindow bound the time in which all daemons begin to watch the store
	// in place of others, one after the other: any number of those before one may be gone too. In
	// between, the window is turnStep for each daemon.
	minTurnWindow = 250 * time.Millisecond
	maxTurnWindow = time.Second
	turnStep      = 10 * time.Millisecond
	// silenceMargin is how much longer a daemon waits for the answer of a peer than its evidence
	// counts, and minPatience the shortest time for which it waits.
	silenceMargin = 250 * time.Millisecond
	minPatience   = 300 * time.Millisecond
	// lostAnswers is the number of answers in a row, of peers that have lost the store, from
	// which all peers are taken to have lost it: each slot has asked two.
	lostAnswers = 2 * followedPeers
	// followDelay is the pause after a peer that could not be followed, or has no word from
	// the store. It doubles with each second one of them, maxFollowDoublings times at most.
	followDelay        = 100 * time.Millisecond
	maxFollowDoublings = 4
	// returnInterval is how long a daemon follows another peer than the preferred one before it
	// asks that one again.
	returnInterval = 2 * time.Second
	// minFollowInterval is the pause after any other answer of a peer: changes that are made
	// close together arrive together.
	minFollowInterval = 20 * time.Millisecond
)

// MaxPassedAge returns the age of the evidence from peers from which these are taken to be
// without the store: somewhat more than the time that a watch may be silent.
func MaxPassedAge(watchProgress time.Duration) time.Duration { return watchProgress + passedMargin }

// ErrReceiving is the error of a call whose answer was refused, as records are arriving from another peer.
var ErrReceiving = eris.New("records are arriving from another peer")

// Passed is what a peer passes on besides the policy.
type Passed struct {
	// Evidence is when the peer's policy was known to be the store's newest.
	Evidence time.Time
	// StoreAnswered is when the store itself last answered the peer, zero if the peer is not
	// one of those that watch it at all times.
	StoreAnswered time.Time
	// StoreLost reports whether the peer is one of those, and its last call of the store
	// failed.
	StoreLost bool
}

// Upstream is what a Follower needs to know of its peers. Package peer implements it.
type Upstream interface {
	// Seed reports whether other daemons that start ask this one first.
	Seed() bool
	// Alone reports whether this daemon knows no other one yet, although it has addresses to
	// ask at: its place in the order is not known then.
	Alone() bool
	// WatchRank returns the place of this daemon in the order in which the daemons are to
	// watch the store, from 0, and their number.
	WatchRank() (rank, daemons int)
	// Upstreams returns the addresses of the daemons to follow, the preferred ones first.
	Upstreams() []string
	// FollowPolicy waits at a peer for news of the policy and applies it. If urgent is set, any
	// newer evidence is news.
	FollowPolicy(ctx context.Context, address string, urgent bool) (Passed, error)
	// PassOn tells peers at once of the newest policy and evidence.
	PassOn(ctx context.Context)
}

// Follower keeps the policy up to date from peers that watch the store, and decides whether
// this daemon is to watch the store itself: the first few in the daemons' order do, and any
// other one while its peers cannot be reached or have no word from the store themselves. Then
// the daemons begin one after the other in that order, until one has word.
//
// mu guards all fields below it. No other lock is taken while it is held.
type Follower struct {
	upstream Upstream
	holder   *Holder
	log      *event.Log
	// watchers is how many daemons watch the store at all times.
	watchers int
	// maxAge is the result of MaxPassedAge.
	maxAge    time.Duration
	startedAt time.Time
	// returning is held while a slot asks its preferred peer again.
	returning sync.Mutex
	peers     *peerChoice

	mu sync.Mutex
	// unreachable counts the peers in a row that could not be followed, and unreachableAt is
	// when followedPeers of them could not, without newer evidence since.
	unreachable   int
	unreachableAt time.Time
	// storeAnsweredAt is when the store last answered this daemon, and peerAnsweredAt when
	// it last answered a peer that this daemon follows.
	storeAnsweredAt, peerAnsweredAt time.Time
	// lost is closed while the last call of the store failed.
	lost chan struct{}
	// lostPeers counts the answers in a row of peers that have lost the store, and lostAt is
	// when there were lostAnswers of them.
	lostPeers int
	lostAt    time.Time
	// watchUntil is until when this daemon watches the store at least.
	watchUntil time.Time
	reason     WatchReason
}

// NewFollower returns a follower that leaves the store to the first watchers daemons, whose
// evidence may have an age of maxAge, see MaxPassedAge.
func NewFollower(up Upstream, ho *Holder, watchers int, maxAge time.Duration, lo *event.Log) *Follower {
	return &Follower{upstream: up, holder: ho, watchers: watchers, maxAge: maxAge, log: lo, startedAt: time.Now(), peers: newPeerChoice(), lost: make(chan struct{})}
}

// Reason returns why this daemon watches the store, or that it follows peers.
func (fo *Follower) Reason() WatchReason {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.reason
}

// turnDelay returns how long after the first in the order that is to watch the store in place of
// others the daemon at a rank begins to.
func (fo *Follower) turnDelay(rank, daemons int) time.Duration {
	followers := max(1, daemons-fo.watchers)
	window := min(max(minTurnWindow, time.Duration(followers)*turnStep), maxTurnWindow)
	return window * time.Duration(min(max(0, rank-fo.watchers), followers)) / time.Duration(followers)
}

// turnAt returns when this daemon begins to watch the store in place of others unless there is newer
// evidence until then.
func (fo *Follower) turnAt() time.Time {
	return fo.holder.Evidence().Add(fo.maxAge + fo.turnDelay(fo.upstream.WatchRank()))
}

// untilTurn returns the time until this daemon is to look again whether it is to watch the store.
func (fo *Follower) untilTurn(now time.Time) time.Duration {
	if wait := fo.turnAt().Sub(now); wait > 0 && wait < turnInterval {
		return wait + time.Millisecond
	}
	return turnInterval
}

// maxDelay returns the longest pause between two attempts at a store that fails. A daemon
// that is not one of the first waits longer, as many may do as it does.
func (fo *Follower) maxDelay() time.Duration {
	if fo == nil || fo.Reason() == WatchRank || fo.Reason() == WatchNoPolicy {
		return maxReopenDelay
	}
	return maxFollowerReopenDelay
}

func (fo *Follower) noteStoreAnswer(at time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.storeAnsweredAt = at
	if fo.isLost() {
		fo.lost = make(chan struct{})
	}
}

// noteStoreFailure records that a call of the store failed.
func (fo *Follower) noteStoreFailure() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if !fo.isLost() {
		close(fo.lost)
	}
}

// isLost reports whether the last call of the store failed. The caller holds mu.
func (fo *Follower) isLost() bool {
	select {
	case <-fo.lost:
		return true
	default:
		return false
	}
}

// StoreLost returns a channel that is closed while the store fails this daemon, if it is one
// of the first, which watch the store at all times. Otherwise it returns nil.
func (fo *Follower) StoreLost() <-chan struct{} {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.reason != WatchRank {
		return nil
	}
	return fo.lost
}

// WatcherAnswered returns when the store last answered this daemon, if it is one of the first,
// which watch the store at all times. Otherwise it returns the zero time.
func (fo *Follower) WatcherAnswered() time.Time {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.reason != WatchRank {
		return time.Time{}
	}
	return fo.storeAnsweredAt
}

// needsPeers reports whether this daemon is to follow peers: unless it is one of the first
// and has word from the store.
func (fo *Follower) needsPeers(now time.Time) bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.reason != WatchRank || fo.isLost() || now.Sub(fo.storeAnsweredAt) > fo.maxAge
}

// lacksWord reports whether peers have lost the store, and none that this daemon follows is
// known to have had word from it since.
func (fo *Follower) lacksWord() bool {
	evidence := fo.holder.Evidence()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.lostPeers < lostAnswers {
		return fo.lostPeers > 0
	}
	return !evidence.After(fo.lostAt)
}

// Run follows peers until ctx is done.
func (fo *Follower) Run(ctx context.Context) {
	gr := worker.NewGroup()
	for slot := range followedPeers {
		gr.Go(func(context.Context) { fo.follow(ctx, slot) })
	}
	gr.Go(func(context.Context) { fo.passOnAfterSilence(ctx) })
	gr.Wait()
}

// passOnAfterSilence passes evidence on to peers whenever it is the first for longer than evidence
// counts, until ctx is done: the peers lacked it too.
func (fo *Follower) passOnAfterSilence(ctx context.Context) {
	gr := worker.NewGroup()
	defer gr.Close()
	for last := fo.holder.Evidence(); ctx.Err() == nil; {
		confirmed, newest := fo.holder.Confirmed(), fo.holder.Evidence()
		if !last.IsZero() && newest.Sub(last) > fo.maxAge {
			gr.Go(func(context.Context) { fo.upstream.PassOn(ctx) })
		}
		last = newest
		select {
		case <-confirmed:
		case <-ctx.Done():
		}
	}
}

// follow follows one peer at a time until ctx is done. The slots of a daemon follow different
// ones. A peer that cannot be reached, or has no word from the store, is left for the next.
func (fo *Follower) follow(ctx context.Context, slot int) {
	choice, failures, returnAt := slot, 0, time.Time{}
	for ctx.Err() == nil {
		addresses := fo.upstream.Upstreams()
		if len(addresses) == 0 || !fo.needsPeers(time.Now()) {
			worker.Sleep(ctx, turnInterval)
			continue
		}
		if choice != slot && time.Now().After(returnAt) {
			returnAt = time.Now().Add(returnInterval)
			if fo.isBack(ctx, addresses[slot%len(addresses)]) {
				choice = slot
			}
		}
		var address string
		address, choice = fo.peers.take(time.Now(), addresses, choice)
		pa, err := fo.ask(ctx, address)
		fo.peers.release(address)
		if errors.Is(err, ErrReceiving) {
			worker.Sleep(ctx, turnInterval)
			continue
		}
		inPlace := fo.noteFollowed(pa, err)
		switch {
		case !fo.hasWord(pa, err):
			choice++
			returnAt = time.Now().Add(returnInterval)
			worker.Sleep(ctx, followDelay<<min(failures/2, maxFollowDoublings))
			failures++
			continue
		case inPlace && time.Since(pa.StoreAnswered) > fo.maxAge:
			// Another one may have word from the store itself again.
			choice++
		case choice >= len(addresses):
			// The preferred ones may be back.
			choice, failures = slot, 0
		default:
			failures = 0
		}
		worker.Sleep(ctx, minFollowInterval)
	}
}

// hasWord reports whether the answer of a peer shows that it has word from the store.
func (fo *Follower) hasWord(pa Passed, err error) bool {
	return err == nil && !pa.StoreLost && time.Since(pa.Evidence) <= fo.maxAge
}

// isBack reports whether the preferred peer of a slot has word from the store again. Only one
// slot asks at a time: the others follow their peers meanwhile.
func (fo *Follower) isBack(ctx context.Context, address string) bool {
	if !fo.returning.TryLock() {
		return false
	}
	defer fo.returning.Unlock()
	pa, err := fo.ask(ctx, address)
	fo.noteFollowed(pa, err)
	return fo.hasWord(pa, err)
}

// ask follows a peer with one call. A peer that is silent for longer than this daemon's evidence
// counts must not hold up the slot: others may have word. An answer that has begun may take longer: many
// records take a while on a slow link.
func (fo *Follower) ask(ctx context.Context, address string) (Passed, error) {
	now := time.Now()
	patience := max(minPatience, fo.holder.Evidence().Add(fo.maxAge+silenceMargin).Sub(now))
	ctx, cancel := network.WithStallLimit(ctx, patience)
	defer cancel()
	pa, err := fo.upstream.FollowPolicy(ctx, address, fo.lacksWord())
	fo.peers.noteAnswer(time.Now(), address, err == nil || ctx.Err() == nil)
	return pa, err
}

// noteFollowed records what a peer passed on, and reports whether this daemon watches the
// store in place of others.
func (fo *Follower) noteFollowed(pa Passed, err error) bool {
	evidence := fo.holder.Evidence()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if errors.Is(err, ErrReceiving) {
		return fo.watches()
	}
	if err != nil {
		if fo.unreachable++; fo.unreachable == followedPeers || evidence.After(fo.unreachableAt) {
			fo.unreachableAt = time.Now()
		}
		return false
	}
	fo.unreachable = 0
	switch {
	case time.Since(pa.StoreAnswered) < fo.maxAge && !pa.StoreLost:
		fo.lostPeers = 0
	case pa.StoreLost:
		if fo.lostPeers++; fo.lostPeers == lostAnswers {
			fo.lostAt = time.Now()
		}
	}
	if pa.StoreAnswered.After(fo.peerAnsweredAt) {
		fo.peerAnsweredAt = pa.StoreAnswered
	}
	return fo.watches()
}
