package testsite

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/tidwall/sjson"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/setting"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/worker"
)

// The address of the store of the users' platform, and the names in the configuration
// that the operator writes there by default. EngineRoute, UnsafeRoute and SafeRoute are
// path prefixes under RouteHost. SmallModel and LargeModel are the models, called sizes
// in the configuration, that EngineRoute may use.
const (
	KVAddress      = "10.8.0.1:80"
	RouteHost      = "drawers.example"
	EngineRoute    = "/notes/"
	UnsafeRoute    = "/loans/"
	SafeRoute      = "/places/"
	EngineService  = "scribes"
	PlainService   = "desk"
	Tenant         = "survey"
	SmallModel     = "small"
	LargeModel     = "large"
	initialRelease = "v1"
)

// RouterOptions describe a RouterSite.
type RouterOptions struct {
	// WatchProgress is the routers' setting of that name; 1.4 s if it is zero, as in
	// deploy/router.ini.
	WatchProgress time.Duration
	Routers       int
	// Engines and Plains are the numbers of replicas of EngineService and
	// PlainService.
	Engines, Plains int
	// Engine and Plain are the options of these replicas. If Engine.Events is 0, a
	// default replaces Engine.
	Engine standin.ReplicaOptions
	Plain  standin.ReplicaOptions
	// Unconfigured starts the site without a configuration in the store.
	Unconfigured bool
	// Domains is the number of failure domains among which the routers are spread, one if it
	// is 0.
	Domains int
	// ReplicaDomains is the number of failure domains among which the replicas of each service
	// are spread in turn, one if it is 0.
	ReplicaDomains int
	// Log writes the routers' logs to standard error.
	Log bool
}

const defaultWatchProgress = 1400 * time.Millisecond

// RouterSite runs routers, the replicas to which they forward requests, and the store
// of the users' platform, in one process.
type RouterSite struct {
	tb    testing.TB
	opt   RouterOptions
	Net   *Network
	Store *standin.Store
	// Replicas are by ReplicaID, Routers by number.
	Replicas map[string]*standin.Replica
	Routers  map[int]*router.Daemon
	servers  *servers
	group    *worker.Group
	dir      string
	// mu guards registered, the newest registrations of replicas. No other lock is taken while it
	// is held.
	mu         sync.Mutex
	registered map[string]registration
	// version is that of the configuration that was written last.
	version int64
}

// NewRouterSite starts a site and, unless it is unconfigured, blocks until every
// router is ready. Close stops it.
func NewRouterSite(tb testing.TB, opt RouterOptions) *RouterSite {
	gin.SetMode(gin.ReleaseMode)
	if opt.Engine.Events == 0 {
		opt.Engine = standin.ReplicaOptions{
			Events: 5, Gap: 20 * time.Millisecond, Delay: 20 * time.Millisecond,
			Confidence: map[string]string{SmallModel: "90", LargeModel: "95"},
		}
	}
	rs := &RouterSite{
		tb: tb, opt: opt, Net: NewNetwork(), Store: standin.NewStore(), Replicas: map[string]*standin.Replica{},
		Routers: map[int]*router.Daemon{}, group: worker.NewGroup(), dir: tb.TempDir(),
		registered: map[string]registration{},
	}
	rs.servers = &servers{tb: tb, net: rs.Net, group: rs.group}
	rs.Serve("kv", KVAddress, rs.Store.KVHandler())
	rs.group.Every(100*time.Millisecond, func(context.Context) { rs.Store.ExpireLeases() })
	for n := 1; n <= opt.Engines; n++ {
		rs.AddReplica(EngineService, n, initialRelease)
	}
	for n := 1; n <= opt.Plains; n++ {
		rs.AddReplica(PlainService, n, initialRelease)
	}
	if !opt.Unconfigured {
		rs.Configure(nil)
	}
	for n := 1; n <= opt.Routers; n++ {
		rs.StartRouter(n)
	}
	if !opt.Unconfigured {
		rs.Eventually(5*time.Second, "every router is ready", rs.AllReady)
	}
	return rs
}

// Serve serves a stand-in at an address, on the host ho, until Close.
func (rs *RouterSite) Serve(ho Host, address string, ha http.Handler) {
	rs.servers.serve(ho, address, ha)
}

// ReplicaID returns the id of replica N of a service and release.
func ReplicaID(service string, n int, release string) string {
	return fmt.Sprintf("i-%s-%d-%s", service, n, release)
}

// ReplicaAddress returns the address at which a replica listens. Services whose names
// are of one length share their addresses, and so do releases such as v1 and v10, for
// which the length plus the last byte is the same.
func ReplicaAddress(service string, n int, release string) string {
	return fmt.Sprintf("10.%d.%d.%d:80", 20+len(service), len(release)+int(release[len(release)-1]), n)
}

