package router

import (
	"context"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

const (
	// taskRollout is the prefix of the tasks of roll-outs.
	taskRollout = "rollout/"
	// candidates is how many routers try for a free task.
	candidates = 2
)

// control moves the roll-outs whose task this router holds.
func (da *Daemon) control(ctx context.Context) {
	active := false
	for _, ro := range da.holder.Set().Rollouts.List() {
		if ro.Service == "" || !ro.Active() || da.relay.Draining() {
			continue
		}
		active = true
		if ho, ok := da.acquire(ctx, lease.Task(taskRollout+ro.Service)); ok {
			da.move(ctx, ho, ro)
		}
	}
	switch {
	case active && time.Since(da.renewedAt) > da.set.GetRollout().GetLease().AsDuration()/3:
		da.renewedAt = time.Now()
		da.leases.Renew(ctx)
	case active:
	case len(da.leases.List()) > 0:
		da.leases.Close(ctx)
	}
}

func (da *Daemon) acquire(ctx context.Context, ta lease.Task) (lease.Hold, bool) {
	if ho, ok := da.leases.Holds(ta); ok {
		return ho, true
	}
	if !da.peers.Preferred(string(ta), candidates) {
		return lease.Hold{}, false
	}
	if _, err := da.leases.Acquire(ctx, ta); err != nil {
		da.log.Debug(event.StoreUnreachable, err, event.Fields{"task": ta})
	}
	return da.leases.Holds(ta)
}

// move takes a roll-out's next step, if one is due.
func (da *Daemon) move(ctx context.Context, ho lease.Hold, ro policy.Rollout) {
	now := time.Now()
	ve := da.relay.Verdict(now, ro)
	switch {
	case ve.Bad != "":
		da.record(ctx, ho, ro, rpc.RolloutState_ABORTED, ve.Plan.StartedAt, ve.Bad)
	case ro.StartedAtMs == 0:
		da.record(ctx, ho, ro, rpc.RolloutState_RUNNING, ve.Plan.StartedAt, "taken up")
	case ve.Answers > 0 && ve.Plan.Complete(now, ve.StableInFlight):
		da.record(ctx, ho, ro, rpc.RolloutState_DONE, ve.Plan.StartedAt, "proved")
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
