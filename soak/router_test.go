//go:build soak

package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/standin"
)

const (
	soakRouters  = 5
	soakReplicas = 3
	soakCallers  = 10
	soakEvents   = 12
	firstPort    = 9100
	routeHost    = "soak.example"
	// revokedAfter is how long a key that was taken away may still work.
	revokedAfter = 6 * time.Second
)

// routerSite is routers as processes, before stand-ins of the users' platform
// in this one, with proxies between.
type routerSite struct {
	t        *testing.T
	dir      string
	rng      *rand.Rand
	store    *standin.Store
	replicas map[string]*standin.Replica
	routers  []*process
	proxies  []*proxy
	frozen   sync.WaitGroup

	mu       sync.Mutex
	version  int
	requests int
	whole    int
	faults   map[string]int
	breaches []string
	// unsafe requests by how they ended, to be held against what ran.
	refused []string
	unsafe  []string
	// draining holds the routers told to end gracefully, with when.
	draining map[int]time.Time
}

// TestRouterSoak runs routers under faults from outside: signals, proxies that
// reset, silence and delay, a store that is down or loses answers, replicas
// that fail in every way; changes come all the while.
func TestRouterSoak(t *testing.T) {
	rs := &routerSite{
		t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(*seed, 1)), store: standin.NewStore(),
		replicas: map[string]*standin.Replica{}, faults: map[string]int{}, draining: map[int]time.Time{},
	}
	out, err := exec.Command("go", "build", "-o", rs.dir+"/", "../cmd/tanager-router").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	rs.start()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for n := range soakCallers {
		wg.Go(func() { rs.caller(ctx, n) })
	}
	for end := time.Now().Add(*length); time.Now().Before(end); {
		rs.fault()
		time.Sleep(time.Duration(200+rs.rng.IntN(1500)) * time.Millisecond)
	}
	rs.calm()
	rs.mu.Lock()
	served := rs.whole
	rs.mu.Unlock()
	time.Sleep(5 * time.Second)
	rs.mu.Lock()
	rs.check(rs.whole > served+20, "after the faults only %d answers in 5 s", rs.whole-served)
	rs.mu.Unlock()
	rs.revokeCalmly()
	cancel()
	wg.Wait()
	rs.judge()
}

// serve serves a stand-in, behind a proxy, and gives the proxy's address.
func (rs *routerSite) serve(ha http.Handler) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(rs.t, err, qt.IsNil)
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	rs.t.Cleanup(func() { _ = sv.Close() })
	go func() { _ = sv.Serve(li) }()
	px := newProxy(rs.t, li.Addr().String())
	rs.proxies = append(rs.proxies, px)
	return px.address()
}

func (rs *routerSite) start() {
	kv := rs.serve(rs.store.KVHandler())
	for n := range soakReplicas {
		rs.replica("scribes", n, standin.ReplicaOptions{Events: soakEvents, Gap: 20 * time.Millisecond, Delay: 10 * time.Millisecond, Confidence: map[string]string{"small": "50", "large": "90"}})
		rs.replica("desk", n, standin.ReplicaOptions{Delay: 5 * time.Millisecond})
	}
	rs.configure("key-0")
	for n := range soakRouters {
		port := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+10*n+k) }
		file := fmt.Sprintf("%s/router-%d.ini", rs.dir, n)
		text := fmt.Sprintf("[vm]\nid = router-%d\nsite = soak\nfailure_domain = fd-%d\n[listen]\ncallers = %s\nreadiness = %s\ndirectory = %s\npeers = %s\nadmin = %s\n"+
			"[store]\nurls = http://%s\n[peers]\nshared_key = soak-shared-key-123\nseeds = 127.0.0.1:%d\n[serving]\nretry_ratio = 0.9\nretry_slack = 56\n[log]\nformat = json\n",
			n, n%3, port(0), port(1), port(2), port(3), port(4), kv, firstPort+3)
		(&site{t: rs.t, dir: rs.dir}).write(fmt.Sprintf("router-%d.ini", n), text)
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

