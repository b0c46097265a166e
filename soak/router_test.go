//go:build soak

package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/worker"
)

const (
	soakRouters  = 5
	soakReplicas = 3
	soakCallers  = 10
	soakEvents   = 12
	routeHost    = "soak.example"
	// crashPart is a prompt part that crashes replicas. One in crashEvery streaming
	// requests of a caller has it. One in crashEvery safe requests is for crashTarget, which
	// crashes replicas too. A replica that crashed is away for crashedFor.
	crashPart   = "bad"
	crashTarget = "/p/bad"
	crashEvery  = 12
	crashedFor  = 1500 * time.Millisecond
	// maxCrashing is how many requests with the part, and how many for the target, may reach
	// replicas in the calm time after the faults (rule BUDGET of the users' platform).
	maxCrashing = 3
	// namedLimit is the limit, in requests a second, that one replica names after the
	// faults. From contactLimit on it may get limitFactor times as much, and limitSlack
	// requests more (rule LIMIT of the users' platform).
	namedLimit   = 1.0
	contactLimit = 3 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	// revocationLimit is how long a revoked key may still be accepted.
	revocationLimit = 6 * time.Second
)

// routerSite runs routers as processes of their own. The stand-ins for the store and
// for the services' replicas run in the test's process, behind proxies.
type routerSite struct {
	t        *testing.T
	dir      string
	rng      *rand.Rand
	store    *standin.Store
	replicas map[string]*standin.Replica
	routers  []*process
	proxies  []*proxy
	// actions counts the restarts and pauses of routers that are under way.
	actions sync.WaitGroup

	mu sync.Mutex
	// storeCopy is the copy from which the store is restored.
	storeCopy  standin.StoreCopy
	version    int
	requests   int
	complete   int
	faults     map[string]int
	violations []string
	// unsafe holds the IDs of all unsafe requests, and refused those of them that were
	// refused as not run. Both are compared with what the replicas ran.
	refused []string
	unsafe  []string
	// restarting holds the routers that are being restarted, with the time at which
	// the restart was last asked for.
	restarting map[int]time.Time
}

// TestRouterSoak runs routers under signals, faults of connections, a store that is
// down or loses responses, and failing replicas, while the configuration changes. It
// checks each answer, and afterwards that the replicas ran unsafe requests at most
// once and refused ones never.
func TestRouterSoak(t *testing.T) {
	rs := &routerSite{
		t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(*seed, 1)), store: standin.NewStore(),
		replicas: map[string]*standin.Replica{}, faults: map[string]int{}, restarting: map[int]time.Time{},
	}
	out, err := exec.Command("go", "build", "-o", rs.dir+"/", "../cmd/tanager-router").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	rs.start()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for n := range soakCallers {
		wg.Go(func() { rs.runCaller(ctx, n) })
	}
	for end := time.Now().Add(*length); time.Now().Before(end); {
		rs.injectFault()
		time.Sleep(time.Duration(200+rs.rng.IntN(1500)) * time.Millisecond)
	}
	rs.endFaults()
	limited := rs.replicas["i-scribes-0"]
	limited.SetFaults(standin.ReplicaFaults{CrashPart: crashPart, CrashTarget: crashTarget, Limit: fmt.Sprint(namedLimit)})
	time.Sleep(contactLimit)
	rs.mu.Lock()
	before := rs.complete
	rs.mu.Unlock()
	calm := time.Now()
	time.Sleep(5 * time.Second)
	rs.checkCrashing(calm)
	rs.checkLimit(limited, calm)
	rs.mu.Lock()
	rs.check(rs.complete > before+20, "got %d complete answers in 5 s after the faults, want more than 20", rs.complete-before)
	rs.mu.Unlock()
	rs.checkRevocation()
	cancel()
	wg.Wait()
	rs.verify()
}

// serve starts a stand-in behind a proxy and returns the proxy's address.
func (rs *routerSite) serve(ha http.Handler) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(rs.t, err, qt.IsNil)
	gr := worker.NewGroup()
	rs.t.Cleanup(gr.Close)
	serveOn(gr, li, ha)
	px := newProxy(rs.t, li.Addr().String())
	rs.proxies = append(rs.proxies, px)
	return px.address()
}

