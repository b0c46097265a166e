package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/worker"
)

const (
	// registryLease is how long a daemon's registration remains after the daemon has
	// stopped without removing it.
	registryLease         = 30 * time.Second
	registryRenewInterval = registryLease / 3
	// registeredDaemons is how many daemons register. They are enough to find the others by:
	// each knows them all.
	registeredDaemons = 5
	// registryTask is the key by which the daemons rank themselves for registering.
	registryTask = "registry"
	// registryDelay is how long after its start a daemon registers at the earliest: before,
	// it does not know all the others.
	registryDelay = 3 * time.Second
	// registryCheckInterval is how often a daemon looks whether it is to register.
	registryCheckInterval = time.Second
	// registryReadInterval is how often a registered daemon reads the registrations, to
	// rejoin parts of a site that were separated.
	registryReadInterval = 90 * time.Second
	// maxLonelyReadInterval is the longest time between two reads of a daemon that knows no
	// other one.
	maxLonelyReadInterval = 30 * time.Second
)

// Registry keeps the registrations in the store by which a daemon that starts finds the
// others when no seed is alive. A registration is a daemon's member record, stored under a
// lease. A few of the daemons register, the first by rendezvous hashing.
//
// mu guards addresses. No other lock is taken while it is held.
type Registry struct {
	prefix store.Key
	store  store.Store
	self   *rpc.Member
	log    *event.Log
	// lease is that of the registration, if there is one. It is renewed at renewAt, and the
	// registrations are read at readAt. Only Run's goroutine uses these.
	lease           store.LeaseID
	renewAt, readAt time.Time
	lonelyReads     int

	mu        sync.Mutex
	addresses []string
}

// NewRegistry returns a registry under a prefix of the store; Run starts it.
func NewRegistry(prefix store.Key, st store.Store, self *rpc.Member, lo *event.Log) *Registry {
	return &Registry{prefix: prefix + "member/", store: st, self: self, log: lo}
}

// Addresses returns the peer addresses of the last successful read.
func (rg *Registry) Addresses() []string {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.addresses
}

// Run keeps the registration up to date until ctx is done, and then removes it.
func (rg *Registry) Run(ctx context.Context, gr *Group) {
	// The daemons that the seeds know are heard of meanwhile.
	registersAt := time.Now().Add(registryDelay)
	for worker.Sleep(ctx, registryCheckInterval) {
		now := time.Now()
		registers := !now.Before(registersAt) && gr.Preferred(registryTask, registeredDaemons)
		rg.check(ctx, now, registers, len(gr.Members()) == 0)
	}
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	rg.remove(ending)
}

// check registers this daemon, or removes its registration, and reads the others', as is due.
// registers reports whether it is one of those that register, lonely whether it knows no other
// daemon.
func (rg *Registry) check(ctx context.Context, now time.Time, registers, lonely bool) {
	if registers && !now.Before(rg.renewAt) {
		rg.lease = rg.renew(ctx, rg.lease)
		rg.renewAt = now.Add(registryRenewInterval)
	}
	if !registers {
		rg.remove(ctx)
	}
	if !lonely {
		rg.lonelyReads = 0
	}
	if (registers || lonely) && !now.Before(rg.readAt) {
		rg.read(ctx)
		rg.readAt = now.Add(registryReadInterval)
		if lonely {
			rg.readAt = now.Add(min(maxLonelyReadInterval, registryCheckInterval<<min(rg.lonelyReads, 8)))
			rg.lonelyReads++
		}
	}
}

// remove removes this daemon's registration, if it has one.
func (rg *Registry) remove(ctx context.Context) {
	if rg.lease.IsZero() {
		return
	}
	if err := rg.store.Revoke(ctx, rg.lease); err != nil {
		rg.log.Debug(event.StoreUnreachable, err, event.Fields{"entry": rg.prefix})
	}
	rg.lease, rg.renewAt = store.LeaseID{}, time.Time{}
}

// renew renews the lease, or writes the registration under a new lease if the old
// one has expired. It returns the lease in use, or none.
func (rg *Registry) renew(ctx context.Context, lease store.LeaseID) store.LeaseID {
	if !lease.IsZero() {
		alive, err := rg.store.KeepAlive(ctx, lease)
		if err != nil {
			rg.log.Debug(event.StoreUnreachable, err, event.Fields{"entry": rg.prefix})
			return lease
		}
		if alive {
			return lease
		}
	}
	lease, err := rg.store.Grant(ctx, registryLease)
	if err == nil {
		err = rg.write(ctx, lease)
	}
	if err != nil {
		rg.log.Debug(event.StoreUnreachable, err, event.Fields{"entry": rg.prefix})
		return store.LeaseID{}
	}
	return lease
}

func (rg *Registry) write(ctx context.Context, lease store.LeaseID) error {
	value, err := proto.Marshal(rg.self)
	if err != nil {
		return err
	}
	// The write is idempotent, so it does not matter if its response is lost.
	_, err = rg.store.Apply(ctx, store.Commit{Puts: []store.Put{{Key: rg.prefix + store.Key(rg.self.GetVm()), Value: value, Lease: lease}}})
	return err
}

func (rg *Registry) read(ctx context.Context) {
	// Registrations live on far longer than a stale answer is behind.
	pa, err := rg.store.RangeStale(ctx, rg.prefix)
	if err != nil {
		rg.log.Debug(event.StoreUnreachable, err, event.Fields{"prefix": rg.prefix})
		return
	}
	var addresses []string
	for _, kv := range pa.KeyValues {
		var me rpc.Member
		if err := proto.Unmarshal(kv.Value, &me); err != nil {
			rg.log.Warn(event.PolicyRecordUnusable, err, event.Fields{"key": kv.Key})
			continue
		}
		addresses = append(addresses, me.GetPeerAddress())
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.addresses = addresses
}
