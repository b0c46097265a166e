package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"

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
	// repeatDelay is how long a router waits for its policy to show the result of an
	// action before it looks at the store again.
	repeatDelay = 3 * time.Second
	// minRewriteDelay and maxRewriteDelay are the shortest and the longest time between
	// two attempts to write again what a restored store has lost; the longest is that of a
	// small group.
	minRewriteDelay = 500 * time.Millisecond
	maxRewriteDelay = 30 * time.Second
)

// advanceRollouts carries out the actions that are due in roll-outs, and writes again what
// the store has lost of them. It holds the lease of a roll-out's task for one action only.
func (da *Daemon) advanceRollouts(ctx context.Context) {
	now := time.Now()
	for _, ro := range da.holder.Set().Rollouts.List() {
		if ro.Service == "" || da.relay.Draining() {
			continue
		}
		ac := da.nextAction(now, ro)
		if ac == rollout.ActionNone && !da.lostByStore(ro) {
			delete(da.dueSince, ro.ID)
			continue
		}
		done := doneAction{ro.ID, ac}
		if now.Before(da.repeatAt[done]) || !da.shouldAttempt(now, ro.ID) {
			continue
		}
		if ho, ok := da.acquire(ctx, rolloutTask(ro.Service)); ok {
			if da.advance(ctx, ho, ro) {
				da.repeatAt[done] = time.Now().Add(da.repeatDelay(now, ro))
			}
			da.leases.Close(ctx)
		}
	}
}

// nextAction returns the action that is due in a roll-out, ActionNone if it has ended.
func (da *Daemon) nextAction(now time.Time, ro policy.Rollout) rollout.Action {
	if !ro.Active() {
		return rollout.ActionNone
	}
	return da.relay.RolloutProgress(now, ro).Next(now)
}

// lostByStore reports whether a restored store may lack what is known of a roll-out.
func (da *Daemon) lostByStore(ro policy.Rollout) bool {
	return da.holder.Set().Retains(policy.KindRollout, string(ro.ID))
}

// repeatDelay returns how long a router waits before it attempts an action again. What a
// restored store has lost of a roll-out can be written only after the operator's order: the
// first attempts follow closely, as orders are written again soon or not at all.
func (da *Daemon) repeatDelay(now time.Time, ro policy.Rollout) time.Duration {
	if !da.lostByStore(ro) {
		return repeatDelay
	}
	return min(max(now.Sub(da.dueSince[ro.ID]), minRewriteDelay), da.peers.ScaleInterval(maxRewriteDelay))
}

// doneAction is an action of a roll-out whose result the store has.
type doneAction struct {
	rollout policy.RolloutID
	action  rollout.Action
}

// maxTaskName is the longest name of a service, in bytes, that is in the name of its task. A key
// of the store has 200 bytes, and a lease's own key also names its holder.
const maxTaskName = 100

// rolloutTask returns the task of a service's roll-outs.
func rolloutTask(service string) lease.Task {
	if len(service) > maxTaskName {
		sum := sha256.Sum256([]byte(service))
		service = hex.EncodeToString(sum[:])
	}
	return lease.Task(rolloutTaskPrefix + service)
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

// advance carries out the action that is due in a roll-out by the store's own state of
// it: this router's policy may be behind the store, and another router may have acted
// already. It reports whether the store has the action's result. Errors are logged, and
// the action is attempted again while it is due.
func (da *Daemon) advance(ctx context.Context, ho lease.Hold, ro policy.Rollout) bool {
	current, compares, err := da.readRollout(ctx, ro)
	if err != nil {
		da.log.Warn(event.StoreUnreachable, err, event.Fields{"task": ho.Task})
		return false
	}
	_, known, _ := da.holder.Set().Record(policy.KindRollout, string(ro.ID))
	lost := known.Era() < eraOf(compares) && current.SameOrder(ro) && ro.FurtherThan(current)
	if lost {
		current = ro
	}
	if current.ToVersion != ro.ToVersion {
		return true
	}
	if !lost {
		current.TakeReleases(ro)
	}
	step := da.nextStep(current)
	if step.next == nil && lost {
		step.next, step.why = current.Rollout, "the restored store had lost it"
	}
	if step.next == nil {
		return true
	}
	fe := ho.Fence()
	compares = append(compares, store.Compare{Key: fe.Key, ModRevision: fe.Token})
	return da.record(ctx, ho, step, compares)
}

// rolloutStep is a change of a roll-out's state: its next state, nil if none is due, why, and
// the observations that decided.
type rolloutStep struct {
	next   *rpc.Rollout
	why    string
	report rollout.Report
}

// nextStep returns the step that is due in a roll-out.
func (da *Daemon) nextStep(ro policy.Rollout) rolloutStep {
	if !ro.Active() {
		return rolloutStep{}
	}
	now := time.Now()
	pr := da.relay.RolloutProgress(now, ro)
	next, why := pr.Apply(now, pr.Next(now), ro.Rollout)
	return rolloutStep{next, why, pr.Report}
}

// eraOf returns the newest era of the revisions that are compared.
func eraOf(compares []store.Compare) store.Era {
	newest := store.Revision(0)
	for _, cm := range compares {
		newest = max(newest, cm.ModRevision)
	}
	return newest.Era()
}

// readRollout reads a roll-out from the store. The compares hold as long as it is
// unchanged there.
func (da *Daemon) readRollout(ctx context.Context, ro policy.Rollout) (policy.Rollout, []store.Compare, error) {
	var kvs []store.KeyValue
	var compares []store.Compare
	for _, key := range da.layout.RolloutKeys(ro.Service) {
		rr, err := da.store.Get(ctx, key)
		if err != nil {
			return policy.Rollout{}, nil, eris.Wrap(err, "Daemon.readRollout")
		}
		co := store.Compare{Key: key}
		if len(rr.KeyValues) > 0 {
			co.ModRevision = rr.KeyValues[0].ModRevision
		}
		kvs, compares = append(kvs, rr.KeyValues...), append(compares, co)
	}
	return policy.Rollout{ID: ro.ID, Rollout: da.layout.Rollout(kvs)}, compares, nil
}

// record commits a roll-out's new state if the compares hold. One of them is that the
// task's fencing token is still in force, so that a write that the store applies late
// cannot overwrite a later state. It reports whether the store answered.
func (da *Daemon) record(ctx context.Context, ho lease.Hold, step rolloutStep, compares []store.Compare) bool {
	next := step.next
	co, err := da.layout.RolloutCommit(next)
	var ou store.Outcome
	if err == nil {
		co.Compares = compares
		ou, err = da.store.Apply(ctx, co)
	}
	if err != nil {
		da.log.Warn(event.StoreUnreachable, err, event.Fields{"task": ho.Task, "state": next.GetState().String()})
		return false
	}
	if !ou.Applied {
		da.log.Warn(event.ChangeFenced, nil, event.Fields{"task": ho.Task, "fencing_token": ho.Token})
		return true
	}
	nu := event.RolloutMoved
	if next.GetState() == rpc.RolloutState_ABORTED {
		nu = event.RolloutAborted
	}
	op := rollout.Compare(step.report.Routes)
	da.log.Info(nu, event.Fields{
		"service": next.GetService(), "release": next.GetToVersion(), "state": next.GetState().String(), "why": step.why, "fencing_token": ho.Token,
		"in_use": next.GetFromVersion(), "withdrawn": next.GetWithdrawnVersions(),
		"routes": step.report.RouteSummaries(), "sent": step.report.Sent, "odds_bad": op.Odds, "expected_loss": op.ExpectedLoss,
	})
	return true
}
