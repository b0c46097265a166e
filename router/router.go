// Package router implements the daemon that forwards the requests of routes to
// endpoints on the users' platform, one process on each VM. The process serves
// callers, tells them which routers to connect to (directory), and carries out
// the control actions of roll-outs under a lease.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admin"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/directory"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/platform"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quarantine"
	"tanagerpoint.example/tanager/relay"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/session"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

const (
	publishInterval = 400 * time.Millisecond
	rolloutInterval = 300 * time.Millisecond
	idleInterval    = time.Second
	// pinReplicationInterval is how often pins are sent to routers that have become
	// their holders.
	pinReplicationInterval = time.Second
	// batchDelay is how long the watch pauses after an answer with changes, so
	// that changes made close together arrive in one answer of the store: each
	// call to the store is paid for.
	batchDelay = 400 * time.Millisecond
	// endpointProgressTimeout is how long an endpoint may send nothing during an
	// answer when its route sets no limit.
	endpointProgressTimeout = 2 * time.Second
)

// Daemon is one router process. Its components are safe for concurrent use;
// each documents its own lock.
type Daemon struct {
	settings *rpc.RouterSettings
	network  network.Network
	log      *event.Log
	metrics  *metric.Metrics
	group    *worker.Group
	store    *platform.Store
	layout   *platform.Layout
	holder   *configuration.Holder
	watcher  *configuration.Watcher
	follower *configuration.Follower
	peers    *peer.Group
	registry *peer.Registry
	pins     *session.Pins
	// barred holds the prompt parts and the requests in quarantine.
	barred *quarantine.List
	paths  *endpoint.Paths
	client *endpoint.Client
	relay  *relay.Router
	sums   *peer.Aggregator
	leases *lease.Manager
	idle   *network.IdleConns
	// guard bounds what the connections of all listeners take, connections counts that.
	guard       *network.Guard
	connections *network.ConnBudget
	// bodies is the memory of the bodies of requests.
	bodies *limit.Memory[string]
	// dueSince is when this router first saw that a roll-out has an action due.
	// Only the goroutine of advanceRollouts uses it.
	dueSince map[policy.RolloutID]time.Time
	// repeatAt is when this router attempts again an action whose result the store
	// has. Only the goroutine of advanceRollouts uses it.
	repeatAt map[doneAction]time.Time
	callers  *callerConns
	servers  []*http.Server
}

// New returns a daemon that does not serve yet; Start starts it.
func New(rs *rpc.RouterSettings, ne network.Network, lo *event.Log) (*Daemon, error) {
	me, err := metric.New()
	if err != nil {
		return nil, eris.Wrap(err, "router.New")
	}
	da := &Daemon{settings: rs, network: ne, log: lo, metrics: me, group: worker.NewGroup(), idle: network.NewIdleConns(), dueSince: map[policy.RolloutID]time.Time{}, repeatAt: map[doneAction]time.Time{}}
	da.callers = &callerConns{idle: da.idle}
	prefix := store.Key(rs.GetStore().GetPrefix())
	da.store = platform.NewStore(store.OptionsOf(rs.GetStore(), ne.Dial), lo)
	da.layout = platform.NewLayout(lo)
	da.holder = configuration.NewHolder(lo)
	da.watcher = configuration.NewWatcher(da.layout, da.store, da.holder, lo)
	opt := da.peerOptions()
	da.peers = peer.NewGroup(opt, da.holder, ne, lo)
	da.watcher.SetBatchDelay(func() time.Duration { return batchDelay })
	da.follower = configuration.NewFollower(da.peers, da.holder, peer.StoreWatchers, opt.MaxPassedAge, lo)
	da.watcher.SetFollower(da.follower)
	da.registry = peer.NewRegistry(prefix, da.store, opt.Self, lo)
	da.pins = session.NewPins(da.peers, relay.PinTTL)
	da.paths = endpoint.NewPaths(ne)
	da.barred = quarantine.NewList(da.peers, da.holder, &quarantineRecorder{store: da.store, layout: da.layout}, da.prober(), lo)
	da.client = endpoint.NewClient(ne, endpointProgressTimeout)
	da.leases = lease.NewManager(prefix, da.store, string(da.peers.Incarnation()), rs.GetRollout().GetLease().AsDuration(), lo)
	da.relay = relay.New(
		relay.Options{Dialect: platform.Dialect{}, Serving: rs.GetServing(), Rollout: rs.GetRollout()},
		relay.Dependencies{Holder: da.holder, Client: da.client, Paths: da.paths, Peers: da.peers, Pins: da.pins, Quarantine: da.barred, Log: lo, Metrics: me},
	)
	da.bodies = limit.NewMemory[string](da.relay.MaxHeldBytes())
	da.guard = da.newGuard()
	da.sums = peer.NewAggregator(da.peers, da.relay.Sums, da.relay.ApplySums)
	return da, eris.Wrap(da.addGauges(), "router.New")
}