func (rs *routerSite) replica(service string, n int, opt standin.ReplicaOptions) {
	opt.ID = fmt.Sprintf("i-%s-%d", service, n)
	re := standin.NewReplica(opt)
	rs.replicas[opt.ID] = re
	models := ""
	if service == "scribes" {
		models = `,"models":[{"name":"small","version":1},{"name":"large","version":1}]`
	}
	rs.store.Write("servers/"+opt.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"fd-%d","version":"v1","slots":16,"state":"ready"%s}`, service, rs.serve(re.Handler()), n%3, models))
}

// configure writes a configuration in which one key is valid, besides the
// callers' own.
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

// fault brings one fault or change about; most end by themselves or at the next.
func (rs *routerSite) fault() {
	n := rs.rng.IntN(soakRouters)
	px := rs.proxies[rs.rng.IntN(len(rs.proxies))]
	faults := []struct {
		name string
		run  func()
	}{
		{"kill", func() { rs.restart(n, syscall.SIGKILL) }},
		{"terminate", func() { rs.restart(n, syscall.SIGTERM) }},
		{"pause", func() { rs.pause(n, time.Duration(500+rs.rng.IntN(5000))*time.Millisecond) }},
		{"hang up", func() { rs.routers[n].signal(syscall.SIGHUP) }},
		{"reset", px.reset},
		{"silence", func() { px.silence(false) }},
		{"silence one way", func() { px.silence(true) }},
		{"refuse", func() { px.set(true, 0) }},
		{"delay", func() { px.set(false, 100*time.Millisecond) }},
		{"mend link", func() { px.set(false, 0) }},
		{"store down", func() { rs.store.Set(standin.Faults{Down: true}) }},
		{"store frozen", func() { rs.store.Set(standin.Faults{Freeze: true}) }},
		{"store loses", func() { rs.store.Set(standin.Faults{LoseAnswers: 3}) }},
		{"store well", func() { rs.store.Set(standin.Faults{}) }},
		{"store forgets", rs.store.Compact},
		{"replica", rs.replicaFault},
		{"replica", rs.replicaFault},
		{"revoke", rs.revoke},
	}
	fa := faults[rs.rng.IntN(len(faults))]
	rs.mu.Lock()
	rs.faults[fa.name]++
	rs.mu.Unlock()
	fa.run()
}

func (rs *routerSite) replicaFault() {
	kinds := []standin.ReplicaFaults{{}, {}, {Status: 500}, {NotRun: true}, {CutAfter: 3}, {Silent: true}, {Crossed: "other"}, {Torn: true}}
	for _, re := range rs.replicas {
		if rs.rng.IntN(3) == 0 {
			re.Set(kinds[rs.rng.IntN(len(kinds))])
		}
	}
}

func (rs *routerSite) restart(n int, sg syscall.Signal) {
	rs.mu.Lock()
	_, busy := rs.draining[n]
	rs.draining[n] = time.Now()
	rs.mu.Unlock()
	if busy {
		return
	}
	pr := rs.routers[n]
	rs.frozen.Go(func() {
		pr.signal(sg)
		_ = pr.cmd.Wait()
		pr.start(rs.t, rs.dir)
		time.Sleep(time.Second)
		rs.mu.Lock()
		delete(rs.draining, n)
		rs.mu.Unlock()
	})
}

func (rs *routerSite) pause(n int, du time.Duration) {
	rs.frozen.Go(func() {
		rs.routers[n].signal(syscall.SIGSTOP)
		time.Sleep(du)
		rs.routers[n].signal(syscall.SIGCONT)
	})
}

// revoke gives a key and takes it away again.
func (rs *routerSite) revoke() {
	rs.configure("key-of-a-moment")
	rs.configure("key-of-nobody")
}

// revokeCalmly takes a key away with no fault in force, and checks that no
// router takes it any more after a while.
func (rs *routerSite) revokeCalmly() {
	rs.configure("last-key")
	rs.configure("key-of-nobody")
	time.Sleep(revokedAfter)
	for n := range soakRouters {
		status, _, err := rs.ask(context.Background(), n, "/p/x", fmt.Sprint("revoked-", n), "last-key")
		rs.mu.Lock()
		rs.check(err == nil && status == http.StatusUnauthorized, "router %d answers %d (%v) to a key that was taken away", n, status, err)
		rs.mu.Unlock()
	}
}

// calm ends all faults.
func (rs *routerSite) calm() {
	rs.store.Set(standin.Faults{})
	for _, re := range rs.replicas {
		re.Set(standin.ReplicaFaults{})
	}
	for _, px := range rs.proxies {
		px.set(false, 0)
		px.reset()
	}
	rs.frozen.Wait()
	time.Sleep(5 * time.Second)
}

func (rs *routerSite) breach(format string, args ...any) {
	rs.breaches = append(rs.breaches, fmt.Sprintf(format, args...))
}

func (rs *routerSite) check(ok bool, format string, args ...any) {
	if !ok {
		rs.breach(format, args...)
	}
}

// ask sends one request and reads its whole answer.
func (rs *routerSite) ask(ctx context.Context, n int, path, id, key string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d%s", firstPort+10*n, path), strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	rq.GetBody, rq.Host = nil, routeHost
	rq.Header = http.Header{"Attempt-Id": {id}, "Key": {key}, "Deadline-Remaining": {"7000"}, "Model": {"*"}}
	res, err := fresh.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

var fresh = network.Real().UnpooledClient()

// caller sends requests of all kinds until ctx ends.
func (rs *routerSite) caller(ctx context.Context, me int) {
	for k := 0; ctx.Err() == nil; k++ {
		id, n := fmt.Sprintf("c%d-%d", me, k), (me+k)%soakRouters
		path := []string{"/s/x", "/u/x", "/p/x"}[k%3]
		sentAt := time.Now()
		status, body, err := rs.ask(ctx, n, path, id, "own")
		rs.mu.Lock()
		rs.requests++
		if path == "/u/x" {
			rs.unsafe = append(rs.unsafe, id)
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				rs.refused = append(rs.refused, id)
			}
		}
		if err == nil && status == http.StatusOK {
			rs.whole++
			rs.check(body == wantBody(path, id), "request %s got %q", id, body)
		}
		rs.check(status != http.StatusUnauthorized && status != http.StatusNotFound, "request %s was denied with %d", id, status)
		rs.check(time.Since(sentAt) < 9*time.Second, "request %s was held for %s", id, time.Since(sentAt))
		rs.mu.Unlock()
		time.Sleep(time.Duration(5+me) * time.Millisecond)
	}
}

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

// judge holds what callers saw against what replicas ran.
func (rs *routerSite) judge() {
	runs := map[string]int{}
	for _, re := range rs.replicas {
		for _, ru := range re.Runs() {
			runs[ru.Request]++
			rs.check(ru.Header.Get("Tenant") == "own" || strings.HasPrefix(ru.Request, "revoked-"), "request %s ran for tenant %q", ru.Request, ru.Header.Get("Tenant"))
		}
	}
	for _, id := range rs.unsafe {
		rs.check(runs[id] <= 1, "unsafe request %s ran %d times", id, runs[id])
	}
	for _, id := range rs.refused {
		rs.check(runs[id] == 0, "request %s was refused as not run, and ran", id)
	}
	rs.t.Logf("seed %d: %d requests, %d whole answers, %d unsafe, %d refused as not run, faults %v", *seed, rs.requests, rs.whole, len(rs.unsafe), len(rs.refused), rs.faults)
	qt.Assert(rs.t, rs.whole > rs.requests/3, qt.IsTrue)
	qt.Assert(rs.t, rs.breaches, qt.HasLen, 0)
}
