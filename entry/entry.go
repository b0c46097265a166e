// Package entry implements the daemon of an entry VM. It serves the callers'
// API: it authenticates, admits, routes, retries, streams and bills requests,
// and lists the entries that callers may use.
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
	readBodyTimeout = 15 * time.Second
	// callerWriteTimeout is the longest time that a caller may take to read one
	// event of a stream, or a whole response.
	callerWriteTimeout = 10 * time.Second
	// tickInterval, refreshInterval and publishInterval are the intervals at which
	// the methods of these names are called.
	tickInterval    = 100 * time.Millisecond
	refreshInterval = 300 * time.Millisecond
	publishInterval = 400 * time.Millisecond
	// pinReplicationInterval is the interval at which the session pins are checked,
	// and copied to their new holders if the entries have changed.
	pinReplicationInterval = time.Second
)

// Daemon is one entry process. Its components are safe for concurrent use, and
// each documents its own lock. A component does not call another one while it
// holds its own lock, unless the comment on that lock says so.
type Daemon struct {
	settings *rpc.EntrySettings
	net      network.Network
	log      *event.Log
	metrics  *metric.Metrics
	group    *worker.Group
	started  time.Time

	store        *store.Client
	holder       *configuration.Holder
	watcher      *configuration.Watcher
	vms          *vm.List
	peers        *peer.Group
	client       *endpoint.Client
	tracker      *placement.Tracker
	pools        *pools
	budget       *retry.Budget
	pins         *session.Pins
	signer       *session.Signer
	claimer      *claim.Claimer
	book         *bill.Book
	cascades     *cascades
	rollouts     *rollouts
	ratings      *ratingSubmitter
	explanations *explanations
	orgLimits    *inFlightLimiter
	conns        *connections
	// guard bounds what the connections of all listeners take, connBudget counts that.
	guard      *network.Guard
	connBudget *network.ConnBudget

	draining atomic.Bool
	// isolated is what isIsolated returned at the last tick.
	isolated atomic.Bool
	// inFlight is the number of callers' requests in flight.
	inFlight atomic.Int64
	servers  []*http.Server
}

// New returns a daemon that is not yet started; Start makes it serve.
func New(es *rpc.EntrySettings, ne network.Network, lo *event.Log) (*Daemon, error) {
	me, err := metric.New()
	if err != nil {
		return nil, eris.Wrap(err, "entry.New")
	}
	da := &Daemon{settings: es, net: ne, log: lo, metrics: me, group: worker.NewGroup(), started: time.Now(), conns: newConnections()}
	da.guard = da.newGuard()
	da.initClients()
	da.initServing()
	return da, eris.Wrap(da.addGauges(), "entry.New")
}

// initClients creates the components that communicate with the store, the
// platform, the peers and the endpoints.
func (da *Daemon) initClients() {
	es := da.settings
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

// initServing creates the components that route, retry and account for
// requests. initClients must be called first.
func (da *Daemon) initServing() {
	da.tracker = placement.NewTracker(uint64(time.Now().UnixNano()))
	da.pools = newPools(da)
	da.budget = retry.NewBudget(da.settings.GetServing().GetRetryBudget())
	da.pins = session.NewPins(da.peers, session.EntryPinTTL)
	da.signer = session.NewSigner(da.settings.GetPeers().GetSharedKey())
	da.cascades = newCascades(da.peers)
	da.rollouts = newRollouts(da.peers, da.holder, da.log)
	da.explanations = newExplanations()
	da.orgLimits = newInFlightLimiter()
	if ur := da.settings.GetPlatform().GetRatingUrl(); ur != "" {
		da.ratings = newRatingSubmitter(rating.NewClient(ur, da.net))
	}
}

// peerOptions returns this entry's options in the peer group. The address
// published to callers is callers_public, or that of the callers' listener when
// callers_public is not set.
func (da *Daemon) peerOptions() peer.Options {
	es := da.settings
	public := es.GetListen().GetCallersPublic()
	if public == "" {
		public = es.GetListen().GetCallers()
	}
	opt := peer.OptionsOf(es, peer.RoleEntry)
	opt.Self.CallersAddress = public
	opt.PeerAddresses, opt.Describe = da.vms.EntryAddresses, da.describeMember
	return opt
}

// describeMember sets the fields of this entry's member record that change while
// it runs.
func (da *Daemon) describeMember(me *rpc.Member) {
	me.Draining = da.draining.Load()
	me.InFlight = roundDown(da.inFlight.Load())
}

// roundDown rounds n down to two significant bits, so that the member record
// changes, and is sent to the peers again, less often than once per request.
func roundDown(n int64) int64 {
	if n < 4 {
		return n
	}
	shift := bits.Len64(uint64(n)) - 2
	return n >> shift << shift
}

// Start opens the listeners for peers, operators and callers and starts the
// background goroutines. It returns an error when a listener cannot be opened.
func (da *Daemon) Start() error {
	ls := da.settings.GetListen()
	peers := peer.NewServer(da.peers, da.book, da.pins)
	for _, sv := range []struct {
		address string
		kind    network.ConnKind
		handler http.Handler
	}{
		{ls.GetPeers(), network.OtherConn, peers.Handler()},
		{ls.GetAdmin(), network.OtherConn, admin.NewRouter(da.holder, da.metrics, da.Dump, da.adminRoutes)},
		{ls.GetCallers(), network.CallerConn, da.Handler()},
	} {
		if err := da.serve(sv.address, sv.kind, sv.handler); err != nil {
			return eris.Wrap(err, "Daemon.Start")
		}
	}
	da.group.Go(da.watcher.Run)
	da.group.Go(da.vms.Run)
	da.group.Go(da.peers.Run)
	da.group.Go(func(ctx context.Context) { da.pins.Run(ctx, pinReplicationInterval) })
	da.group.Every(tickInterval, da.tick)
	da.group.Every(refreshInterval, da.refresh)
	da.group.Every(publishInterval, da.publish)
	da.group.Every(slowReaderInterval, da.cutSlowReaders)
	if da.ratings != nil {
		da.group.Go(da.ratings.run)
	}
	da.log.Info(event.Started, event.Fields{"incarnation": da.peers.Incarnation(), "callers": ls.GetCallers()})
	return nil
}

func (da *Daemon) serve(address string, kind network.ConnKind, ha http.Handler) error {
	se := da.settings.GetServing()
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: se.GetHeadTimeout().AsDuration(), MaxHeaderBytes: int(se.GetMaxHeadBytes()), ConnState: da.connState}
	da.guard.Bind(sv)
	da.servers = append(da.servers, sv)
	return da.guard.Track(kind, da.net).Serve(da.group, address, sv, func(err error) {
		da.log.Warn(event.ListenerFailed, err, event.Fields{"address": address})
	})
}

