package router

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

const (
	// taskRollout is the prefix of the tasks of roll-outs.
	taskRollout = "rollout/"
	// candidates is how many routers try at once for an action that is due.
	candidates = 2
)

// control takes the actions that are due in roll-outs. A task's lease is held
// for one action only.
func (da *Daemon) control(ctx context.Context) {
	now := time.Now()
	for _, ro := range da.holder.Set().Rollouts.List() {
		if ro.Service == "" || !ro.Active() || da.relay.Draining() {
			continue
		}
		pr := da.relay.RolloutProgress(now, ro)
		ac := pr.Next(now)
		if ac == rollout.ActionNone {
			delete(da.dueSince, ro.ID)
			continue
		}
		if !da.mayTry(now, ro.ID) {
			continue
		}
		if ho, ok := da.acquire(ctx, lease.Task(taskRollout+ro.Service)); ok {
			da.take(ctx, ho, ro, pr, ac)
			da.leases.Close(ctx)
		}
	}
}

// mayTry tells whether this router tries for an action: a few do at once, and
// everyone when they seem unable to.
func (da *Daemon) mayTry(now time.Time, id policy.RolloutID) bool {
	since, ok := da.dueSince[id]
	if !ok {
		da.dueSince[id], since = now, now
	}
	ttl := da.set.GetRollout().GetLease().AsDuration()
	return now.Sub(since) > ttl/2 || da.peers.Preferred(taskRollout+string(id), candidates)
}

func (da *Daemon) acquire(ctx context.Context, ta lease.Task) (lease.Hold, bool) {
	ctx, cancel := context.WithTimeout(ctx, da.set.GetRollout().GetLease().AsDuration()/2)
	defer cancel()
	if _, err := da.leases.Acquire(ctx, ta); err != nil {
		da.log.Debug(event.StoreUnreachable, err, event.Fields{"task": ta})
		// Whatever lease there was may have ended with the attempt.
		da.leases.Close(ctx)
	}
	return da.leases.Holds(ta)
}

// take takes an action.
func (da *Daemon) take(ctx context.Context, ho lease.Hold, ro policy.Rollout, pr rollout.Progress, ac rollout.Action) {
	switch ac {
	case rollout.ActionStart:
		da.record(ctx, ho, ro, rpc.RolloutState_RUNNING, pr.StartedAt, "taken up")
	case rollout.ActionAbort:
		why := pr.RejectionReason
		if why == "" {
			why = "not proved in time"
		}
		da.record(ctx, ho, ro, rpc.RolloutState_ABORTED, pr.StartedAt, why)
	case rollout.ActionComplete:
		da.record(ctx, ho, ro, rpc.RolloutState_DONE, pr.StartedAt, "proved")
	}
}

// record writes a roll-out's state under the task's fencing token.
func (da *Daemon) record(ctx context.Context, ho lease.Hold, ro policy.Rollout, state rpc.RolloutState, startedAt time.Time, why string) {
	co, err := da.layout.RolloutCommit(ro, state, startedAt)
	if err == nil {
		fe := ho.Fence()
		co.Compares = append(co.Compares, store.Compare{Key: fe.Key, ModRevision: fe.Token})
		var ou store.Outcome
		ou, err = da.store.Apply(ctx, co)
		if err == nil && !ou.Applied {
			da.log.Warn(event.ChangeFenced, nil, event.Fields{"task": ho.Task, "fencing_token": ho.Token})
			return
		}
	}
	if err != nil {
		da.log.Warn(event.StoreUnreachable, err, event.Fields{"task": ho.Task, "state": state.String()})
		return
	}
	nu := event.RolloutMoved
	if state == rpc.RolloutState_ABORTED {
		nu = event.RolloutAborted
	}
	da.log.Info(nu, event.Fields{"service": ro.Service, "release": ro.ToVersion, "state": state.String(), "why": why, "fencing_token": ho.Token})
}
