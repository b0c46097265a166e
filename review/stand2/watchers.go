package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	deskCount = 3
	deskSlots = 6
	deskDelay = 30 * time.Millisecond
	// rounds is how often the machines that watch the store lose their power, and settleTime the
	// time before each.
	rounds     = 6
	settleTime = 8 * time.Second
	// versionGap is the time between two versions, as in a storm of the site file. The power is
	// lost in between.
	versionGap = 80 * time.Millisecond
	// configApply is config_apply_ms. measureTime is for how long after the acknowledgement requests
	// with the key that was taken away are sent, sendInterval apart at each machine.
	configApply  = 2 * time.Second
	measureTime  = 5 * time.Second
	sendInterval = 10 * time.Millisecond
	dumpTime     = time.Second
)

// watchCase is the state of a play of the case in which the routers that watch the store lose their
// power.
type watchCase struct {
	si      *site
	version int
	desks   []*standin.Replica
	// keys are those of the tenant; a round takes the last one away.
	keys []string
	sent atomic.Int64

	mu sync.Mutex
	// late holds the requests with a key that was taken away, sent too late, that were answered with a
	// success, by their ids.
	late []string
}

// playSilentWatchers takes a key away while the routers that watch the store lose their power, in
// some rounds, and counts the requests with it that run although they are sent too late.
func playSilentWatchers(si *site, trouble bool) (bool, error) {
	wc := &watchCase{si: si, keys: []string{callerKey}}
	for n := range rounds {
		wc.keys = append(wc.keys, fmt.Sprintf("key-%d-of-the-tenant", n))
	}
	wc.configure()
	err := wc.startDesks()
	if err == nil {
		err = si.startRouters()
	}
	if err == nil {
		err = si.awaitReady()
	}
	for n := 0; n < rounds && err == nil; n++ {
		time.Sleep(settleTime)
		err = wc.round(n, trouble)
	}
	if err != nil {
		return false, err
	}
	return wc.judge(), nil
}

// configure writes the next version.
func (wc *watchCase) configure() {
	wc.version++
	wc.si.store.Write("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-desk","host":%q,"prefix":"/desk/","kind":"safe","timeout_ms":%d,"target_latency_ms":150,`+
		`"priority":2,"service":"desk","max_attempts":2,"public":false,"session_affinity":false}],"services":[{"name":"desk","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["%s"],"priority":1}]}`,
		wc.version, routeHost, 800+wc.version, strings.Join(wc.keys, `","`)))
	wc.si.record.add("operator: version %d is acknowledged, with %d keys", wc.version, len(wc.keys))
}

// startDesks starts the replicas of the plain service.
func (wc *watchCase) startDesks() error {
	for n := range deskCount {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		id := fmt.Sprintf("i-desk-%d", n)
		re := standin.NewReplica(standin.ReplicaOptions{ID: id, Delay: deskDelay})
		wc.desks = append(wc.desks, re)
		serveOn(wc.si.group, li, re.Handler())
		wc.si.store.Write("servers/"+id, fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
			li.Addr().String(), zoneOf(n), deskSlots, time.Now().UnixMilli()))
	}
	return nil
}

// round lets the routers that watch the store lose their power between two versions, the second of
// which takes a key away, and starts them again when it has been looked at.
func (wc *watchCase) round(n int, trouble bool) error {
	watchers, err := wc.watchers()
	if err != nil {
		return err
	}
	wc.configure()
	time.Sleep(versionGap)
	rest := wc.si.routers
	if trouble {
		rest = without(rest, watchers)
		for _, rp := range watchers {
			rp.signal(syscall.SIGSTOP)
		}
	}
	gone := wc.keys[len(wc.keys)-1]
	wc.keys = wc.keys[:len(wc.keys)-1]
	wc.configure()
	acked := time.Now()
	var wg sync.WaitGroup
	for _, rp := range rest {
		wg.Go(func() { wc.use(n, rp, gone, acked) })
	}
	wg.Wait()
	if !trouble {
		return nil
	}
	var errs []error
	for _, rp := range watchers {
		rp.kill()
		errs = append(errs, rp.start())
	}
	return errors.Join(append(errs, wc.si.awaitReady())...)
}

func without(all, some []*routerProcess) []*routerProcess {
	var out []*routerProcess
	for _, rp := range all {
		found := false
		for _, other := range some {
			found = found || other == rp
		}
		if !found {
			out = append(out, rp)
		}
	}
	return out
}

// watchers returns the routers that watch the store for all, as their dumps say.
func (wc *watchCase) watchers() ([]*routerProcess, error) {
	for _, rp := range wc.si.routers {
		rp.signal(syscall.SIGUSR1)
	}
	time.Sleep(dumpTime)
	var out []*routerProcess
	for _, rp := range wc.si.routers {
		text, err := os.ReadFile(rp.file + ".log")
		if err != nil {
			return nil, err
		}
		dump := string(text)
		if strings.HasPrefix(dump[strings.LastIndex(dump, `"store_watch"`)+1:], `store_watch": "rank"`) {
			wc.si.record.add("%s watches the store", rp.name)
			out = append(out, rp)
		}
	}
	if len(out) == 0 {
		return nil, errors.New("no router says that it watches the store")
	}
	return out, nil
}

// use sends a router requests with a key that was taken away, and notes those that were sent too
// late and succeed.
func (wc *watchCase) use(n int, rp *routerProcess, key string, acked time.Time) {
	for time.Since(acked) < measureTime {
		id := fmt.Sprintf("%s-%d-%d", rp.name, n, wc.sent.Add(1))
		after := time.Since(acked)
		status := get(rp.callers, id, key)
		if status != http.StatusUnauthorized && after > configApply {
			wc.si.record.add("client: %s, sent to %s %.3f s after the acknowledgement with the key that it took away, gets %d", id, rp.name, after.Seconds(), status)
		}
		if status == http.StatusOK && after > configApply {
			wc.mu.Lock()
			wc.late = append(wc.late, id)
			wc.mu.Unlock()
		}
		if status == http.StatusUnauthorized {
			wc.si.record.add("client: %s refuses the key %.3f s after the acknowledgement", rp.name, after.Seconds())
			return
		}
		time.Sleep(sendInterval)
	}
}

// get sends a request on a new connection, and returns the status of its answer, 0 without one.
func get(address, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/desk/"+id, nil)
	if err != nil {
		return 0
	}
	rq.Host, rq.Close = routeHost, true
	rq.Header = http.Header{"Attempt-Id": {id}, "Key": {key}, "Deadline-Remaining": {"1500"}}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0
	}
	defer func() { _ = rs.Body.Close() }()
	_, _ = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode
}

// judge records which of the late requests have run, and checks the rule.
func (wc *watchCase) judge() (broken bool) {
	late := map[string]bool{}
	for _, id := range wc.late {
		late[id] = true
	}
	ran := 0
	for _, re := range wc.desks {
		for _, ru := range re.Runs() {
			if late[ru.Request] {
				ran++
				wc.si.record.addAt(ru.At, "replica %s runs %s", ru.Header.Get("Expect-Instance"), ru.Request)
			}
		}
	}
	wc.si.record.add("CONFIG: %d requests ran with a key that had been taken away more than %v before they were sent, by machines in touch; none may", ran, configApply)
	return ran > 0
}
