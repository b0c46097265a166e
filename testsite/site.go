package testsite

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/setting"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/steward"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/vm"
	"tanagerpoint.example/tanager/worker"
)

// Addresses of the stand-ins for the platform's services.
const (
	StoreAddress   = "10.0.0.1:80"
	VMsAddress     = "10.0.0.2:80"
	RatingAddress  = "10.0.0.3:80"
	WeightsAddress = "10.0.0.4:80"
)

// CallerKey is the API key of organisation "chest", which may use all models and
// services.
const CallerKey = "chest-key"

// RestrictedKey is the API key of organisation "verse", which may use only model "m"
// and rank "standard".
const RestrictedKey = "verse-key"

// OperatorKey is the API key of operator "ops".
const OperatorKey = "ops-key"

// Hosts from which tests send requests: Operator to the store, Caller to entries.
const (
	Operator Host = "operator"
	Caller   Host = "caller"
)

// Options describe a Site.
type Options struct {
	Entries  int
	Stewards int
	// Engines is the number of model engines, Plains that of the endpoints of the
	// service "desk".
	Engines int
	Plains  int
	// Engine holds the options of every engine. If Slots is 0, the options of a fast
	// engine replace it.
	Engine standin.EngineOptions
	// Records are policy records that are added to the base policy. They replace its
	// records of the same kind and id.
	Records []string
	// EntrySettings are lines that are added to the entries' settings files, by
	// section.
	EntrySettings map[string]string
	// VMLag is the time until a change is visible in the VM list.
	VMLag time.Duration
	// Log writes the daemons' logs to standard error.
	Log bool
}

// Site runs entries, stewards, endpoints and the platform's services in one process.
type Site struct {
	tb      testing.TB
	opt     Options
	Net     *Network
	Store   *standin.Store
	VMs     *standin.VMList
	Rating  *standin.Rating
	Weights *standin.Weights
	// The maps hold the processes by name, such as "engine-1", "desk-1", "entry-1" and
	// "steward-1". A killed daemon is in none until it is started again.
	Engines  map[string]*standin.Engine
	Plains   map[string]*standin.Plain
	Entries  map[string]*entry.Daemon
	Stewards map[string]*steward.Daemon
	servers  *servers
	group    *worker.Group
	dir      string
}

// New starts a site and blocks until every entry has the policy and knows the other
// daemons. Close stops it.
func New(tb testing.TB, opt Options) *Site {
	gin.SetMode(gin.ReleaseMode)
	if opt.Engine.Slots == 0 {
		opt.Engine = standin.EngineOptions{Slots: 8, Prefill: 20 * time.Millisecond, TokenInterval: 5 * time.Millisecond, LoadLag: time.Second, CachedPrefixes: 16}
	}
	si := &Site{
		tb: tb, opt: opt, Net: NewNetwork(), Store: standin.NewStore(), VMs: standin.NewVMList(opt.VMLag),
		Rating:  standin.NewRating(time.Second, map[string]float64{"m-1": 0.8, "m-2": 0.8, "large-1": 0.95}),
		Weights: standin.NewWeights(time.Second), Engines: map[string]*standin.Engine{}, Plains: map[string]*standin.Plain{},
		Entries: map[string]*entry.Daemon{}, Stewards: map[string]*steward.Daemon{},
		group: worker.NewGroup(), dir: tb.TempDir(),
	}
	si.servers = &servers{tb: tb, net: si.Net, group: si.group}
	si.Serve("store", StoreAddress, si.Store.Handler())
	si.Serve("vms", VMsAddress, si.VMs.Handler())
	si.Serve("rating", RatingAddress, si.Rating.Handler())
	si.Serve("weights", WeightsAddress, si.Weights.Handler())
	si.group.Every(100*time.Millisecond, func(context.Context) { si.Store.ExpireLeases() })
	si.startEndpoints()
	si.Apply(append(basePolicy(opt), opt.Records...)...)
	for n := 1; n <= opt.Entries; n++ {
		si.StartEntry(n)
	}
	for n := 1; n <= opt.Stewards; n++ {
		si.StartSteward(n)
	}
	si.WaitReady()
	return si
}

// Serve serves a stand-in at an address, on the host ho, until Close.
func (si *Site) Serve(ho Host, address string, ha http.Handler) { si.servers.serve(ho, address, ha) }