// tick updates the isolation state, and starts or refuses the queued requests that
// are due.
func (da *Daemon) tick(context.Context) {
	da.updateIsolation()
	da.pools.tick()
}

// refresh processes what the other daemons have published: usage, version health
// and rating sums.
func (da *Daemon) refresh(context.Context) {
	da.pools.refresh()
	da.rollouts.refresh()
	da.cascades.refresh(da.holder.Set())
}

// publish sends this entry's usage, and its counts of the answers and failures of
// candidate versions, to the other daemons.
func (da *Daemon) publish(context.Context) {
	da.pools.publish()
	da.rollouts.publish()
}

// Drain is the first phase of a graceful shutdown. It removes this entry from the
// responses of /v1/entries, waits for address_keep, after which callers no longer
// use its address, and then blocks until no request is in flight or ctx is done.
// A second call returns at once.
func (da *Daemon) Drain(ctx context.Context) {
	if da.draining.Swap(true) {
		return
	}
	da.log.Info(event.Draining, event.Fields{"in_flight": da.inFlight.Load()})
	da.peers.Announce(ctx)
	worker.Sleep(ctx, da.settings.GetServing().GetAddressKeep().AsDuration())
	for da.inFlight.Load() > 0 {
		if !worker.Sleep(ctx, tickInterval/2) {
			return
		}
	}
}

// Close stops the daemon. It closes the connections of requests in flight, so a
// graceful shutdown calls Drain first. It seals the remaining bills until ctx is
// done.
func (da *Daemon) Close(ctx context.Context) {
	for _, sv := range da.servers {
		_ = sv.Close()
	}
	da.claimer.Close()
	da.book.Close(ctx)
	da.group.Close()
	if da.ratings != nil {
		da.ratings.client.Close()
	}
	da.client.Close()
	da.peers.Close()
	da.vms.Close()
	da.store.Close()
	da.metrics.Close()
	da.log.Info(event.Stopped, nil)
}

// ApplyPolicy adds records to the policy in force without a store, as if a peer
// had sent them. It sets the policy's revision to the newest one of the records.
func (da *Daemon) ApplyPolicy(records []policy.StoredRecord) {
	newest := store.Revision(0)
	for _, st := range records {
		newest = max(newest, st.ModRevision)
	}
	da.holder.Update(newest, records)
}

// Handler returns the HTTP handler of the callers' API.
func (da *Daemon) Handler() http.Handler {
	en := gin.New()
	en.HandleMethodNotAllowed = true
	en.Use(gin.CustomRecoveryWithWriter(nil, func(co *gin.Context, cause any) {
		da.log.Warn(event.RequestPanicked, eris.Errorf("%v", cause), event.Fields{"stack": string(debug.Stack())})
		abortWithProblem(co, problem{status: http.StatusInternalServerError, code: "internal", ran: RanUnknown, message: "internal error"})
	}))
	en.NoRoute(func(co *gin.Context) {
		abortWithProblem(co, problem{status: http.StatusNotFound, code: "unknown_path", message: "no such path"})
	})
	en.GET("/v1/entries", da.handleEntries)
	ca := en.Group("/", da.limitRequests, da.authenticate)
	ca.POST("/v1/chat/completions", da.handleChat)
	ca.GET("/v1/models", da.handleModels)
	ca.Any("/v1/services/:service/*path", da.handleService)
	return en
}