// serveOn serves a handler on a listener until the returned server or the group is closed.
func serveOn(gr *worker.Group, li net.Listener, ha http.Handler) *http.Server {
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	gr.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = sv.Close() })
		defer stop()
		_ = sv.Serve(li)
	})
	return sv
}

// writeRouterSettings writes the settings of router n of a site to a file. Each router has five of the ten
// ports from its own on; kv is the store's address.
func writeRouterSettings(t *testing.T, file string, firstPort, n int, kv string) {
	t.Helper()
	port := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+10*n+k) }
	text := fmt.Sprintf("[vm]\nid = router-%d\nsite = soak\nfailure_domain = fd-%d\n[listen]\ncallers = %s\nreadiness = %s\ndirectory = %s\npeers = %s\nadmin = %s\n"+
		"[store]\nurls = http://%s\n[peers]\nshared_key = soak-shared-key-123\nseeds = 127.0.0.1:%d\n[serving]\nretry_ratio = 0.9\nretry_slack = 56\n[log]\nformat = json\n",
		n, n%3, port(0), port(1), port(2), port(3), port(4), kv, firstPort+3)
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
}

// start starts the stand-ins and the routers, and gives the routers two seconds.
func (rs *routerSite) start() {
	kv := rs.serve(rs.store.KVHandler())
	for n := range soakReplicas {
		rs.replica("scribes", n, standin.ReplicaOptions{Events: soakEvents, Gap: 20 * time.Millisecond, Delay: 10 * time.Millisecond, Confidence: map[string]string{"small": "50", "large": "90"}})
		rs.replica("desk", n, standin.ReplicaOptions{Delay: 5 * time.Millisecond})
	}
	rs.configure("key-0")
	rs.copyStore()
	for n := range soakRouters {
		file := fmt.Sprintf("%s/router-%d.ini", rs.dir, n)
		writeRouterSettings(rs.t, file, *firstPort, n, kv)
		pr := &process{name: fmt.Sprint("router-", n), args: []string{"tanager-router", "run", "-c", file}}
		pr.start(rs.t, rs.dir)
		rs.routers = append(rs.routers, pr)
	}
	rs.t.Cleanup(func() {
		for _, pr := range rs.routers {
			pr.signal(syscall.SIGCONT)
			pr.kill()
		}
	})
	time.Sleep(2 * time.Second)
}

// replica starts replica n of a service behind a proxy and registers it in the store.
func (rs *routerSite) replica(service string, n int, opt standin.ReplicaOptions) {
	opt.ID = fmt.Sprintf("i-%s-%d", service, n)
	var re *standin.Replica
	var px *proxy
	opt.OnCrash = func() {
		px.setLink(true, 0)
		px.reset()
		time.AfterFunc(crashedFor, func() {
			px.setLink(false, 0)
			re.Restart()
			rs.register(service, n, px.address())
		})
	}
	re = standin.NewReplica(opt)
	re.SetFaults(standin.ReplicaFaults{CrashPart: crashPart, CrashTarget: crashTarget})
	rs.replicas[opt.ID] = re
	address := rs.serve(re.Handler())
	px = rs.proxies[len(rs.proxies)-1]
	rs.register(service, n, address)
}

// register registers replica n of a service, born now.
func (rs *routerSite) register(service string, n int, address string) {
	models := ""
	if service == "scribes" {
		models = `,"models":[{"name":"small","version":1},{"name":"large","version":1}]`
	}
	rs.store.Write(fmt.Sprintf("servers/i-%s-%d", service, n), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"fd-%d","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d%s}`,
		service, address, n%3, time.Now().UnixMilli(), models))
}

// configure writes a configuration in which the callers' key and one other key are
// valid.
func (rs *routerSite) configure(key string) {
	rs.mu.Lock()
	rs.version++
	version := rs.version
	rs.mu.Unlock()
	route := func(name, prefix, kind, service, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":%q,"service":%q,"target_latency_ms":1000,"timeout_ms":6000,"max_attempts":3%s}`, name, routeHost, prefix, kind, service, more)
	}
	rs.store.Write("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"scribes","engine":{"slots":16}},{"name":"desk"}],`+
		`"limits":{"max_body_bytes":65536,"idle_timeout_ms":15000},"tenants":[{"name":"own","api_keys":["own"]},{"name":"other","api_keys":[%q]}]}`, version,
		route("r-s", "/s/", "streaming", "scribes", `,"sizes":["small","large"],"stream_resume":true,"target_gap_ms":800`),
		route("r-u", "/u/", "unsafe", "desk", ""), route("r-p", "/p/", "safe", "desk", ""), key))
}