// startEndpoints starts the engines and the endpoints of the service "desk". Only the
// engines are in the VM list.
func (si *Site) startEndpoints() {
	for n := 1; n <= si.opt.Engines; n++ {
		id := fmt.Sprintf("engine-%d", n)
		si.Engines[id] = standin.NewEngine(si.opt.Engine)
		si.Serve(Host(id), EngineAddress(n), si.Engines[id].Handler())
		si.VMs.Put(vm.VM{ID: vm.ID(id), Role: vm.RoleEndpoint, State: vm.Live, Address: EngineAddress(n), Endpoint: id})
	}
	for n := 1; n <= si.opt.Plains; n++ {
		id := fmt.Sprintf("desk-%d", n)
		si.Plains[id] = standin.NewPlain(5 * time.Millisecond)
		si.Serve(Host(id), PlainAddress(n), si.Plains[id].Handler())
	}
}

// EngineAddress returns the address of engine-N.
func EngineAddress(n int) string { return fmt.Sprintf("10.1.0.%d:80", n) }

// PlainAddress returns the address of desk-N.
func PlainAddress(n int) string { return fmt.Sprintf("10.2.0.%d:80", n) }

// EntryAddress returns the callers' address of entry-N.
func EntryAddress(n int) string { return fmt.Sprintf("10.3.0.%d:80", n) }

// PeerAddress returns the peers' address of entry-N.
func PeerAddress(n int) string { return fmt.Sprintf("10.3.0.%d:81", n) }

// AdminAddress returns the admin address of entry-N.
func AdminAddress(n int) string { return fmt.Sprintf("10.3.0.%d:82", n) }

// StewardAddress returns the peers' address of steward-N.
func StewardAddress(n int) string { return fmt.Sprintf("10.4.0.%d:81", n) }

// EntryName returns the name and host of entry-N.
func EntryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// StewardName returns the name and host of steward-N.
func StewardName(n int) string { return fmt.Sprintf("steward-%d", n) }

func (si *Site) newLog(name string) *event.Log {
	if !si.opt.Log {
		return event.Discard()
	}
	return event.NewLog(os.Stderr, &rpc.LogSection{Format: "text", Level: "debug"}, name)
}

// StartEntry starts entry-N, or starts it again after KillEntry.
func (si *Site) StartEntry(n int) {
	name := EntryName(n)
	si.Net.Revive(Host(name))
	text := fmt.Sprintf(`[vm]
id = %s
site = test
failure_domain = %s
[listen]
callers = %s
admin = %s
peers = %s
[store]
urls = http://%s
[platform]
vm_list_url = http://%s/vms
rating_url = http://%s
[peers]
shared_key = a-shared-key-for-tests
`, name, FailureDomain(n), EntryAddress(n), AdminAddress(n), PeerAddress(n), StoreAddress, VMsAddress, RatingAddress)
	for section, lines := range si.opt.EntrySettings {
		text += "[" + section + "]\n" + lines + "\n"
	}
	var es rpc.EntrySettings
	si.loadSettings(name, text, &es)
	da, err := entry.New(&es, si.Net.ForHost(Host(name)), si.newLog(name))
	if err != nil {
		si.tb.Fatal(err)
	}
	if err := da.Start(); err != nil {
		si.tb.Fatal(err)
	}
	si.Entries[name] = da
	si.VMs.Put(vm.VM{ID: vm.ID(name), Role: vm.RoleEntry, State: vm.Live, Address: PeerAddress(n)})
}

// FailureDomain returns the failure domain of the processes numbered n, such as entry-N
// and engine-N. There are three.
func FailureDomain(n int) policy.FailureDomain {
	return policy.FailureDomain(fmt.Sprintf("fd-%d", n%3))
}

// StartSteward starts steward-N, or starts it again after KillSteward.
func (si *Site) StartSteward(n int) {
	name := StewardName(n)
	si.Net.Revive(Host(name))
	text := fmt.Sprintf(`[vm]
id = %s
site = test
failure_domain = %s
[listen]
callers = 10.4.0.%d:80
admin = 10.4.0.%d:82
peers = 10.4.0.%d:81
[store]
urls = http://%s
[platform]
vm_list_url = http://%s/vms
rating_url = http://%s
weights_url = http://%s
[peers]
shared_key = a-shared-key-for-tests
[steward]
loads_per_minute = 600
`, name, FailureDomain(n), n, n, n, StoreAddress, VMsAddress, RatingAddress, WeightsAddress)
	var ss rpc.StewardSettings
	si.loadSettings(name, text, &ss)
	da, err := steward.New(&ss, si.Net.ForHost(Host(name)), si.newLog(name))
	if err != nil {
		si.tb.Fatal(err)
	}
	if err := da.Start(); err != nil {
		si.tb.Fatal(err)
	}
	si.Stewards[name] = da
}