// AddReplica starts replica N of a service and release, and registers it as ready.
func (rs *RouterSite) AddReplica(service string, n int, release string) *standin.Replica {
	opt := rs.opt.Plain
	if service == EngineService {
		opt = rs.opt.Engine
	}
	opt.ID = ReplicaID(service, n, release)
	opt.OnCrash = func() { rs.CrashReplica(service, n, release) }
	re := standin.NewReplica(opt)
	rs.Replicas[opt.ID] = re
	rs.Serve(Host(opt.ID), ReplicaAddress(service, n, release), re.Handler())
	rs.Register(service, n, release, "ready")
	return re
}

// crashedFor is how long a replica that crashed is away.
const crashedFor = 3 * time.Second

// CrashReplica closes all connections of a replica at once, as a crash does, and starts
// it again after crashedFor, with its ID and another time of birth.
func (rs *RouterSite) CrashReplica(service string, n int, release string) {
	id := ReplicaID(service, n, release)
	rs.Net.Kill(Host(id))
	rs.group.Go(func(ctx context.Context) {
		if worker.Sleep(ctx, crashedFor) {
			rs.Net.Revive(Host(id))
			rs.Replicas[id].Restart()
			rs.Serve(Host(id), ReplicaAddress(service, n, release), rs.Replicas[id].Handler())
			rs.RestartReplica(service, n, release)
		}
	})
}

// RestartReplica registers a replica as a new run: with its ID and another time of birth.
func (rs *RouterSite) RestartReplica(service string, n int, release string) {
	rs.mu.Lock()
	delete(rs.registered, ReplicaID(service, n, release))
	rs.mu.Unlock()
	rs.Register(service, n, release, "ready")
}

// registration is what changes in the registrations of one incarnation of a replica.
type registration struct {
	bornAt   time.Time
	sequence int
}

// nextRegistration returns the next registration of a replica. The first one after a
// start has the time as its time of birth.
func (rs *RouterSite) nextRegistration(id string) registration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	re, ok := rs.registered[id]
	if !ok {
		re.bornAt = time.Now()
	}
	re.sequence++
	rs.registered[id] = re
	return re
}

// Register writes a replica's registration to the store, with a state such as "ready"
// or "draining".
func (rs *RouterSite) Register(service string, n int, release, state string) {
	rs.register(service, n, release, state, 0)
}

func (rs *RouterSite) register(service string, n int, release, state string, coldFor time.Duration) {
	re := rs.nextRegistration(ReplicaID(service, n, release))
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":%q,"cold_remaining_ms":%d,"sequence":%d,"born":%d`,
		service, ReplicaAddress(service, n, release), rs.ReplicaDomain(n), release, state, coldFor.Milliseconds(), re.sequence, re.bornAt.UnixMilli())
	if service == EngineService {
		text += `,"models":[{"name":"small","version":1},{"name":"large","version":1}]`
	}
	rs.Store.Write("servers/"+ReplicaID(service, n, release), []byte(text+"}"))
}

// Unregister deletes a replica's registration. The replica continues to run.
func (rs *RouterSite) Unregister(service string, n int, release string) {
	rs.Store.Write("servers/"+ReplicaID(service, n, release), nil)
}

// Configure writes the default configuration, with the modifications of change if it
// is not nil, as the operator and under a new version.
func (rs *RouterSite) Configure(change func(co *Configuration)) {
	rs.version++
	co := defaultConfiguration()
	co.Version = rs.version
	if change != nil {
		change(co)
	}
	out, err := json.Marshal(co)
	if err != nil {
		rs.tb.Fatal(err)
	}
	rs.Store.Write("op/config", out)
}

// OrderRollout writes the operator's order to roll out a release. limit is the time
// allowed for it.
func (rs *RouterSite) OrderRollout(service, release string, limit time.Duration) {
	rs.Store.Write("op/rollout/"+service, fmt.Appendf(nil, `{"service":%q,"target":%q,"duration_s":%g}`, service, release, limit.Seconds()))
}

// RolloutState returns the state of a service's roll-out that the routers report in
// the store, or "" without a report.
func (rs *RouterSite) RolloutState(service string) string {
	var status struct {
		State string `json:"state"`
	}
	if json.Unmarshal(rs.Store.Value("status/rollout/"+service), &status) != nil {
		return ""
	}
	return status.State
}

// RouterName returns the name and host of router-N.
func RouterName(n int) string { return fmt.Sprintf("router-%d", n) }