func (da *Daemon) prober() endpointProber { return endpointProber{paths: da.paths, peers: da.peers} }

func (da *Daemon) peerOptions() peer.Options {
	rs := da.settings
	ps, ls := rs.GetPeers(), rs.GetListen()
	return peer.Options{
		Self: &rpc.Member{
			Vm: rs.GetVm().GetId(), Role: peer.RoleRouter, FailureDomain: rs.GetVm().GetFailureDomain(),
			PeerAddress: ls.GetPeers(), AdminAddress: ls.GetAdmin(), CallersAddress: ls.GetCallers(), LinkMbps: rs.GetServing().GetLinkMbps(),
			PolicyForm: int64(policy.NewestForm),
		},
		SharedKey: ps.GetSharedKey(), Interval: ps.GetInterval().AsDuration(), Fanout: int(ps.GetFanout()),
		FailedAfter: ps.GetFailedAfter().AsDuration(), Seeds: ps.GetSeeds(),
		// da.registry is not set yet: it is created with these options' Self.
		PeerAddresses: func() []string { return da.registry.Addresses() },
		Describe:      da.describe,
		StoreAnswered: func() time.Time { return da.follower.WatcherAnswered() },
		MaxPassedAge:  configuration.MaxPassedAge(rs.GetStore().GetWatchProgress().AsDuration()),
		StoreLost:     func() <-chan struct{} { return da.follower.StoreLost() },
	}
}

// describe sets the fields of this router's member record that change while it
// runs: whether it drains, to which services' endpoints it has no path and, unless
// the group is large, its requests in flight. In a large group the peers' knowledge of
// them would be out of date.
func (da *Daemon) describe(me *rpc.Member) {
	me.Draining = !da.relay.Ready()
	me.PathLost = da.relay.PathLost()
	if !me.GetPathLost() {
		for _, id := range da.relay.LostServices() {
			me.LostServices = append(me.LostServices, string(id))
		}
	}
	if !da.peers.Large() {
		me.InFlight = da.relay.InFlight()
	}
}

// HeldBytes returns the memory that answers of endpoints and bodies of requests hold.
func (da *Daemon) HeldBytes() int64 { return da.relay.HeldBytes() + da.bodies.Held() }

