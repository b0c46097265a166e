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
	// rolloutTaskPrefix precedes the service's name in the name of the task whose
	// lease a router holds while it carries out an action of the roll-out.
	rolloutTaskPrefix = "rollout/"
	// preferredRouters is how many routers attempt a due action at once; the
	// others attempt it only when it is overdue, see shouldAttempt.
	preferredRouters = 2
)

// advanceRollouts carries out the actions that are due in roll-outs. It holds
// the lease of a roll-out's task for one action only.
func (da *Daemon) advanceRollouts(ctx context.Context) {
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
		if !da.shouldAttempt(now, ro.ID) {
			continue
		}
		if ho, ok := da.acquire(ctx, lease.Task(rolloutTaskPrefix+ro.Service)); ok {
			da.execute(ctx, ho, ro, pr, ac)
			da.leases.Close(ctx)
		}
	}
}

// shouldAttempt reports whether this router attempts a roll-out's due action.
// The preferred routers attempt it at once. The others do so once the action has
// been due for half the lease's time to live, because the preferred ones may be
// cut off from the store.
func (da *Daemon) shouldAttempt(now time.Time, id policy.RolloutID) bool {
	since, ok := da.dueSince[id]
	if !ok {
		da.dueSince[id], since = now, now
	}
	ttl := da.settings.GetRollout().GetLease().AsDuration()
	return now.Sub(since) > ttl/2 || da.peers.Preferred(rolloutTaskPrefix+string(id), preferredRouters)
}

// acquire tries to take a task's lease and returns its hold. The second result
// is false when another router holds the task, or when the store failed or did
// not answer within half the lease's time to live.
func (da *Daemon) acquire(ctx context.Context, ta lease.Task) (lease.Hold, bool) {
	ctx, cancel := context.WithTimeout(ctx, da.settings.GetRollout().GetLease().AsDuration()/2)
	defer cancel()
	if _, err := da.leases.Acquire(ctx, ta); err != nil {
		da.log.Debug(event.StoreUnreachable, err, event.Fields{"task": ta})
		// The lease may have expired during the failed attempt; do not reuse it.
		da.leases.Close(ctx)
	}
	return da.leases.Holds(ta)
}

// execute records the state that an action leads to.
func (da *Daemon) execute(ctx context.Context, ho lease.Hold, ro policy.Rollout, pr rollout.Progress, ac rollout.Action) {
	switch ac {
	case rollout.ActionStart:
		da.recordState(ctx, ho, ro, rpc.RolloutState_RUNNING, pr.StartedAt, "started")
	case rollout.ActionAbort:
		why := pr.RejectionReason
		if why == "" {
			why = "not proved before the deadline"
		}
		da.recordState(ctx, ho, ro, rpc.RolloutState_ABORTED, pr.StartedAt, why)
	case rollout.ActionComplete:
		da.recordState(ctx, ho, ro, rpc.RolloutState_DONE, pr.StartedAt, "proved")
	}
}

// recordState commits a roll-out's state on condition that the task's fencing
// token is still in force, so that a write that the store applies late cannot
// overwrite a later state. Errors are logged, and the action is attempted again
// while it is due.
func (da *Daemon) recordState(ctx context.Context, ho lease.Hold, ro policy.Rollout, state rpc.RolloutState, startedAt time.Time, why string) {
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
