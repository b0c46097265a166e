package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/worker"
)

const (
	// smallGroup is the largest number of daemons that exchange at the configured
	// interval. In larger groups the interval grows with the number of daemons, so
	// that the amount of data that each sends per second does not grow.
	smallGroup = 24
	// notifyFanout is the number of peers that a daemon of a large group notifies of
	// a new policy set without waiting for the next round. Since each of them does
	// the same, nearly all daemons know of it after a few hops.
	notifyFanout = 3
	// joinInterval is the pause between exchanges of a daemon that has started within
	// joinPeriod and knows no other one yet.
	joinInterval = 150 * time.Millisecond
	joinPeriod   = 5 * time.Second
	// maxFetching is the number of peers with a newer policy that are asked for it at a time: one
	// that does not answer must not hold up the others.
	maxFetching = 2
)

// Run exchanges with peers until ctx is done, once per interval and at once
// when a new policy set comes into force.
func (gr *Group) Run(ctx context.Context) {
	wg := worker.NewGroup()
	defer wg.Close()
	wg.Go(func(context.Context) { gr.notifyOfChanges(ctx) })
	for range maxFetching {
		wg.Go(func(context.Context) { gr.fetchAhead(ctx) })
	}
	joinUntil := time.Now().Add(joinPeriod)
	for ctx.Err() == nil {
		changed := gr.holder.Changed()
		tm := time.NewTimer(gr.ScaleInterval(gr.opt.Interval))
		gr.publishSelf()
		gr.exchangeRound(ctx)
		gr.updateMembers()
		if gr.Alone() && time.Now().Before(joinUntil) {
			tm.Reset(joinInterval)
		}
		gr.waitRound(ctx, changed, tm.C)
		tm.Stop()
	}
}

// waitRound blocks until the next round is due. In a large group a new policy
// set does not start a round.
func (gr *Group) waitRound(ctx context.Context, changed <-chan struct{}, due <-chan time.Time) {
	if gr.Large() {
		changed = nil
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-changed:
	}
}

// notifyOfChanges notifies some peers of the revision of each new policy set in a large group,
// until ctx is done.
func (gr *Group) notifyOfChanges(ctx context.Context) {
	for changed := gr.holder.Changed(); ctx.Err() == nil; {
		select {
		case <-changed:
			changed = gr.holder.Changed()
			if gr.Large() {
				gr.notifyPeers(ctx, notifyFanout)
			}
		case <-ctx.Done():
		}
	}
}

// fetchAhead fetches newer policies from the peers that have them, until ctx is done.
func (gr *Group) fetchAhead(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case address := <-gr.aheadPeers:
			gr.exchangeRevisions(ctx, address)
		case <-ctx.Done():
		}
	}
}

// ScaleInterval returns an interval multiplied by size/smallGroup if the group
// has more than smallGroup daemons, and unchanged otherwise.
func (gr *Group) ScaleInterval(interval time.Duration) time.Duration {
	return interval * time.Duration(max(smallGroup, gr.size.Load())) / smallGroup
}

// Large reports whether the group has more than smallGroup daemons: too many for
// each to have up-to-date knowledge of the load of every other one.
func (gr *Group) Large() bool { return gr.size.Load() > smallGroup }

// notifyPeers exchanges policy revisions with some random peers.
func (gr *Group) notifyPeers(ctx context.Context, count int) {
	wg := worker.NewGroup()
	for _, mb := range gr.randomMembers(count) {
		wg.Go(func(context.Context) { gr.exchangeRevisions(ctx, mb.PeerAddress) })
	}
	wg.Wait()
}

func (gr *Group) randomMembers(n int) []Member {
	mbs := gr.Members()
	rand.Shuffle(len(mbs), func(i, j int) { mbs[i], mbs[j] = mbs[j], mbs[i] })
	return mbs[:min(n, len(mbs))]
}