// injectFault injects a random fault or makes a change. Restarts and pauses end by
// themselves, other faults when a later call clears them.
func (rs *routerSite) injectFault() {
	n := rs.rng.IntN(soakRouters)
	px := rs.proxies[rs.rng.IntN(len(rs.proxies))]
	faults := []struct {
		name string
		run  func()
	}{
		{"kill", func() { rs.restart(n, syscall.SIGKILL) }},
		{"terminate", func() { rs.restart(n, syscall.SIGTERM) }},
		{"pause", func() { rs.pause(n, time.Duration(500+rs.rng.IntN(5000))*time.Millisecond) }},
		{"hangup signal", func() { rs.routers[n].signal(syscall.SIGHUP) }},
		{"reset", px.reset},
		{"silence", func() { px.silence(false) }},
		{"silence one way", func() { px.silence(true) }},
		{"refuse", func() { px.setLink(true, 0) }},
		{"delay", func() { px.setLink(false, 100*time.Millisecond) }},
		{"restore link", func() { px.setLink(false, 0) }},
		{"store down", func() { rs.store.SetFaults(standin.Faults{Down: true}) }},
		{"store frozen", func() { rs.store.SetFaults(standin.Faults{Freeze: true}) }},
		{"store loses responses", func() { rs.store.SetFaults(standin.Faults{LoseAnswers: 3}) }},
		{"store recovered", func() { rs.store.SetFaults(standin.Faults{}) }},
		{"store compacted", rs.store.Compact},
		{"store copied", rs.copyStore},
		{"store restored", rs.restoreStore},
		// Listed twice, so that these faults come twice as often as each of the others.
		{"replicas", rs.setReplicaFaults},
		{"replicas", rs.setReplicaFaults},
		{"revoke", rs.revoke},
	}
	fa := faults[rs.rng.IntN(len(faults))]
	rs.mu.Lock()
	rs.faults[fa.name]++
	rs.mu.Unlock()
	fa.run()
}

// copyStore takes the copy of the store from which restoreStore restores it.
func (rs *routerSite) copyStore() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.storeCopy = rs.store.Copy()
}

// restoreStore takes the store down and brings it back from its last copy, in the background.
// The operator and the replicas write again what they wrote since.
func (rs *routerSite) restoreStore() {
	rs.mu.Lock()
	co := rs.storeCopy
	rs.mu.Unlock()
	away, again := time.Duration(200+rs.rng.IntN(2000))*time.Millisecond, time.Duration(rs.rng.IntN(1500))*time.Millisecond
	rs.actions.Go(func() {
		rs.store.SetFaults(standin.Faults{Down: true})
		time.Sleep(away)
		rs.store.Restore(co)
		rs.store.SetFaults(standin.Faults{})
		time.Sleep(again)
		rs.store.WriteAgain()
	})
}

// setReplicaFaults sets a random fault, or none, for about a third of the replicas.
func (rs *routerSite) setReplicaFaults() {
	kinds := []standin.ReplicaFaults{{}, {}, {Status: 500}, {NotRun: true}, {CutAfter: 3}, {Silent: true}, {OtherRequestID: "other"}, {Truncated: true}, {Limit: "3"}, {EndsWithConnection: true}, {CutAtHead: true}}
	for _, re := range rs.replicas {
		if rs.rng.IntN(3) == 0 {
			fa := kinds[rs.rng.IntN(len(kinds))]
			fa.CrashPart, fa.CrashTarget = crashPart, crashTarget
			re.SetFaults(fa)
		}
	}
}