func (si *Site) loadSettings(name, text string, into proto.Message) {
	file := filepath.Join(si.dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		si.tb.Fatal(err)
	}
	if err := setting.Load(file, into); err != nil {
		si.tb.Fatal(err)
	}
}

// KillEntry closes all connections of entry-N at once, as a crash does. Its state in
// memory is lost.
func (si *Site) KillEntry(n int) {
	name := EntryName(n)
	si.Net.Kill(Host(name))
	da := si.Entries[name]
	delete(si.Entries, name)
	si.closeDaemon(da)
}

// KillSteward closes all connections of steward-N at once, as a crash does.
func (si *Site) KillSteward(n int) {
	name := StewardName(n)
	si.Net.Kill(Host(name))
	da := si.Stewards[name]
	delete(si.Stewards, name)
	si.closeDaemon(da)
}

// closeDaemon stops, in the background and without a grace period, a daemon whose
// host was killed.
func (si *Site) closeDaemon(da interface{ Close(ctx context.Context) }) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	si.group.Go(func(context.Context) { da.Close(ctx) })
}

// WaitReady blocks until every entry has the policy and knows the other daemons as
// members, and for another half second.
func (si *Site) WaitReady() {
	si.Eventually(20*time.Second, "entries ready", func() bool {
		for _, da := range si.Entries {
			st := da.Dump().(entry.State)
			if st.PolicyRevision == 0 || len(st.Members) < len(si.Entries)+len(si.Stewards)-1 {
				return false
			}
		}
		return true
	})
	time.Sleep(500 * time.Millisecond)
}

// Eventually blocks until a condition holds and returns how long that took. It fails
// the test, with what as the name of the condition, if it does not hold within limit.
func (si *Site) Eventually(limit time.Duration, what string, holds func() bool) time.Duration {
	si.tb.Helper()
	return eventually(si.tb, limit, what, holds)
}

func eventually(tb testing.TB, limit time.Duration, what string, holds func() bool) time.Duration {
	tb.Helper()
	started := time.Now()
	for !holds() {
		if time.Since(started) > limit {
			tb.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// Client returns a client with which a host calls the store. The caller closes it.
func (si *Site) Client(ho Host) *store.Client {
	return store.NewClient(store.Options{
		URLs: []string{"http://" + StoreAddress}, Timeout: time.Second, WatchProgress: 2 * time.Second, Dial: si.Net.ForHost(ho).Dial,
	})
}

// Writer returns a writer with which an operator on a host changes policy records, and
// its store client, which the caller closes.
func (si *Site) Writer(ho Host) (*configuration.Writer, *store.Client) {
	cl := si.Client(ho)
	return configuration.NewWriter(configuration.Keys{Root: "tanager/"}, cl), cl
}

// Apply writes policy records as an operator, and returns their revision.
func (si *Site) Apply(texts ...string) store.Revision {
	si.tb.Helper()
	rs, err := si.TryApply(Operator, texts...)
	if err != nil {
		si.tb.Fatal(err)
	}
	return rs.Revision
}

// TryApply writes policy records as an operator on a host, in one change. Of several
// texts with the same key the last one counts.
func (si *Site) TryApply(ho Host, texts ...string) (configuration.Result, error) {
	wr, cl := si.Writer(ho)
	defer cl.Close()
	rq := configuration.Request{ChangedBy: string(ho), Place: func(key string) finding.Place { return finding.Place{Section: key} }}
	indexByKey := map[string]int{}
	for _, text := range texts {
		re, err := policy.ParseRecord([]byte(text))
		if err != nil {
			return configuration.Result{}, err
		}
		if i, ok := indexByKey[re.Key()]; ok {
			rq.Changes[i].Record = re
			continue
		}
		indexByKey[re.Key()] = len(rq.Changes)
		rq.Changes = append(rq.Changes, configuration.Change{Record: re})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return wr.Apply(ctx, rq)
}

// Close stops the site.
func (si *Site) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, da := range si.Stewards {
		da.Close(ctx)
	}
	for _, da := range si.Entries {
		da.Close(ctx)
	}
	si.servers.close()
}

// closeAll closes all connections.
func (nw *Network) closeAll() {
	nw.mu.Lock()
	var all []*conn
	for co := range nw.conns {
		all = append(all, co)
	}
	nw.mu.Unlock()
	for _, co := range all {
		_ = co.Close()
	}
}