// RouterAddress returns the address of a port of router-N. Routers listen at port 80
// for callers, 81 for readiness, 82 for the directory, 83 for peers and 84 for admin.
func RouterAddress(n, port int) string { return fmt.Sprintf("10.9.%d.%d:%d", n/250, n%250, port) }

// StartRouter starts router-N, or starts it again after KillRouter.
func (rs *RouterSite) StartRouter(n int) {
	rs.tb.Helper()
	ho := Host(RouterName(n))
	rs.Net.Revive(ho)
	text := fmt.Sprintf("[vm]\nid = %s\nsite = s\nfailure_domain = zone-%c\n[listen]\ncallers = %s\nreadiness = %s\ndirectory = %s\npeers = %s\nadmin = %s\n"+
		"[store]\nurls = http://%s\nwatch_progress = %s\n[peers]\nshared_key = key-of-the-test-site\nfanout = 1\nfailed_after = 2500ms\nseeds = %s\n[serving]\nretry_ratio = 0.9\nretry_slack = 80\n",
		RouterName(n), 'a'+n%max(1, rs.opt.Domains), RouterAddress(n, 80), RouterAddress(n, 81), RouterAddress(n, 82), RouterAddress(n, 83), RouterAddress(n, 84),
		KVAddress, cmp.Or(rs.opt.WatchProgress, defaultWatchProgress), RouterAddress(1, 83))
	file := filepath.Join(rs.dir, RouterName(n)+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		rs.tb.Fatal(err)
	}
	set := &rpc.RouterSettings{}
	if err := setting.Load(file, set); err != nil {
		rs.tb.Fatal(err)
	}
	lo := event.NewLog(io.Discard, &rpc.LogSection{Level: "error"}, RouterName(n))
	if rs.opt.Log {
		lo = event.NewLog(os.Stderr, &rpc.LogSection{Level: "debug"}, RouterName(n))
	}
	da, err := router.New(set, rs.Net.ForHost(ho), lo)
	if err != nil {
		rs.tb.Fatal(err)
	}
	if err := da.Start(); err != nil {
		rs.tb.Fatal(err)
	}
	rs.Routers[n] = da
}

// KillRouter closes all connections of router-N at once, as a crash does, and then stops
// it with a grace period of a second.
func (rs *RouterSite) KillRouter(n int) {
	rs.Net.Kill(Host(RouterName(n)))
	da := rs.Routers[n]
	delete(rs.Routers, n)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	da.Close(ctx)
}

// Client returns an HTTP client on the host "caller". It does not reuse connections.
func (rs *RouterSite) Client() *http.Client { return rs.Net.ForHost("caller").UnpooledClient() }

// Ready reports whether router-N answers that it is ready.
func (rs *RouterSite) Ready(n int) bool {
	rq, err := http.NewRequest(http.MethodGet, "http://"+RouterAddress(n, 81)+"/v1/ready", nil)
	if err != nil {
		rs.tb.Fatal(err)
	}
	res, err := rs.Client().Do(rq)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AllReady reports whether every router with which the site was started is ready.
func (rs *RouterSite) AllReady() bool {
	for n := 1; n <= rs.opt.Routers; n++ {
		if !rs.Ready(n) {
			return false
		}
	}
	return true
}

// Eventually blocks until a condition holds and returns how long that took. It fails
// the test, with what as the name of the condition, if it does not hold within limit.
func (rs *RouterSite) Eventually(limit time.Duration, what string, holds func() bool) time.Duration {
	rs.tb.Helper()
	return eventually(rs.tb, limit, what, holds)
}

// Close stops the site.
func (rs *RouterSite) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, da := range rs.Routers {
		da.Close(ctx)
	}
	rs.servers.close()
}

// RestoreStore takes the store down, and brings it back from a copy after a time.
func (rs *RouterSite) RestoreStore(co standin.StoreCopy, away time.Duration) {
	rs.Store.SetFaults(standin.Faults{Down: true})
	time.Sleep(away)
	rs.Store.Restore(co)
	rs.Store.SetFaults(standin.Faults{})
}

// ConfigureNumber writes the default configuration with one number of it, at a path such as
// routes.0.timeout_ms, replaced by a JSON text, and with one more key of the tenant.
func (rs *RouterSite) ConfigureNumber(path, text, key string) {
	rs.version++
	co := defaultConfiguration()
	co.Version = rs.version
	co.Tenants[0].APIKeys = append(co.Tenants[0].APIKeys, key)
	out, err := json.Marshal(co)
	if err != nil {
		rs.tb.Fatal(err)
	}
	if out, err = sjson.SetRawBytes(out, path, []byte(text)); err != nil {
		rs.tb.Fatal(err)
	}
	rs.Store.Write("op/config", out)
}
