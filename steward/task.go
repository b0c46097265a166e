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

// Tasks by name. Those of roll-outs and orders carry an id behind the slash.
const (
	taskRatings       lease.Task = "ratings"
	taskTrim          lease.Task = "trim"
	taskRolloutPrefix            = "rollout/"
	taskOrdersPrefix             = "orders/"
)

// taskPrefix is the prefix of the items by which holders tell of their tasks.
const taskPrefix = "task/"

// task is one piece of work. It is looked at by one goroutine at a time, and
// only while its lease is held.
type task interface {
	// look does what is due now, and tells whether the task is done for good.
	look(ctx context.Context, ho lease.Hold) (done bool)
}

// tasks holds this steward's tasks. It is used by one goroutine.
type tasks struct {
	daemon  *Daemon
	held    map[lease.Task]task
	stopped atomic.Bool
	// lookAgain is when a task that another steward holds is tried again.
	lookAgain map[lease.Task]time.Time
}

func newTasks(da *Daemon) *tasks {
	return &tasks{daemon: da, held: map[lease.Task]task{}, lookAgain: map[lease.Task]time.Time{}}
}

func (ts *tasks) stop() { ts.stopped.Store(true) }

// look takes free tasks and goes through those held.
func (ts *tasks) look(ctx context.Context) {
	if ts.stopped.Load() {
		return
	}
	for _, ta := range ts.due() {
		ts.acquire(ctx, ta)
	}
	for ta, work := range ts.held {
		ho, ok := ts.daemon.leases.Holds(ta)
		if !ok {
			delete(ts.held, ta)
			continue
		}
		ts.daemon.peers.PublishVersion(taskPrefix+string(ta), peer.Version{Fence: int64(ho.Token), Sequence: time.Now().UnixNano()}, &rpc.Member{Vm: string(ts.daemon.peers.VM())})
		if work.look(ctx, ho) {
			delete(ts.held, ta)
			if err := ts.daemon.leases.Release(ctx, ta); err != nil {
				ts.daemon.log.Debug(event.StoreUnreachable, err, nil)
			}
		}
	}
}

// due lists the tasks that the policy asks for.
func (ts *tasks) due() []lease.Task {
	se := ts.daemon.holder.Set()
	if se.Revision == 0 {
		return nil
	}
	out := []lease.Task{taskTrim}
	if ts.daemon.ratings != nil {
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

// acquire tries for a task, unless its holder was heard of lately.
func (ts *tasks) acquire(ctx context.Context, ta lease.Task) {
	if _, ok := ts.held[ta]; ok || time.Now().Before(ts.lookAgain[ta]) || !ts.daemon.preferred(ta) {
		return
	}
	ttl := ts.daemon.set.GetSteward().GetLease().AsDuration()
	if it, ok := ts.daemon.peers.Table().Get(taskPrefix + string(ta)); ok && time.Since(it.WrittenAt) < ttl {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ttl)
	defer cancel()
	ok, err := ts.daemon.leases.Acquire(ctx, ta)
	if err != nil {
		ts.daemon.log.Debug(event.StoreUnreachable, err, nil)
	}
	if !ok {
		ts.lookAgain[ta] = time.Now().Add(ttl)
		return
	}
	ts.held[ta] = ts.make(ta)
}

func (ts *tasks) make(ta lease.Task) task {
	if id, ok := strings.CutPrefix(string(ta), taskRolloutPrefix); ok {
		return newRolloutTask(ts.daemon, policy.RolloutID(id))
	}
	if fd, ok := strings.CutPrefix(string(ta), taskOrdersPrefix); ok {
		return newOrdersTask(ts.daemon, policy.FailureDomain(fd))
	}
	if ta == taskRatings {
		return newRatingsTask(ts.daemon)
	}
	return newTrimTask(ts.daemon)
}
