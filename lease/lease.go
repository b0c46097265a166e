// Package lease assigns each task to one daemon at a time by leases in the
// store. A task's fencing token is the revision at which its keys were created. The
// changes that a task makes are conditional on the token, so that a holder that
// was paused until after its lease expired changes nothing. The protocol is
// modelled in spec/lease.pml.
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

// Task is the name of work that only one daemon may do at a time.
type Task string

// Hold is the ownership of a task. State dumps encode it under its field names.
type Hold struct {
	Task Task
	// Token is the fencing token.
	Token store.Revision
	Since time.Time
	// ExpiresAt is the time by this process's clock until which the lease lasts
	// for certain.
	ExpiresAt time.Time
	// key is the task's key, which excludes other daemons. ownKey is created and ends with
	// it, but only this daemon creates it.
	key    store.Key
	ownKey store.Key
}

// Fence returns the condition of configuration changes under this hold: the hold's own key
// must still have the token as its revision. After a restore of the store the task's key
// may have it in the hands of another daemon.
func (ho Hold) Fence() *configuration.Fence {
	return &configuration.Fence{Key: ho.ownKey, Token: ho.Token}
}

// Manager acquires and releases the tasks of a daemon, all under one lease of
// the store.
//
// mu guards all fields below it. The store is not called while it is held.
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

// NewManager returns a manager without a lease. owner is the daemon's
// incarnation, which the tasks' keys name; ttl is the lease's time to live.
func NewManager(prefix store.Key, st store.Store, owner string, ttl time.Duration, lo *event.Log) *Manager {
	return &Manager{prefix: prefix + "lease/", store: st, owner: owner, ttl: ttl, log: lo, holds: map[Task]Hold{}}
}

// margin returns how much earlier than its time to live a lease counts as expired
// here. It allows for the time that the store's answer took and for clock drift.
func (ma *Manager) margin() time.Duration { return ma.ttl / 5 }

// Holds returns the hold of a task, and reports whether this daemon holds it and
// its lease has not expired.
func (ma *Manager) Holds(ta Task) (Hold, bool) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ho, ok := ma.holds[ta]
	ho.ExpiresAt = ma.expiresAt
	return ho, ok && time.Now().Before(ma.expiresAt)
}

// List returns the holds of all tasks, also when the lease has expired.
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

// Renew renews the lease. It drops all holds when the store has ended the lease,
// or when the lease has expired by this process's clock and could not be renewed.
// A daemon that keeps holds calls it at least every third of the lease's time to
// live.
func (ma *Manager) Renew(ctx context.Context) {
	ma.mu.Lock()
	id, validUntil := ma.lease, ma.expiresAt
	ma.mu.Unlock()
	if id.IsZero() {
		return
	}
	asked := time.Now()
	alive, err := ma.store.KeepAlive(ctx, id)
	switch {
	case err == nil && alive:
		ma.mu.Lock()
		ma.expiresAt = asked.Add(ma.ttl - ma.margin())
		ma.mu.Unlock()
	case err == nil || time.Now().After(validUntil):
		ma.dropHolds(err)
	}
}

// dropHolds drops the lease, which has expired, and all holds under it. err is why
// it could not be renewed, nil when the store has ended it.
func (ma *Manager) dropHolds(err error) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	for ta := range ma.holds {
		ma.log.Warn(event.LeaseLost, err, event.Fields{"task": ta})
	}
	ma.lease, ma.expiresAt, ma.holds = store.LeaseID{}, time.Time{}, map[Task]Hold{}
}

// Acquire tries to acquire a task, and reports whether this daemon holds it
// now. It reports false without an error when another daemon holds it.
func (ma *Manager) Acquire(ctx context.Context, ta Task) (bool, error) {
	if _, ok := ma.Holds(ta); ok {
		return true, nil
	}
	id, err := ma.currentLease(ctx)
	if err != nil {
		return false, eris.Wrap(err, "Manager.Acquire")
	}
	key := ma.prefix + store.Key(ta)
	ownKey := key + "/" + store.Key(ma.owner)
	// The value names the lease as well, so that a key under an earlier lease of
	// this daemon does not count as held.
	value := fmt.Sprintf("%s/%d/%d", ma.owner, id.Era, id.Number)
	co := store.Commit{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: []byte(value), Lease: id}, {Key: ownKey, Value: []byte(value), Lease: id}},
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
		// An earlier try of this write, whose answer was lost, created the key.
		token = ou.Found[0].ModRevision
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.lease != id {
		// The lease was dropped during the write, and the key ends with it.
		return false, nil
	}
	ma.holds[ta] = Hold{Task: ta, Token: token, Since: time.Now(), key: key, ownKey: ownKey}
	ma.log.Info(event.LeaseTaken, event.Fields{"task": ta, "fencing_token": token})
	return true, nil
}

// currentLease returns the lease, which it requests from the store when there
// is none.
func (ma *Manager) currentLease(ctx context.Context) (store.LeaseID, error) {
	ma.mu.Lock()
	id := ma.lease
	ma.mu.Unlock()
	if !id.IsZero() {
		return id, nil
	}
	asked := time.Now()
	id, err := ma.store.Grant(ctx, ma.ttl)
	if err != nil {
		return store.LeaseID{}, err
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.lease, ma.expiresAt = id, asked.Add(ma.ttl-ma.margin())
	return id, nil
}

// Release releases a task, so that other daemons can acquire it at once. It does
// nothing when the task is not held. After an error the task may stay taken until
// the lease ends.
func (ma *Manager) Release(ctx context.Context, ta Task) error {
	ma.mu.Lock()
	ho, ok := ma.holds[ta]
	delete(ma.holds, ta)
	ma.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := ma.store.Apply(ctx, store.Commit{
		Compares: []store.Compare{{Key: ho.key, ModRevision: ho.Token}, {Key: ho.ownKey, ModRevision: ho.Token}},
		Deletes:  []store.Key{ho.key, ho.ownKey},
	})
	return eris.Wrap(err, "Manager.Release")
}

// Close drops all holds and revokes the lease, so that other daemons can acquire
// the tasks at once. When the store cannot be reached, the lease lasts until its
// time to live is over. The manager can be used again afterwards.
func (ma *Manager) Close(ctx context.Context) {
	ma.mu.Lock()
	id := ma.lease
	ma.lease, ma.holds, ma.expiresAt = store.LeaseID{}, map[Task]Hold{}, time.Time{}
	ma.mu.Unlock()
	if !id.IsZero() {
		_ = ma.store.Revoke(ctx, id)
	}
}
