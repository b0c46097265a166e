package steward

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// The names of tasks. In the names of roll-out and orders tasks, the id of the
// roll-out or the failure domain follows the prefix.
const (
	taskRatings       lease.Task = "ratings"
	taskTrim          lease.Task = "trim"
	taskRolloutPrefix            = "rollout/"
	taskOrdersPrefix             = "orders/"
)

// holderItemPrefix is the key prefix of the items with which lease holders tell their
// peers that they run a task, one per task. The task's name follows.
const holderItemPrefix = "task/"

// task is a unit of control work; its lease.Task is its name. One goroutine at a time
// runs it, and only while the task's lease is held.
type task interface {
	// run does the work that is due now and reports whether the task is done, after
	// which its lease is released.
	run(ctx context.Context, ho lease.Hold) (done bool)
}

// taskRunner acquires tasks and runs those that this steward holds. All its methods
// but stop are called by one goroutine.
type taskRunner struct {
	daemon  *Daemon
	held    map[lease.Task]task
	stopped atomic.Bool
	// retryAt is the earliest time of the next attempt to acquire a task that could
	// not be acquired.
	retryAt map[lease.Task]time.Time
}

func newTaskRunner(da *Daemon) *taskRunner {
	return &taskRunner{daemon: da, held: map[lease.Task]task{}, retryAt: map[lease.Task]time.Time{}}
}

// stop makes further calls of run do nothing. It is safe to call concurrently with run.
func (tr *taskRunner) stop() { tr.stopped.Store(true) }

// run acquires free tasks, and publishes and runs each held one. It drops tasks whose
// lease has expired or been lost, and releases those that are done.
func (tr *taskRunner) run(ctx context.Context) {
	if tr.stopped.Load() {
		return
	}
	for _, ta := range tr.wanted() {
		tr.acquire(ctx, ta)
	}
	for ta, work := range tr.held {
		ho, ok := tr.daemon.leases.Holds(ta)
		if !ok {
			delete(tr.held, ta)
			continue
		}
		tr.daemon.peers.PublishVersion(holderItemPrefix+string(ta), peer.Version{Fence: int64(ho.Token), Sequence: time.Now().UnixNano()}, &rpc.Member{Vm: string(tr.daemon.peers.VM())})
		if work.run(ctx, ho) {
			delete(tr.held, ta)
			if err := tr.daemon.leases.Release(ctx, ta); err != nil {
				tr.daemon.log.Debug(event.StoreUnreachable, err, nil)
			}
		}
	}
}

// wanted returns the tasks that the current policy requires, and none before the
// first policy has arrived.
func (tr *taskRunner) wanted() []lease.Task {
	se := tr.daemon.holder.Set()
	if se.Revision == 0 {
		return nil
	}
	out := []lease.Task{taskTrim}
	if tr.daemon.ratings != nil {
		out = append(out, taskRatings)
	}
	for _, ro := range se.Rollouts.List() {
		if ro.Active() {
			out = append(out, lease.Task(taskRolloutPrefix+string(ro.ID)))
		}
	}
	for _, fd := range failureDomains(se) {
		out = append(out, lease.Task(taskOrdersPrefix+string(fd)))
	}
	return out
}

// acquire tries to acquire a task if this steward is preferred for it. It does not try
// within a lease TTL of its last failed attempt, or of the last item that a holder
// published.
func (tr *taskRunner) acquire(ctx context.Context, ta lease.Task) {
	if _, ok := tr.held[ta]; ok || time.Now().Before(tr.retryAt[ta]) || !tr.daemon.preferred(ta) {
		return
	}
	ttl := tr.daemon.settings.GetSteward().GetLease().AsDuration()
	if it, ok := tr.daemon.peers.Table().Get(holderItemPrefix + string(ta)); ok && time.Since(it.WrittenAt) < ttl {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ttl)
	defer cancel()
	ok, err := tr.daemon.leases.Acquire(ctx, ta)
	if err != nil {
		tr.daemon.log.Debug(event.StoreUnreachable, err, nil)
	}
	if !ok {
		tr.retryAt[ta] = time.Now().Add(ttl)
		return
	}
	tr.held[ta] = tr.newTask(ta)
}

// newTask returns the task with a name.
func (tr *taskRunner) newTask(ta lease.Task) task {
	if id, ok := strings.CutPrefix(string(ta), taskRolloutPrefix); ok {
		return newRolloutTask(tr.daemon, policy.RolloutID(id))
	}
	if fd, ok := strings.CutPrefix(string(ta), taskOrdersPrefix); ok {
		return newOrdersTask(tr.daemon, policy.FailureDomain(fd))
	}
	if ta == taskRatings {
		return newRatingsTask(tr.daemon)
	}
	return newTrimTask(tr.daemon)
}