// restart ends a router by a signal and starts it again, in the background. It sends
// no signal if the router is being restarted already.
func (rs *routerSite) restart(n int, sg syscall.Signal) {
	rs.mu.Lock()
	_, busy := rs.restarting[n]
	rs.restarting[n] = time.Now()
	rs.mu.Unlock()
	if busy {
		return
	}
	pr := rs.routers[n]
	rs.actions.Go(func() {
		pr.signal(sg)
		_ = pr.cmd.Wait()
		pr.start(rs.t, rs.dir)
		time.Sleep(time.Second)
		rs.mu.Lock()
		delete(rs.restarting, n)
		rs.mu.Unlock()
	})
}

// pause stops a router by a signal and lets it continue after du, in the background.
func (rs *routerSite) pause(n int, du time.Duration) {
	rs.actions.Go(func() {
		rs.routers[n].signal(syscall.SIGSTOP)
		time.Sleep(du)
		rs.routers[n].signal(syscall.SIGCONT)
	})
}

// revoke adds a key and revokes it at once, by a configuration without it.
func (rs *routerSite) revoke() {
	rs.configure("temporary-key")
	rs.configure("unused-key")
}

// checkRevocation adds and revokes a key while no fault is active, and checks that no
// router accepts the key after revocationLimit.
func (rs *routerSite) checkRevocation() {
	rs.configure("last-key")
	rs.configure("unused-key")
	time.Sleep(revocationLimit)
	for n := range soakRouters {
		status, _, err := rs.send(context.Background(), n, "/p/x", fmt.Sprint("revoked-", n), "last-key", "")
		rs.mu.Lock()
		rs.check(err == nil && status == http.StatusUnauthorized, "router-%d answered status %d (error %v) to a revoked key, want 401", n, status, err)
		rs.mu.Unlock()
	}
}

// endFaults ends all faults, blocks until restarts and pauses are over, and gives the
// routers five seconds to recover.
func (rs *routerSite) endFaults() {
	rs.store.SetFaults(standin.Faults{})
	for _, re := range rs.replicas {
		re.SetFaults(standin.ReplicaFaults{CrashPart: crashPart, CrashTarget: crashTarget})
	}
	for _, px := range rs.proxies {
		px.setLink(false, 0)
		px.reset()
	}
	rs.actions.Wait()
	time.Sleep(5 * time.Second)
}

// checkCrashing checks how many requests with the part that crashes replicas, and how many
// for the target that does, have reached replicas since a time.
func (rs *routerSite) checkCrashing(since time.Time) {
	reached, repeated, crashes := 0, 0, 0
	for _, re := range rs.replicas {
		crashes += len(re.Crashes())
		for _, ru := range re.Runs() {
			if ru.SharesPart(crashPart) && ru.At.After(since) {
				reached++
			}
			if ru.Target == crashTarget && ru.At.After(since) {
				repeated++
			}
		}
	}
	rs.t.Logf("%d crashes under one prompt part and one request; %d and %d times it reached replicas after the faults", crashes, reached, repeated)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.check(repeated <= maxCrashing, "a request that had crashed replicas reached replicas %d times after the faults, %d are allowed", repeated, maxCrashing)
	rs.check(reached <= maxCrashing, "%d requests with a prompt part that had crashed replicas %d times reached replicas after the faults, %d are allowed", reached, crashes, maxCrashing)
}

// checkLimit checks how many requests a replica that names a limit has run since a time.
func (rs *routerSite) checkLimit(re *standin.Replica, since time.Time) {
	runs := 0
	for _, ru := range re.Runs() {
		if ru.At.After(since) {
			runs++
		}
	}
	allowed := limitFactor*namedLimit*time.Since(since).Seconds() + limitSlack
	rs.t.Logf("%d requests at a replica with a limit, %.1f allowed", runs, allowed)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.check(float64(runs) <= allowed, "%d requests ran at a replica whose limit allows %.1f", runs, allowed)
}

// addViolation records the violation of an invariant. The caller holds mu.
func (rs *routerSite) addViolation(format string, args ...any) {
	rs.violations = append(rs.violations, fmt.Sprintf(format, args...))
}

// check records a violation if ok is false. The caller holds mu, unless no other
// goroutine runs.
func (rs *routerSite) check(ok bool, format string, args ...any) {
	if !ok {
		rs.addViolation(format, args...)
	}
}

// send sends one request to a router and returns the status and the complete body of
// the answer.
func (rs *routerSite) send(ctx context.Context, n int, path, id, key, prompt string) (int, string, error) {
	return sendTo(ctx, *firstPort+10*n, path, id, key, prompt)
}

