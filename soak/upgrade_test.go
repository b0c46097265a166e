//go:build soak

package soak_test

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/worker"
)

// landingBefore is the commit whose routers the upgrade starts with.
var landingBefore = flag.String("before", "17248de", "commit of the routers before the upgrade")

const (
	upgradeRouters = 6
	// upgradePort is the first router's port for callers, upgradeStep the time between two
	// replacements, and upgradeApply the time in which a version comes into force
	// (config_apply_ms of the users' platform).
	upgradePort  = 9400
	upgradeStep  = 1500 * time.Millisecond
	upgradeApply = 2 * time.Second
	// settleTime is how long routers that have started may take to share the watch of the store.
	settleTime = 3 * time.Second
	// plainTimeout is a timeout that all builds take.
	plainTimeout = "2000"
)

// upgrade replaces routers of the landing before by routers of this build, one by one, while the
// operator writes a version of the configuration that only this build can represent.
type upgrade struct {
	t       *testing.T
	dir     string
	store   *standin.Store
	desk    *standin.Replica
	routers []*process
	// replaced is when each router of this build was ready, zero while the earlier one runs.
	replaced [upgradeRouters]time.Time
	asked    int
	// address is the replica's, and sequence counts its registrations.
	address  string
	sequence int
}

// upgradeCase is a version of the configuration, and what it says.
type upgradeCase struct {
	name string
	// tenant is the name of the only tenant, and keys the number of its keys.
	tenant string
	keys   int
	// timeout is the timeout_ms of the route.
	timeout string
}

var upgradeCases = []upgradeCase{
	{name: "many keys", tenant: "own", keys: 5000, timeout: plainTimeout},
	{name: "a name that was no id", tenant: "Map_Drawers", keys: 1, timeout: plainTimeout},
	{name: "a number that was no integer", tenant: "own", keys: 1, timeout: "1500.5"},
	{name: "a time that was over", tenant: "own", keys: 1, timeout: "9223372036854775807"},
}

// TestUpgradeBringsEveryVersionIntoForce runs routers of two builds side by side. A router of the
// earlier build that drops a version, or cuts it down, must not keep it from one of this build,
// and a key that was taken away stays away.
func TestUpgradeBringsEveryVersionIntoForce(t *testing.T) {
	programs := t.TempDir()
	buildCommit(t, *landingBefore, filepath.Join(programs, "before"))
	out, err := exec.Command("go", "build", "-o", filepath.Join(programs, "now"), "../cmd/tanager-router").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, uc := range upgradeCases {
		for _, writeAt := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, written after %d replacements", uc.name, writeAt), func(t *testing.T) {
				up := &upgrade{t: t, dir: programs, store: standin.NewStore(), desk: standin.NewReplica(standin.ReplicaOptions{ID: "i-desk"})}
				up.start(uc)
				up.run(uc, writeAt)
			})
		}
	}
}

// buildCommit builds the router's program of a commit.
func buildCommit(t *testing.T, commit, program string) {
	t.Helper()
	src := t.TempDir()
	script := fmt.Sprintf("cd .. && git archive %s | tar -x -C %s && cd %s && go build -o %s ./cmd/tanager-router", commit, src, src, program)
	out, err := exec.Command("sh", "-c", script).CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
}

// start starts the stand-ins and routers of the landing before.
func (up *upgrade) start(uc upgradeCase) {
	kv := up.serve(up.store.KVHandler())
	up.address = up.serve(up.desk.Handler())
	up.register()
	up.configure(1, "own", plainTimeout, "taken away")
	for n := range upgradeRouters {
		file := filepath.Join(up.dir, fmt.Sprintf("%d.ini", n))
		writeRouterSettings(up.t, file, upgradePort, n, kv)
		pr := &process{name: fmt.Sprint("router-", n), args: []string{"before", "run", "-c", file}}
		pr.start(up.t, up.dir)
		up.routers = append(up.routers, pr)
	}
	up.t.Cleanup(func() {
		for _, pr := range up.routers {
			pr.kill()
		}
	})
	for n := range upgradeRouters {
		up.awaitReady(n)
	}
}

// register writes the replica's registration, each time with another number of slots: a router
// that dropped a version gets to a later revision by it.
func (up *upgrade) register() {
	up.sequence++
	up.store.Write("servers/i-desk", fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":"fd-0","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":1767225600000}`, up.address, 64+up.sequence%2, up.sequence))
}

func (up *upgrade) serve(ha http.Handler) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(up.t, err, qt.IsNil)
	gr := worker.NewGroup()
	up.t.Cleanup(gr.Close)
	serveOn(gr, li, ha)
	return li.Addr().String()
}

