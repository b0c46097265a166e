// Package router is the daemon that carries the requests of routes on a VM of
// the users' platform. One process does it all: it serves callers, tells them
// which routers to use, and does the control work of roll-outs under a lease.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admin"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/directory"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/platform"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/relay"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	publishInterval   = 400 * time.Millisecond
	rolloutInterval   = 300 * time.Millisecond
	idleInterval      = time.Second
	// gatherWait lets changes that come together come in one answer of the store:
	// each is paid for. longestGather bounds it in large groups.
	gatherWait    = 400 * time.Millisecond
	longestGather = 1200 * time.Millisecond
	// endpointProgress bounds the silence of endpoints where a route sets nothing.
	endpointProgress = 2 * time.Second
	// listenAfterDrain is how long new requests are still taken once a graceful
	// shutdown began: callers go on using the address for a while.
	listenAfterDrain = 2500 * time.Millisecond
)

// Daemon is one router. Its parts are safe for concurrent use; each states its
// own lock.
type Daemon struct {
	set      *rpc.RouterSettings
	net      network.Network
	log      *event.Log
	metrics  *metric.Metrics
	group    *worker.Group
	store    *platform.Store
	layout   *platform.Layout
	holder   *configuration.Holder
	watcher  *configuration.Watcher
	peers    *peer.Group
	registry *peer.Registry
	client   *endpoint.Client
	relay    *relay.Router
	leases   *lease.Manager
	idle     *idleConnections
	// dueSince is since when actions in roll-outs are due; only control uses it.
	dueSince map[policy.RolloutID]time.Time
	callers  *http.Server
	servers  []*http.Server
}

// New gives a daemon; Start makes it serve.
func New(rs *rpc.RouterSettings, ne network.Network, lo *event.Log) (*Daemon, error) {
	me, err := metric.New()
	if err != nil {
		return nil, eris.Wrap(err, "router.New")
	}
	da := &Daemon{set: rs, net: ne, log: lo, metrics: me, group: worker.NewGroup(), idle: newIdleConnections(), dueSince: map[policy.RolloutID]time.Time{}}
	prefix := store.Key(rs.GetStore().GetPrefix())
	da.store = platform.NewStore(store.OptionsOf(rs.GetStore(), ne.Dial))
	da.layout = platform.NewLayout(lo)
	da.holder = configuration.NewHolder(lo)
	da.watcher = configuration.NewWatcher(da.layout, da.store, da.holder, lo)
	opt := da.peerOptions()
	da.peers = peer.NewGroup(opt, da.holder, ne, lo)
	da.watcher.GatherBy(da.gather)
	da.registry = peer.NewRegistry(prefix, da.store, opt.Self, lo)
	da.client = endpoint.NewClient(ne, endpointProgress)
	da.leases = lease.NewManager(prefix, da.store, string(da.peers.Incarnation()), rs.GetRollout().GetLease().AsDuration(), lo)
	da.relay = relay.New(
		relay.Options{Dialect: platform.Dialect{}, Serving: rs.GetServing(), Rollout: rs.GetRollout()},
		relay.Dependencies{Holder: da.holder, Client: da.client, Peers: da.peers, Log: lo, Metrics: me},
	)
	return da, eris.Wrap(da.addGauges(), "router.New")
}

func (da *Daemon) peerOptions() peer.Options {
	rs := da.set
	ps, ls := rs.GetPeers(), rs.GetListen()
	return peer.Options{
		Self: &rpc.Member{
			Vm: rs.GetVm().GetId(), Role: peer.RoleRouter, FailureDomain: rs.GetVm().GetFailureDomain(),
			PeerAddress: ls.GetPeers(), AdminAddress: ls.GetAdmin(), CallersAddress: ls.GetCallers(),
		},
		SharedKey: ps.GetSharedKey(), Interval: ps.GetInterval().AsDuration(), Fanout: int(ps.GetFanout()),
		FailedAfter: ps.GetFailedAfter().AsDuration(), Seeds: ps.GetSeeds(),
		Listed:   func() []string { return da.registry.Listed() },
		Describe: da.describe,
	}
}

// describe tells the other routers whether this one takes requests.
func (da *Daemon) describe(me *rpc.Member) {
	me.Draining = !da.relay.Ready()
	if !da.peers.Large() {
		me.InFlight = da.relay.InFlight()
	}
}

// Start opens the listeners and starts the daemon's work.
func (da *Daemon) Start() error {
	ls := da.set.GetListen()
	for _, sv := range []struct {
		address string
		handler http.Handler
	}{
		{ls.GetPeers(), peer.NewServer(da.peers, nil, nil).Handler()},
		{ls.GetAdmin(), admin.NewRouter(da.holder, da.metrics, da.Dump, nil)},
		{ls.GetReadiness(), platform.NewReadiness(da.relay.Ready)},
		{ls.GetDirectory(), platform.NewDirectory(da.addresses, da.set.GetServing().GetAddressKeep().AsDuration)},
		{ls.GetCallers(), platform.NewFront(da.relay, da.holder)},
	} {
		if err := da.serve(sv.address, sv.handler); err != nil {
			return eris.Wrap(err, "Daemon.Start")
		}
	}
	da.callers = da.servers[len(da.servers)-1]
	da.group.Go(da.watcher.Run)
	da.group.Go(da.peers.Run)
	da.group.Go(da.registry.Run)
	da.group.Go(da.relay.Run)
	da.group.Go(da.exchange)
	da.group.Every(rolloutInterval, da.control)
	da.group.Every(idleInterval, da.closeIdle)
	da.log.Info(event.Started, event.Fields{"incarnation": da.peers.Incarnation(), "callers": ls.GetCallers()})
	return nil
}

