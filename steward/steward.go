// Package steward is the control plane of a site: it advances roll-outs, collects
// ratings, orders engines to load versions, and deletes old history from the store.
// This work is divided into tasks. Each is run by one steward at a time, which holds
// a lease with a fencing token. Entries serve requests without any steward.
package steward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admin"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/lease"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rating"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

const (
	readHeaderTimeout = 5 * time.Second
	// orderTimeout bounds the calls to one engine, and is the longest silence of a
	// connection to it. The shorter ordersRunTimeout bounds all calls of one run.
	orderTimeout = 2 * time.Second
	// preferredStewards is the number of stewards that try to acquire a free task.
	preferredStewards = 2
)

// Daemon is a steward process.
type Daemon struct {
	settings *rpc.StewardSettings
	net      network.Network
	log      *event.Log
	metrics  *metric.Metrics
	group    *worker.Group

	store       *store.Client
	keys        configuration.Keys
	holder      *configuration.Holder
	watcher     *configuration.Watcher
	writer      *configuration.Writer
	vms         *vm.List
	peers       *peer.Group
	leases      *lease.Manager
	client      *endpoint.Client
	ratings     *rating.Client
	loadLimiter *loadLimiter
	tasks       *taskRunner
	servers     []*http.Server
}

// New returns a daemon that is not running yet; Start starts it.
func New(ss *rpc.StewardSettings, ne network.Network, lo *event.Log) (*Daemon, error) {
	me, err := metric.New()
	if err != nil {
		return nil, eris.Wrap(err, "steward.New")
	}
	da := &Daemon{settings: ss, net: ne, log: lo, metrics: me, group: worker.NewGroup()}
	da.store = store.NewClient(store.OptionsOf(ss.GetStore(), ne.Dial))
	da.keys = configuration.Keys{Root: store.Key(ss.GetStore().GetPrefix())}
	da.holder = configuration.NewHolder(lo)
	da.watcher = configuration.NewWatcher(da.keys, da.store, da.holder, lo)
	da.writer = configuration.NewWriter(da.keys, da.store)
	da.vms = vm.NewList(ss.GetPlatform().GetVmListUrl(), ne, lo)
	da.peers = peer.NewGroup(da.peerOptions(), da.holder, ne, lo)
	da.leases = lease.NewManager(da.keys.Root, da.store, string(da.peers.Incarnation()), ss.GetSteward().GetLease().AsDuration(), lo)
	da.client = endpoint.NewClient(ne, orderTimeout)
	if ur := ss.GetPlatform().GetRatingUrl(); ur != "" {
		da.ratings = rating.NewClient(ur, ne)
	}
	da.loadLimiter = newLoadLimiter(ss.GetPlatform().GetWeightsUrl(), ss.GetSteward().GetLoadsPerMinute(), ne)
	da.tasks = newTaskRunner(da)
	return da, nil
}

// peerOptions returns the options of the peer group. The VM list names entries only;
// the addresses of other stewards come from member records that peers pass on.
func (da *Daemon) peerOptions() peer.Options {
	opt := peer.OptionsOf(da.settings, peer.RoleSteward)
	opt.PeerAddresses = da.vms.EntryAddresses
	return opt
}

// Start opens the listeners for peers and operators and starts the daemon's
// goroutines.
func (da *Daemon) Start() error {
	ls := da.settings.GetListen()
	// A steward holds neither copies of bills nor pins.
	peers := peer.NewServer(da.peers, nil, nil)
	if err := da.serve(ls.GetPeers(), peers.Handler()); err != nil {
		return eris.Wrap(err, "Daemon.Start")
	}
	if err := da.serve(ls.GetAdmin(), admin.NewRouter(da.holder, da.metrics, da.Dump, nil)); err != nil {
		return eris.Wrap(err, "Daemon.Start")
	}
	da.group.Go(da.watcher.Run)
	da.group.Go(da.vms.Run)
	da.group.Go(da.peers.Run)
	da.group.Every(da.settings.GetSteward().GetLease().AsDuration()/3, da.leases.Renew)
	da.group.Every(da.settings.GetSteward().GetInterval().AsDuration(), da.tasks.run)
	da.log.Info(event.Started, event.Fields{"incarnation": da.peers.Incarnation()})
	return nil
}

func (da *Daemon) serve(address string, ha http.Handler) error {
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: readHeaderTimeout}
	da.servers = append(da.servers, sv)
	return da.net.Serve(da.group, address, sv, func(err error) {
		da.log.Warn(event.ListenerFailed, err, event.Fields{"address": address})
	})
}

// Drain stops the tasks and releases their leases, so that other stewards can
// acquire them at once.
func (da *Daemon) Drain(ctx context.Context) {
	da.log.Info(event.Draining, nil)
	da.tasks.stop()
	da.leases.Close(ctx)
}

// Close stops the daemon and blocks until its goroutines have returned.
func (da *Daemon) Close(ctx context.Context) {
	for _, sv := range da.servers {
		_ = sv.Close()
	}
	da.group.Close()
	da.leases.Close(ctx)
	if da.ratings != nil {
		da.ratings.Close()
	}
	da.loadLimiter.close()
	da.client.Close()
	da.peers.Close()
	da.vms.Close()
	da.store.Close()
	da.metrics.Close()
	da.log.Info(event.Stopped, nil)
}

// State is the state that Dump returns. It is encoded as JSON.
type State struct {
	VM             vm.ID            `json:"vm"`
	Incarnation    peer.Incarnation `json:"incarnation"`
	PolicyRevision store.Revision   `json:"policy_revision"`
	StoreCalls     int64            `json:"store_calls"`
	Members        []peer.Member    `json:"members"`
	Tasks          []lease.Hold     `json:"tasks"`
}

// Dump returns the steward's State.
func (da *Daemon) Dump() any {
	return State{
		VM: da.peers.VM(), Incarnation: da.peers.Incarnation(), PolicyRevision: da.holder.Set().Revision,
		StoreCalls: da.store.Calls(), Members: da.peers.Members(), Tasks: da.leases.List(),
	}
}

// preferred reports whether this steward is one of the preferredStewards that try to
// acquire a task.
func (da *Daemon) preferred(ta lease.Task) bool {
	return da.peers.Preferred(string(ta), preferredStewards)
}

// failureDomains returns the failure domains that have endpoints, sorted.
func failureDomains(se *policy.Set) []policy.FailureDomain {
	var out []policy.FailureDomain
	for _, en := range se.Endpoints.List() {
		out = append(out, policy.FailureDomain(en.FailureDomain))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