// configure writes a version with one route and one tenant.
func (up *upgrade) configure(version int, tenant, timeout string, keys ...string) {
	up.store.Write("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":%q,"prefix":"/","kind":"safe","service":"desk","target_latency_ms":500,"timeout_ms":%s,"max_attempts":2}],`+
		`"services":[{"name":"desk"}],"limits":{"max_body_bytes":65536,"idle_timeout_ms":15000},"tenants":[{"name":%q,"api_keys":["%s"]}]}`, version, routeHost, timeout, tenant, strings.Join(keys, `","`)))
}

func (up *upgrade) awaitReady(n int) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		rs, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/ready", upgradePort+10*n+1))
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			return
		}
	}
	up.t.Fatalf("router-%d is not ready", n)
}

// watchReason finds the reason in a line of the log that names a router's rank among those that
// watch the store (event 212).
var watchReason = regexp.MustCompile(`"rank":[^\n]*"reason":"([a-z_]+)"`)

// followersFirst returns the routers, those that do not watch the store first: these get the
// policy from routers of the earlier build.
func (up *upgrade) followersFirst() []int {
	var followers, watchers []int
	time.Sleep(settleTime)
	for n := range upgradeRouters {
		text, err := os.ReadFile(filepath.Join(up.dir, up.routers[n].name+".log"))
		qt.Assert(up.t, err, qt.IsNil)
		reasons := watchReason.FindAllSubmatch(text, -1)
		qt.Assert(up.t, len(reasons) > 0, qt.IsTrue)
		if configuration.WatchReason(reasons[len(reasons)-1][1]) == configuration.WatchNot {
			followers = append(followers, n)
		} else {
			watchers = append(watchers, n)
		}
	}
	up.t.Logf("routers %v follow the others, %v", followers, watchers)
	return append(followers, watchers...)
}

// run replaces the routers, writes the version after some of them, and checks all that run this
// build, those that were replaced before the version at once and after it.
func (up *upgrade) run(uc upgradeCase, writeAt int) {
	var keys []string
	for n := range uc.keys {
		keys = append(keys, fmt.Sprintf("key%017d", n))
	}
	var written time.Time
	order := up.followersFirst()
	for n := range upgradeRouters + 1 {
		if n == writeAt {
			up.configure(2, uc.tenant, uc.timeout, keys...)
			written = time.Now()
		}
		for end := time.Now().Add(upgradeStep); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
			up.register()
			up.check(uc, keys, written)
		}
		if n < upgradeRouters {
			up.replace(order[n])
		}
	}
	time.Sleep(upgradeApply)
	before := up.asked
	up.check(uc, keys, written)
	qt.Assert(up.t, up.asked-before, qt.Equals, 3*upgradeRouters)
	for _, ru := range up.desk.Runs() {
		if strings.HasPrefix(ru.Request, "late-") {
			qt.Check(up.t, ru.Header.Get("Tenant"), qt.Equals, uc.tenant)
		}
	}
}

// replace stops a router in an orderly way and starts this build in its place.
func (up *upgrade) replace(n int) {
	pr := up.routers[n]
	pr.signal(syscall.SIGTERM)
	_ = pr.cmd.Wait()
	pr.args[0] = "now"
	pr.start(up.t, up.dir)
	up.awaitReady(n)
	up.replaced[n] = time.Now()
}

// check asks each router of this build with a key that was taken away, one that no version held
// and the last of the version's, once the version must be in force there.
func (up *upgrade) check(uc upgradeCase, keys []string, written time.Time) {
	for n, at := range up.replaced {
		if at.IsZero() || written.IsZero() || time.Since(written) < upgradeApply {
			continue
		}
		comment := qt.Commentf("%s: router-%d, %v after the version, %v after its start", uc.name, n, time.Since(written).Round(time.Millisecond), time.Since(at).Round(time.Millisecond))
		qt.Check(up.t, up.send(n, "taken away"), qt.Equals, http.StatusUnauthorized, comment)
		qt.Check(up.t, up.send(n, "strange"), qt.Equals, http.StatusUnauthorized, comment)
		qt.Check(up.t, up.send(n, keys[len(keys)-1]), qt.Equals, http.StatusOK, comment)
	}
}

func (up *upgrade) send(n int, key string) int {
	up.asked++
	rq, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/x", upgradePort+10*n), nil)
	qt.Assert(up.t, err, qt.IsNil)
	rq.Host = routeHost
	rq.Header = http.Header{"Attempt-Id": {fmt.Sprint("late-", up.asked)}, "Key": {key}, "Deadline-Remaining": {"2000"}}
	rs, err := unpooled.Do(rq)
	if err != nil {
		return 0
	}
	defer func() { _ = rs.Body.Close() }()
	_, _ = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode
}
