// Package entry serves callers on an entry VM: it authenticates, admits,
// routes, retries, streams and bills their requests, and tells them which
// entries to use.
package entry

import (
	"context"
	"math/bits"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admin"
	"tanagerpoint.example/tanager/bill"
	"tanagerpoint.example/tanager/claim"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rating"
	"tanagerpoint.example/tanager/retry"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/session"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	callerWriteLimit  = 10 * time.Second
	maxHeaderBytes    = 32 << 10
	tickInterval      = 100 * time.Millisecond
	refreshInterval   = 300 * time.Millisecond
	publishInterval   = 400 * time.Millisecond
	pinSpreadInterval = time.Second
)

// Daemon is one entry. Its parts are safe for concurrent use, and each states
// its own lock; no lock of one part is held during a call of another, except
// where a part says so.
type Daemon struct {
	set     *rpc.EntrySettings
	net     network.Network
	log     *event.Log
	metrics *metric.Metrics
	group   *worker.Group
	started time.Time

	store    *store.Client
	holder   *configuration.Holder
	watcher  *configuration.Watcher
	vms      *vm.List
	peers    *peer.Group
	client   *endpoint.Client
	tracker  *placement.Tracker
	pools    *pools
	budget   *retry.Budget
	pins     *session.Pins
	signer   *session.Signer
	claimer  *claim.Claimer
	book     *bill.Book
	cascades *cascades
	rollouts *rollouts
	ratings  *ratingSubmitter
	explains *explains
	orgs     *inFlights
	conns    *connections

	draining atomic.Bool
	isolated atomic.Bool
	inFlight atomic.Int64
	servers  []*http.Server
}

// New gives a daemon; Start makes it serve.
func New(es *rpc.EntrySettings, ne network.Network, lo *event.Log) (*Daemon, error) {
	me, err := metric.New()
	if err != nil {
		return nil, eris.Wrap(err, "entry.New")
	}
	da := &Daemon{set: es, net: ne, log: lo, metrics: me, group: worker.NewGroup(), started: time.Now(), conns: newConnections()}
	da.connect()
	da.decide()
	return da, eris.Wrap(da.addGauges(), "entry.New")
}

// connect makes the parts that reach others.
func (da *Daemon) connect() {
	es := da.set
	da.store = store.NewClient(store.OptionsOf(es.GetStore(), da.net.Dial))
	prefix := store.Key(es.GetStore().GetPrefix())
	da.holder = configuration.NewHolder(da.log)
	da.watcher = configuration.NewWatcher(configuration.Keys{Root: prefix}, da.store, da.holder, da.log)
	da.vms = vm.NewList(es.GetPlatform().GetVmListUrl(), da.net, da.log)
	da.peers = peer.NewGroup(da.peerOptions(), da.holder, da.net, da.log)
	da.client = endpoint.NewClient(da.net, es.GetServing().GetProgress().AsDuration())
	da.claimer = claim.NewClaimer(prefix, da.store, string(da.peers.Incarnation()), da.log)
	da.book = bill.NewBook(bill.Options{
		Prefix: prefix, Copies: int(es.GetBilling().GetCopies()),
		SealEvery:   es.GetBilling().GetSealEvery().AsDuration(),
		MaxUnsealed: int(es.GetBilling().GetMaxUnsealed()),
	}, da.store, da.peers, da.log)
}

// decide makes the parts that hold the decisions.
func (da *Daemon) decide() {
	da.tracker = placement.NewTracker(uint64(time.Now().UnixNano()))
	da.pools = newPools(da)
	da.budget = retry.NewBudget(da.set.GetServing().GetRetryBudget())
	da.pins = session.NewPins(da.peers)
	da.signer = session.NewSigner(da.set.GetPeers().GetSharedKey())
	da.cascades = newCascades(da.peers)
	da.rollouts = newRollouts(da.peers, da.holder, da.log)
	da.explains = newExplains()
	da.orgs = newInFlights()
	if ur := da.set.GetPlatform().GetRatingUrl(); ur != "" {
		da.ratings = newRatingSubmitter(rating.NewService(ur, da.net))
	}
}

func (da *Daemon) peerOptions() peer.Options {
	es := da.set
	public := es.GetListen().GetCallersPublic()
	if public == "" {
		public = es.GetListen().GetCallers()
	}
	opt := peer.OptionsOf(es, peer.RoleEntry)
	opt.Self.CallersAddress = public
	opt.PeerAddresses, opt.Describe = da.vms.EntryAddresses, da.describe
	return opt
}

func (da *Daemon) describe(me *rpc.Member) {
	me.Draining = da.draining.Load()
	me.InFlight = roughly(da.inFlight.Load())
}

