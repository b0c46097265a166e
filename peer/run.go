package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/worker"
)

const (
	// smallGroup daemons exchange at the interval set. Larger groups take longer
	// in proportion, so that what each sends a second does not grow with them.
	smallGroup = 24
	// notifyFanout is how many peers a large group's daemon tells of a new policy
	// set at once: nearly all then know within a few steps.
	notifyFanout = 3
)

// Run exchanges with peers until ctx ends: each interval, and at once when a
// new policy set comes into force.
func (gr *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := gr.holder.Changed()
		tm := time.NewTimer(gr.ScaleInterval(gr.opt.Interval))
		gr.publishSelf()
		gr.exchangeRound(ctx)
		gr.updateMembers()
		gr.waitRound(ctx, changed, tm.C)
		tm.Stop()
	}
}

// waitRound waits for the next round. In a large group a new policy set is
// told of by itself meanwhile, without the items of a round.
func (gr *Group) waitRound(ctx context.Context, changed <-chan struct{}, due <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case address := <-gr.aheadPeers:
			gr.exchangeRevisions(ctx, address)
		case <-changed:
			if !gr.Large() {
				return
			}
			changed = gr.holder.Changed()
			gr.notifyPeers(ctx)
		}
	}
}

// ScaleInterval gives an interval as it is at the group's size.
func (gr *Group) ScaleInterval(interval time.Duration) time.Duration {
	return interval * time.Duration(max(smallGroup, gr.size.Load())) / smallGroup
}

// Large tells whether the group is too large for each daemon to know every
// other one's work at each moment.
func (gr *Group) Large() bool { return gr.size.Load() > smallGroup }

// notifyPeers tells some peers of the policy in force.
func (gr *Group) notifyPeers(ctx context.Context) {
	wg := worker.NewGroup()
	for _, mb := range gr.randomMembers(notifyFanout) {
		wg.Go(func(context.Context) { gr.exchangeRevisions(ctx, mb.PeerAddress) })
	}
	wg.Wait()
}

func (gr *Group) randomMembers(n int) []Member {
	mbs := gr.Members()
	rand.Shuffle(len(mbs), func(i, j int) { mbs[i], mbs[j] = mbs[j], mbs[i] })
	return mbs[:min(n, len(mbs))]
}
