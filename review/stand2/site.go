package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/worker"
)

// The deployment: machines and bounds of the site bagmati-drawers.
const (
	routerCount = 8
	spareCount  = 3
	zoneCount   = 3
	// contact is contact_ms, the time after which a machine that was killed is in touch again.
	contact = 3 * time.Second
	// readyTimeout is how long the routers may take to be ready.
	readyTimeout = 15 * time.Second
	seedCount    = 3
	portsEach    = 5
)

// bounds are the values of the settings template that are the same for all machines.
var bounds = map[string]string{
	"region": "np-central", "ip": "127.0.0.1", "limits.link_mbps": "1000", "limits.memory_mb": "134",
	"bounds.grace_s": "8", "bounds.retry_window_s": "10", "bounds.retry_budget_ratio": "0.9", "bounds.retry_slack": "56", "bounds.session_s": "5",
}

// site is a deployment on loopback addresses.
type site struct {
	root, dir string
	record    *record
	store     *standin.Store
	storeAt   string
	routers   []*routerProcess
	// group runs the servers of the stand-ins.
	group *worker.Group
}

// routerProcess is a router on a machine of its own.
type routerProcess struct {
	site                        *site
	name, file                  string
	callers, ready, directoryAt string
	cmd                         *exec.Cmd
}

// newSite starts the store and prepares the settings of a number of routers.
func newSite(root, dir string, routers int) (*site, error) {
	si := &site{root: root, dir: dir, record: newRecord(), store: standin.NewStore(), group: worker.NewGroup()}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	si.storeAt = li.Addr().String()
	serveOn(si.group, li, si.store.KVHandler())
	template, err := os.ReadFile(filepath.Join(root, "deploy", "router.ini"))
	if err != nil {
		return nil, err
	}
	ports, err := freeAddresses(routers * portsEach)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for n := range seedCount {
		seeds = append(seeds, ports[n*portsEach+3])
	}
	for n := range routers {
		if err := si.addRouter(n, string(template), ports[n*portsEach:][:portsEach], strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	return si, nil
}

// addRouter writes the settings of a router.
func (si *site) addRouter(n int, template string, addresses []string, seeds string) error {
	zone := zoneOf(n)
	rp := &routerProcess{site: si, name: fmt.Sprintf("edge-%s-%d", zone, n/zoneCount+1), callers: addresses[0], ready: addresses[1], directoryAt: addresses[2]}
	_, adminPort, _ := net.SplitHostPort(addresses[4])
	values := map[string]string{
		"node_name": rp.name, "zone": zone, "seeds": seeds, "platform.address": si.storeAt, "internal_ports.0": adminPort,
		"listen.frontend": addresses[0], "listen.readiness": addresses[1], "listen.directory": addresses[2], "listen.control": addresses[3],
	}
	for name, value := range bounds {
		values[name] = value
	}
	rp.file = filepath.Join(si.dir, rp.name+".toml")
	si.routers = append(si.routers, rp)
	return os.WriteFile(rp.file, []byte(render(template, values)), 0o600) //nolint:gosec // the file is in this program's own folder
}

func zoneOf(n int) string { return "np-central-" + string(rune('a'+n%zoneCount)) }

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var out []string
	for range count {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = li.Close() }()
		out = append(out, li.Addr().String())
	}
	return out, nil
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

// start starts the router's process with the command of the deploy file.
func (rp *routerProcess) start() error {
	log, err := os.OpenFile(rp.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	rp.cmd = exec.Command("target/tanager-router", "run", "-c", rp.file) //nolint:gosec // the file is this program's own
	rp.cmd.Dir, rp.cmd.Stdout, rp.cmd.Stderr = rp.site.root, log, log
	rp.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := rp.cmd.Start(); err != nil {
		return err
	}
	rp.site.record.add("%s: process %d starts", rp.name, rp.cmd.Process.Pid)
	return nil
}

// signal sends a signal to the router's process.
func (rp *routerProcess) signal(sg syscall.Signal) {
	_ = rp.cmd.Process.Signal(sg)
	rp.site.record.add("%s: %v", rp.name, sg)
}

// kill ends the router's process at once.
func (rp *routerProcess) kill() {
	if rp.cmd == nil || rp.cmd.Process == nil {
		return
	}
	_ = rp.cmd.Process.Signal(syscall.SIGKILL)
	_ = rp.cmd.Wait()
	rp.cmd = nil
	rp.site.record.add("%s: SIGKILL", rp.name)
}

// startRouters starts all routers.
func (si *site) startRouters() error {
	var errs []error
	for _, rp := range si.routers {
		errs = append(errs, rp.start())
	}
	return errors.Join(errs...)
}

// awaitReady blocks until all routers say that they are ready.
func (si *site) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, rp := range si.routers {
		for !isReady(rp.ready) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", rp.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	si.record.add("all routers are ready")
	return nil
}

func isReady(address string) bool {
	hc := &http.Client{Timeout: time.Second}
	rs, err := hc.Get("http://" + address + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	return rs.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (si *site) close() {
	for _, rp := range si.routers {
		rp.kill()
	}
	si.group.Close()
}