// roughly rounds down to two significant bits, so that the members' states
// need not be sent again for every request.
func roughly(n int64) int64 {
	if n < 4 {
		return n
	}
	shift := bits.Len64(uint64(n)) - 2
	return n >> shift << shift
}

// Start opens the listeners and starts the daemon's work.
func (da *Daemon) Start() error {
	ls := da.set.GetListen()
	peers := peer.NewServer(da.peers, da.book, da.pins)
	for _, sv := range []struct {
		address string
		handler http.Handler
	}{
		{ls.GetPeers(), peers.Handler()},
		{ls.GetAdmin(), admin.NewRouter(da.holder, da.metrics, da.Dump, da.adminRoutes)},
		{ls.GetCallers(), da.Handler()},
	} {
		if err := da.serve(sv.address, sv.handler); err != nil {
			return eris.Wrap(err, "Daemon.Start")
		}
	}
	da.group.Go(da.watcher.Run)
	da.group.Go(da.vms.Run)
	da.group.Go(da.peers.Run)
	da.group.Go(func(ctx context.Context) { da.pins.Run(ctx, pinSpreadInterval) })
	da.group.Every(tickInterval, da.tick)
	da.group.Every(refreshInterval, da.refresh)
	da.group.Every(publishInterval, da.publish)
	if da.ratings != nil {
		da.group.Go(da.ratings.run)
	}
	da.log.Info(event.Started, event.Fields{"incarnation": da.peers.Incarnation(), "callers": ls.GetCallers()})
	return nil
}

func (da *Daemon) serve(address string, ha http.Handler) error {
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: da.conns.note}
	da.servers = append(da.servers, sv)
	return da.net.Serve(da.group, address, sv, func(err error) {
		da.log.Warn(event.ListenerFailed, err, event.Fields{"address": address})
	})
}

// tick brings the decisions up to the present.
func (da *Daemon) tick(context.Context) {
	da.noteIsolation()
	da.pools.tick()
}

// refresh processes the reports of the other daemons.
func (da *Daemon) refresh(context.Context) {
	da.pools.refresh()
	da.rollouts.refresh()
	da.cascades.refresh(da.holder.Set())
}

// publish tells the other entries of this one's work.
func (da *Daemon) publish(context.Context) {
	da.pools.publish()
	da.rollouts.publish()
}

// Drain is a graceful shutdown's first part: the daemon leaves the address
// answers, waits until callers have let go of its address, and until every
// request has ended or ctx has.
func (da *Daemon) Drain(ctx context.Context) {
	if da.draining.Swap(true) {
		return
	}
	da.log.Info(event.Draining, event.Fields{"in_flight": da.inFlight.Load()})
	da.peers.Announce(ctx)
	worker.Sleep(ctx, da.set.GetServing().GetAddressKeep().AsDuration())
	for da.inFlight.Load() > 0 {
		if !worker.Sleep(ctx, tickInterval/2) {
			return
		}
	}
}

// Close ends the daemon. Requests still in service are cut off, so Drain comes
// first in a graceful shutdown; bills are sealed until ctx ends.
func (da *Daemon) Close(ctx context.Context) {
	for _, sv := range da.servers {
		_ = sv.Close()
	}
	da.claimer.Close()
	da.book.Close(ctx)
	da.group.Close()
	if da.ratings != nil {
		da.ratings.service.Close()
	}
	da.client.Close()
	da.peers.Close()
	da.vms.Close()
	da.store.Close()
	da.metrics.Close()
	da.log.Info(event.Stopped, nil)
}

// ForcePolicy brings records into force without a store, as a peer's would be.
func (da *Daemon) ForcePolicy(records []policy.Stored) {
	newest := store.Revision(0)
	for _, st := range records {
		newest = max(newest, st.ModRevision)
	}
	da.holder.Update(newest, records)
}

// Handler gives the callers' listener's routes.
func (da *Daemon) Handler() http.Handler {
	en := gin.New()
	en.HandleMethodNotAllowed = true
	en.Use(gin.CustomRecoveryWithWriter(nil, func(co *gin.Context, cause any) {
		da.log.Warn(event.RequestPanicked, eris.Errorf("%v", cause), event.Fields{"stack": string(debug.Stack())})
		refuse(co, problem{status: http.StatusInternalServerError, code: "internal", ran: RanUnknown, message: "internal error"})
	}))
	en.NoRoute(func(co *gin.Context) {
		refuse(co, problem{status: http.StatusNotFound, code: "unknown_path", message: "no such path"})
	})
	en.GET("/v1/entries", da.handleEntries)
	ca := en.Group("/", da.limit, da.authenticate)
	ca.POST("/v1/chat/completions", da.handleChat)
	ca.GET("/v1/models", da.handleModels)
	ca.Any("/v1/services/:service/*path", da.handleService)
	return en
}