// sendTo sends one request to a port.
func sendTo(ctx context.Context, port int, path, id, key, prompt string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d%s", port, path), strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	rq.GetBody, rq.Host = nil, routeHost
	rq.Header = http.Header{"Attempt-Id": {id}, "Key": {key}, "Deadline-Remaining": {"7000"}, "Model": {"*"}}
	if prompt != "" {
		rq.Header.Set("Prompt-Prefix", prompt)
	}
	res, err := unpooled.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// unpooled opens a connection for each request, so that no request is repeated by
// net/http itself.
var unpooled = network.Real().UnpooledClient()

// refusedPause is how long a caller that was refused waits before its next request. Otherwise
// the number of requests would depend on how fast refusals come.
const refusedPause = 100 * time.Millisecond

// runCaller sends streaming, unsafe and safe requests to the routers in turn until ctx
// ends, and checks the answers.
func (rs *routerSite) runCaller(ctx context.Context, caller int) {
	for k := 0; ctx.Err() == nil; k++ {
		id, n := fmt.Sprintf("c%d-%d", caller, k), (caller+k)%soakRouters
		path := []string{"/s/x", "/u/x", "/p/x"}[k%3]
		if path == "/p/x" && k/3%crashEvery == crashEvery-1 {
			path = crashTarget
		}
		sentAt := time.Now()
		status, body, err := rs.send(ctx, n, path, id, "own", promptOf(path, id, k))
		rs.mu.Lock()
		rs.requests++
		if path == "/u/x" {
			rs.unsafe = append(rs.unsafe, id)
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				rs.refused = append(rs.refused, id)
			}
		}
		if err == nil && status == http.StatusOK {
			rs.complete++
			rs.check(body == wantBody(path, id), "request %s: body is %q, want the complete answer to it", id, body)
		}
		rs.check(status != http.StatusUnauthorized && status != http.StatusNotFound, "request %s: status %d to a valid key and route", id, status)
		rs.check(time.Since(sentAt) < 9*time.Second, "request %s: answered after %s, limit 9s", id, time.Since(sentAt))
		rs.mu.Unlock()
		time.Sleep(time.Duration(5+caller) * time.Millisecond)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			time.Sleep(refusedPause)
		}
	}
}

// promptOf returns the prompt of a caller's request number k, "" for a plain service.
func promptOf(path, id string, k int) string {
	middle := fmt.Sprint("subject", k%7)
	switch {
	case path != "/s/x":
		return ""
	case k/3%crashEvery == crashEvery-1:
		middle = crashPart
	}
	return fmt.Sprintf("first:100,%s:50,%s:20", middle, id)
}

// wantBody returns the body of the complete answer to a request.
func wantBody(path, id string) string {
	if path != "/s/x" {
		return "whole answer to " + id
	}
	var sb strings.Builder
	for n := 1; n <= soakEvents; n++ {
		fmt.Fprintf(&sb, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
	}
	return sb.String()
}

// verify compares what callers received with what the replicas ran, and fails the test
// if it or a check before it found a violation.
func (rs *routerSite) verify() {
	runs := map[string]int{}
	for _, re := range rs.replicas {
		for _, ru := range re.Runs() {
			runs[ru.Request]++
			rs.check(ru.Header.Get("Tenant") == "own" || strings.HasPrefix(ru.Request, "revoked-"), "request %s ran for tenant %q, want \"own\"", ru.Request, ru.Header.Get("Tenant"))
		}
	}
	for _, id := range rs.unsafe {
		rs.check(runs[id] <= 1, "unsafe request %s ran %d times, want at most once", id, runs[id])
	}
	for _, id := range rs.refused {
		rs.check(runs[id] == 0, "request %s ran, but was refused as not run", id)
	}
	rs.t.Logf("seed %d: %d requests, %d complete answers, %d unsafe, %d refused as not run, faults %v", *seed, rs.requests, rs.complete, len(rs.unsafe), len(rs.refused), rs.faults)
	qt.Assert(rs.t, rs.complete > rs.requests/3, qt.IsTrue)
	qt.Assert(rs.t, rs.violations, qt.HasLen, 0)
}