// Start opens the listeners and starts the background goroutines.
func (da *Daemon) Start() error {
	ls := da.settings.GetListen()
	for _, sv := range []struct {
		address string
		handler http.Handler
	}{
		{ls.GetPeers(), peer.NewServer(da.peers, nil, da.pins).WithCrashes(da.barred).WithEndpoints(da.prober()).WithLoads(da.sums).WithCarrier(http.HandlerFunc(da.relay.Carry)).Handler()},
		{ls.GetAdmin(), admin.NewRouter(da.holder, da.metrics, da.Dump, nil)},
		{ls.GetReadiness(), platform.NewReadinessHandler(da.relay.Ready)},
		{ls.GetDirectory(), platform.NewDirectoryHandler(da.addresses, da.settings.GetServing().GetAddressKeep().AsDuration)},
	} {
		if err := da.serve(sv.address, sv.handler, da.idle.Track(da.guard.Track(network.OtherConn, da.network)), da.idle.ConnState); err != nil {
			return eris.Wrap(err, "Daemon.Start")
		}
	}
	callers := platform.NewCallerHandler(da.relay, da.holder, da.bodies)
	if err := da.serve(ls.GetCallers(), callers, da.callers.track(da.guard.Track(network.CallerConn, da.network)), da.callers.connState); err != nil {
		return eris.Wrap(err, "Daemon.Start")
	}
	da.group.Go(da.watcher.Run)
	da.group.Go(da.peers.Run)
	da.group.Go(func(ctx context.Context) { da.registry.Run(ctx, da.peers) })
	da.group.Go(da.sums.Run)
	da.group.Go(da.relay.Run)
	da.group.Go(da.watchPath)
	da.group.Go(da.relay.PinSessions)
	da.group.Go(func(ctx context.Context) { da.pins.Run(ctx, pinReplicationInterval) })
	da.group.Go(da.barred.Run)
	da.group.Go(da.exchange)
	da.group.Every(rolloutInterval, da.advanceRollouts)
	da.group.Every(idleInterval, da.maintainConnections)
	da.log.Info(event.Started, event.Fields{"incarnation": da.peers.Incarnation(), "callers": ls.GetCallers()})
	return nil
}

func (da *Daemon) serve(address string, ha http.Handler, ne network.Network, connState func(net.Conn, http.ConnState)) error {
	se := da.settings.GetServing()
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: se.GetHeadTimeout().AsDuration(), MaxHeaderBytes: int(se.GetMaxHeadBytes()), ConnState: da.guarded(connState)}
	da.guard.Bind(sv)
	da.servers = append(da.servers, sv)
	return ne.Serve(da.group, address, sv, func(err error) { da.listenerFailed(address, err) })
}

// watchPath watches the path to the endpoints, and tells peers of its changes, until ctx ends.
func (da *Daemon) watchPath(ctx context.Context) {
	da.relay.WatchPaths(ctx, func() { da.group.Go(da.peers.Announce) })
}

// exchange publishes this router's load and release health to its peers, and
// applies what they have published, until ctx ends.
func (da *Daemon) exchange(ctx context.Context) {
	for {
		da.relay.Publish()
		da.relay.Refresh()
		if !worker.Sleep(ctx, da.peers.ScaleInterval(publishInterval)) {
			return
		}
	}
}

// maintainConnections ends the connections that have been idle for too long, and cuts slow readers.
func (da *Daemon) maintainConnections(context.Context) {
	now := time.Now()
	da.idle.End(now.Add(-da.holder.Set().SiteLimits().IdleTimeout()))
	da.cutSlowReaders(now)
}