func (da *Daemon) serve(address string, ha http.Handler) error {
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: da.idle.note}
	da.servers = append(da.servers, sv)
	return da.net.Serve(da.group, address, sv, func(err error) {
		da.log.Warn(event.ListenerFailed, err, event.Fields{"address": address})
	})
}

// gather is how long changes of the policy are gathered before the store is
// asked for more.
func (da *Daemon) gather() time.Duration {
	return min(da.peers.Paced(gatherWait), longestGather)
}

// exchange gives and takes the routers' word on their work until ctx ends.
func (da *Daemon) exchange(ctx context.Context) {
	for {
		da.relay.Publish()
		da.relay.Refresh()
		if !worker.Sleep(ctx, da.peers.Paced(publishInterval)) {
			return
		}
	}
}

func (da *Daemon) closeIdle(context.Context) {
	da.idle.closeSince(time.Now().Add(-da.holder.Set().SiteLimits().IdleTimeout()))
}

// addresses lists the routers that callers in a failure domain should use.
func (da *Daemon) addresses(domain policy.FailureDomain) []directory.Address {
	cas := []directory.Candidate{{
		VM: da.peers.VM(), Address: da.set.GetListen().GetCallers(), FailureDomain: da.peers.FailureDomain(),
		Draining: !da.relay.Ready(), InFlight: da.relay.InFlight(),
	}}
	for _, mb := range da.peers.Entries() {
		cas = append(cas, directory.Candidate{VM: mb.VM, Address: mb.CallersAddress, FailureDomain: mb.FailureDomain, Draining: mb.Draining, InFlight: mb.InFlight})
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return directory.Answer(cas, func(vm.ID) bool { return false }, domain, rng)
}

// Drain is a graceful shutdown's first part: the daemon leaves the address
// answers and stops being ready, goes on serving while callers leave, and waits
// until every answer is complete or ctx ends.
func (da *Daemon) Drain(ctx context.Context) {
	da.log.Info(event.Draining, event.Fields{"in_flight": da.relay.InFlight()})
	da.relay.Drain()
	da.peers.Announce(ctx)
	da.leases.Close(ctx)
	worker.Sleep(ctx, listenAfterDrain)
	if err := da.callers.Shutdown(ctx); err != nil {
		da.log.Warn(event.DrainCut, err, event.Fields{"in_flight": da.relay.InFlight()})
	}
}

// Close ends the daemon and waits for its work.
func (da *Daemon) Close(ctx context.Context) {
	for _, sv := range da.servers {
		if err := sv.Close(); err != nil {
			da.log.Debug(event.ListenerFailed, err, nil)
		}
	}
	da.group.Close()
	da.leases.Close(ctx)
	da.client.Close()
	da.peers.Close()
	da.store.Close()
	da.metrics.Close()
	da.log.Info(event.Stopped, nil)
}

// Reload implements command.Reloader. Listeners, the store's place and the
// peers' seeds keep the values of the start.
func (da *Daemon) Reload(rs *rpc.RouterSettings) {
	da.relay.SetOptions(relay.Options{Dialect: platform.Dialect{}, Serving: rs.GetServing(), Rollout: rs.GetRollout()})
}

// State is the router's dump.
type State struct {
	VM             vm.ID            `json:"vm"`
	Incarnation    peer.Incarnation `json:"incarnation"`
	PolicyRevision store.Revision   `json:"policy_revision"`
	StoreAnswered  time.Time        `json:"store_answered"`
	Ready          bool             `json:"ready"`
	InFlight       int64            `json:"in_flight"`
	Members        []peer.Member    `json:"members"`
	Tasks          []lease.Hold     `json:"tasks"`
	Relay          relay.State      `json:"relay"`
}

// Dump gives the router's state.
func (da *Daemon) Dump() any {
	return State{
		VM: da.peers.VM(), Incarnation: da.peers.Incarnation(), PolicyRevision: da.holder.Set().Revision,
		StoreAnswered: da.watcher.Answered(), Ready: da.relay.Ready(), InFlight: da.relay.InFlight(),
		Members: da.peers.Members(), Tasks: da.leases.List(), Relay: da.relay.State(),
	}
}

func (da *Daemon) addGauges() error {
	me, ca := da.metrics, &da.store.Calls
	err := me.Gauge("tanager_in_flight", "Requests in service.", func() float64 { return float64(da.relay.InFlight()) })
	if err == nil {
		err = me.Gauge("tanager_policy_revision", "Policy revision in force.", func() float64 { return float64(da.holder.Set().Revision) })
	}
	if err == nil {
		err = me.Gauge("tanager_policy_age_seconds", "Time since the policy was known to be the newest.", func() float64 {
			return time.Since(da.holder.Evidence()).Seconds()
		})
	}
	if err == nil {
		err = me.Gauge("tanager_log_lines_dropped", "Log lines that found no room.", func() float64 { return float64(da.log.Dropped()) })
	}
	if err == nil {
		err = me.GaugeBy("tanager_store_calls", "Calls to the store by kind.", "kind", func() map[string]float64 {
			return map[string]float64{
				"read": float64(ca.Reads.Load()), "watch": float64(ca.Watches.Load()),
				"commit": float64(ca.Commits.Load()), "lease": float64(ca.Leases.Load()),
			}
		})
	}
	return err
}
