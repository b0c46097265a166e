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
	registryLease         = 10 * time.Second
	registryRenewInterval = registryLease / 3
	// renewalsPerRead is the number of renewals between two reads of the other
	// daemons' registrations. Reads can be rare: once the exchange knows some peers,
	// the registrations only serve to rejoin parts of a partitioned site.
	renewalsPerRead = 9
)

// Registry keeps this daemon's registration in the store and reads those of the
// other daemons, so that peers can be found when no seed is alive. A registration
// is a daemon's member record, stored under a lease.
//
// mu guards addresses. No other lock is taken while it is held.
type Registry struct {
	prefix store.Key
	store  store.Store
	self   *rpc.Member
	log    *event.Log

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

// Run renews the registration until ctx is done and then revokes its lease, which
// removes the registration.
func (rg *Registry) Run(ctx context.Context) {
	var lease store.LeaseID
	for round := 0; ; round++ {
		lease = rg.renew(ctx, lease)
		if round%renewalsPerRead == 0 {
			rg.read(ctx)
		}
		if !worker.Sleep(ctx, registryRenewInterval) {
			break
		}
	}
	if !lease.IsZero() {
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := rg.store.Revoke(ending, lease); err != nil {
			rg.log.Debug(event.StoreUnreachable, err, event.Fields{"entry": rg.prefix})
		}
	}
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
	pa, err := rg.store.Range(ctx, rg.prefix)
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