// addresses returns the addresses of the routers that callers in a failure
// domain should connect to. Routers read no VM list, so no VM counts as leaving.
func (da *Daemon) addresses(domain policy.FailureDomain) []directory.Address {
	cas := []directory.Candidate{{
		VM: da.peers.VM(), Address: da.settings.GetListen().GetCallers(), FailureDomain: da.peers.FailureDomain(),
		Draining: !da.relay.Ready(), PathLost: da.relay.PathLost(), InFlight: da.relay.InFlight(),
	}}
	for _, mb := range da.peers.Entries() {
		cas = append(cas, directory.Candidate{VM: mb.VM, Address: mb.CallersAddress, FailureDomain: mb.FailureDomain, Draining: mb.Draining, PathLost: mb.PathLost, InFlight: mb.InFlight})
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return directory.Select(cas, func(vm.ID) bool { return false }, domain, rng)
}

// Close stops the daemon and blocks until its goroutines have returned.
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

// Reload implements command.Reloader. It applies the serving and roll-out
// settings; changes to listeners, the store's address and the peers' seeds take
// effect only at the next start.
func (da *Daemon) Reload(rs *rpc.RouterSettings) {
	da.relay.SetOptions(relay.Options{Dialect: platform.Dialect{}, Serving: rs.GetServing(), Rollout: rs.GetRollout()})
}

// State is the router's state as served in its dump.
type State struct {
	VM             vm.ID            `json:"vm"`
	Incarnation    peer.Incarnation `json:"incarnation"`
	PolicyRevision store.Revision   `json:"policy_revision"`
	StoreAnswered  time.Time        `json:"store_answered"`
	// StoreWatch says why this router watches the store, or that it follows peers.
	StoreWatch configuration.WatchReason `json:"store_watch"`
	// WatchRank is this router's place, from 0, in the order in which the routers are to watch it.
	WatchRank int           `json:"watch_rank"`
	Ready     bool          `json:"ready"`
	InFlight  int64         `json:"in_flight"`
	Members   []peer.Member `json:"members"`
	Tasks     []lease.Hold  `json:"tasks"`
	Relay     relay.State   `json:"relay"`
	// Quarantined holds the prompt parts, and QuarantinedRequests the fingerprints of the
	// requests, that this router refuses.
	Quarantined         []policy.PromptPartID `json:"quarantined"`
	QuarantinedRequests []policy.Fingerprint  `json:"quarantined_requests"`
}

// Dump returns the router's state as a State.
func (da *Daemon) Dump() any {
	rank, _ := da.peers.WatchRank()
	st := State{
		WatchRank: rank, VM: da.peers.VM(), Incarnation: da.peers.Incarnation(), PolicyRevision: da.holder.Set().Revision,
		StoreAnswered: da.watcher.LastAnswer(), StoreWatch: da.follower.Reason(), Ready: da.relay.Ready(), InFlight: da.relay.InFlight(),
		Members: da.peers.Members(), Tasks: da.leases.List(), Relay: da.relay.State(),
	}
	for _, su := range da.barred.Subjects(time.Now()) {
		if su.Request != "" {
			st.QuarantinedRequests = append(st.QuarantinedRequests, su.Request)
		} else {
			st.Quarantined = append(st.Quarantined, su.Part)
		}
	}
	return st
}

func (da *Daemon) addGauges() error {
	me, ca := da.metrics, &da.store.Calls
	err := me.Gauge("tanager_in_flight", "Requests in service.", func() float64 { return float64(da.relay.InFlight()) })
	if err == nil {
		err = me.Gauge("tanager_policy_revision", "Policy revision in force.", func() float64 { return float64(da.holder.Set().Revision.Number()) })
	}
	if err == nil {
		err = me.Gauge("tanager_store_era", "How often the store has come back from an older copy.", func() float64 { return float64(da.store.Era()) })
	}
	if err == nil {
		err = me.Gauge("tanager_policy_age_seconds", "Time since the policy was known to be the newest.", func() float64 {
			return time.Since(da.holder.Evidence()).Seconds()
		})
	}
	if err == nil {
		err = me.Gauge("tanager_held_bytes", "Memory that unfinished answers and bodies of requests hold.", func() float64 { return float64(da.HeldBytes()) })
	}
	if err == nil {
		err = me.Gauge("tanager_log_lines_dropped", "Log lines that found no room.", func() float64 { return float64(da.log.Dropped()) })
	}
	if err == nil {
		err = me.GaugeBy("tanager_waiting", "Requests that wait for a place at an endpoint, by rank.", metric.KeyRank, da.relay.Waiting)
	}
	if err == nil {
		err = da.addPathGauges()
	}
	if err == nil {
		err = da.addConnectionGauges()
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

func (da *Daemon) addPathGauges() error {
	err := da.metrics.Gauge("tanager_path_lost", "1 while the VM has no path to any endpoint.", func() float64 {
		if da.relay.PathLost() {
			return 1
		}
		return 0
	})
	if err != nil {
		return err
	}
	if err := da.metrics.GaugeBy("tanager_evacuated_running", "Requests of this router that still run in an evacuated failure domain.", "failure_domain", da.relay.EvacuatedRunning); err != nil {
		return err
	}
	return da.metrics.GaugeBy("tanager_carried", "Attempts carried by peers for this router, by it for peers, and not taken.", "kind", da.relay.Carried)
}
