// Package steward does the control work: it moves roll-outs, gathers ratings,
// orders engines to load versions, and trims the store. The work is divided
// into tasks, each held by one steward under a lease with a fencing token.
// Entries serve without any steward.
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
	orderTimeout      = 2 * time.Second
	// candidates is how many stewards try for a free task.
	candidates = 2
)

// Daemon is one steward.
type Daemon struct {
	set     *rpc.StewardSettings
	net     network.Network
	log     *event.Log
	metrics *metric.Metrics
	group   *worker.Group

	store   *store.Client
	keys    configuration.Keys
	holder  *configuration.Holder
	watcher *configuration.Watcher
	writer  *configuration.Writer
	vms     *vm.List
	peers   *peer.Group
	leases  *lease.Manager
	client  *endpoint.Client
	ratings *rating.Service
	weights *weights
	work    *tasks
	servers []*http.Server
}

// New gives a daemon; Start makes it work.
func New(ss *rpc.StewardSettings, ne network.Network, lo *event.Log) (*Daemon, error) {
	me, err := metric.New()
	if err != nil {
		return nil, eris.Wrap(err, "steward.New")
	}
	da := &Daemon{set: ss, net: ne, log: lo, metrics: me, group: worker.NewGroup()}
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
		da.ratings = rating.NewService(ur, ne)
	}
	da.weights = newWeights(ss.GetPlatform().GetWeightsUrl(), ss.GetSteward().GetLoadsPerMinute(), ne)
	da.work = newTasks(da)
	return da, nil
}

func (da *Daemon) peerOptions() peer.Options {
	opt := peer.OptionsOf(da.set, peer.RoleSteward)
	opt.PeerAddresses = da.vms.EntryAddresses
	return opt
}

// Start opens the listeners and starts the work.
func (da *Daemon) Start() error {
	ls := da.set.GetListen()
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
	da.group.Every(da.set.GetSteward().GetLease().AsDuration()/3, da.leases.Renew)
	da.group.Every(da.set.GetSteward().GetInterval().AsDuration(), da.work.look)
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

// Drain gives up the tasks, so that other stewards take them at once.
func (da *Daemon) Drain(ctx context.Context) {
	da.log.Info(event.Draining, nil)
	da.work.stop()
	da.leases.Close(ctx)
}

// Close ends the daemon and waits for its work.
func (da *Daemon) Close(ctx context.Context) {
	for _, sv := range da.servers {
		_ = sv.Close()
	}
	da.group.Close()
	da.leases.Close(ctx)
	if da.ratings != nil {
		da.ratings.Close()
	}
	da.weights.close()
	da.client.Close()
	da.peers.Close()
	da.vms.Close()
	da.store.Close()
	da.metrics.Close()
	da.log.Info(event.Stopped, nil)
}

// State is the steward's dump.
type State struct {
	VM             vm.ID            `json:"vm"`
	Incarnation    peer.Incarnation `json:"incarnation"`
	PolicyRevision store.Revision   `json:"policy_revision"`
	StoreCalls     int64            `json:"store_calls"`
	Members        []peer.Member    `json:"members"`
	Tasks          []lease.Hold     `json:"tasks"`
}

// Dump gives the steward's state.
func (da *Daemon) Dump() any {
	return State{
		VM: da.peers.VM(), Incarnation: da.peers.Incarnation(), PolicyRevision: da.holder.Set().Revision,
		StoreCalls: da.store.Calls(), Members: da.peers.Members(), Tasks: da.leases.List(),
	}
}

// preferred tells whether this steward is among the first to try for a task.
func (da *Daemon) preferred(ta lease.Task) bool {
	return da.peers.Preferred(string(ta), candidates)
}

// failureDomains lists the failure domains that have endpoints.
func failureDomains(se *policy.Set) []policy.FailureDomain {
	var out []policy.FailureDomain
	for _, en := range se.Endpoints.List() {
		out = append(out, policy.FailureDomain(en.FailureDomain))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
