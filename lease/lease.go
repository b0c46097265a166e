// Package lease divides tasks among daemons by leases in the store. A task's
// fencing token is the revision at which its key was created; changes compare
// it, so that a holder that was paused past its lease changes nothing. The
// protocol is that of spec/lease.pml.
package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/store"
)

// Task names a piece of work that one daemon does at a time.
type Task string

// Hold is a task's lease, held until at least ExpiresAt by this clock.
type Hold struct {
	Task      Task
	Token     store.Revision
	Since     time.Time
	ExpiresAt time.Time
	key       store.Key
}

// Fence gives what changes of configuration must compare.
func (ho Hold) Fence() *configuration.Fence {
	return &configuration.Fence{Key: ho.key, Token: ho.Token}
}

// Manager holds one lease of the store for all tasks of a daemon.
//
// mu guards all fields below it. No call is made while it is held.
type Manager struct {
	prefix store.Key
	store  store.Store
	owner  string
	ttl    time.Duration
	log    *event.Log

	mu        sync.Mutex
	lease     store.LeaseID
	expiresAt time.Time
	holds     map[Task]Hold
}

// NewManager gives a manager without a lease; owner is the daemon's incarnation.
func NewManager(prefix store.Key, st store.Store, owner string, ttl time.Duration, lo *event.Log) *Manager {
	return &Manager{prefix: prefix + "lease/", store: st, owner: owner, ttl: ttl, log: lo, holds: map[Task]Hold{}}
}

// margin is taken off a lease, for the time that an answer took and for
// clocks that run apart.
func (ma *Manager) margin() time.Duration { return ma.ttl / 5 }

// Holds gives the hold of a task while its lease is sure to last.
func (ma *Manager) Holds(ta Task) (Hold, bool) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ho, ok := ma.holds[ta]
	ho.ExpiresAt = ma.expiresAt
	return ho, ok && time.Now().Before(ma.expiresAt)
}

// List gives the holds of all tasks.
func (ma *Manager) List() []Hold {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	var out []Hold
	for _, ho := range ma.holds {
		ho.ExpiresAt = ma.expiresAt
		out = append(out, ho)
	}
	return out
}

// Renew keeps the lease alive. When it has lapsed, every hold is lost. It is
// called at least every third of the lease's time to live.
func (ma *Manager) Renew(ctx context.Context) {
	ma.mu.Lock()
	id, last := ma.lease, ma.expiresAt
	ma.mu.Unlock()
	if id == 0 {
		return
	}
	asked := time.Now()
	alive, err := ma.store.KeepAlive(ctx, id)
	switch {
	case err == nil && alive:
		ma.mu.Lock()
		ma.expiresAt = asked.Add(ma.ttl - ma.margin())
		ma.mu.Unlock()
	case err == nil || time.Now().After(last):
		ma.lose(err)
	}
}

func (ma *Manager) lose(err error) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	for ta := range ma.holds {
		ma.log.Warn(event.LeaseLost, err, event.Fields{"task": ta})
	}
	ma.lease, ma.expiresAt, ma.holds = 0, time.Time{}, map[Task]Hold{}
}

// Acquire tries to take a task that nobody holds; false when somebody does.
func (ma *Manager) Acquire(ctx context.Context, ta Task) (bool, error) {
	if _, ok := ma.Holds(ta); ok {
		return true, nil
	}
	id, err := ma.currentLease(ctx)
	if err != nil {
		return false, eris.Wrap(err, "Manager.Acquire")
	}
	key := ma.prefix + store.Key(ta)
	// The value names the lease as well: a key of an earlier one is not ours.
	value := fmt.Sprintf("%s/%d", ma.owner, id)
	co := store.Commit{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: []byte(value), Lease: id}},
	}
	ou, err := store.ApplyResolved(ctx, ma.store, co, func(found []store.KeyValue) bool {
		return len(found) == 1 && string(found[0].Value) == value
	})
	if err != nil {
		return false, eris.Wrap(err, "Manager.Acquire")
	}
	if !ou.Applied {
		return false, nil
	}
	token := ou.Revision
	if len(ou.Found) == 1 {
		token = ou.Found[0].ModRevision
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.lease != id {
		return false, nil
	}
	ma.holds[ta] = Hold{Task: ta, Token: token, Since: time.Now(), key: key}
	ma.log.Info(event.LeaseTaken, event.Fields{"task": ta, "fencing_token": token})
	return true, nil
}

func (ma *Manager) currentLease(ctx context.Context) (store.LeaseID, error) {
	ma.mu.Lock()
	id := ma.lease
	ma.mu.Unlock()
	if id != 0 {
		return id, nil
	}
	asked := time.Now()
	id, err := ma.store.Grant(ctx, ma.ttl)
	if err != nil {
		return 0, err
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.lease, ma.expiresAt = id, asked.Add(ma.ttl-ma.margin())
	return id, nil
}

// Release gives up a task.
func (ma *Manager) Release(ctx context.Context, ta Task) error {
	ma.mu.Lock()
	ho, ok := ma.holds[ta]
	delete(ma.holds, ta)
	ma.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := ma.store.Apply(ctx, store.Commit{
		Compares: []store.Compare{{Key: ho.key, ModRevision: ho.Token}},
		Deletes:  []store.Key{ho.key},
	})
	return eris.Wrap(err, "Manager.Release")
}

// Close ends the lease, so that others can take the tasks at once.
func (ma *Manager) Close(ctx context.Context) {
	ma.mu.Lock()
	id := ma.lease
	ma.lease, ma.holds, ma.expiresAt = 0, map[Task]Hold{}, time.Time{}
	ma.mu.Unlock()
	if id != 0 {
		_ = ma.store.Revoke(ctx, id)
	}
}
