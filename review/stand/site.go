package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"tanagerpoint.example/tanager/standin"
)

const (
	// startTime is how long the routers run before traffic starts: the site's sheet says 10 s
	// after the machines.
	startTime = 5 * time.Second
	// routeHost is the host of all routes.
	routeHost = "ficu95.example"
	// tenantKey is the API key of the only tenant.
	tenantKey = "n2ctnfzs989anu6wsjnb"
	// maxSeeds is how many routers the settings name as seeds.
	maxSeeds = 3
	// edgeMachines and zones are the numbers of routers and failure domains on the sheet of
	// bagmati-drawers.
	edgeMachines = 8
	zones        = 3
	// mebibyte is the unit of memory_mb, taken large.
	mebibyte = 1 << 20
)

// siteOptions describe a site.
type siteOptions struct {
	routers int
	// memoryLimit is that of each router in bytes, 0 for none.
	memoryLimit int64
	// config returns the operator's first configuration.
	config func() string
}

// site is a small deployment on loopback addresses.
type site struct {
	options siteOptions
	files   files
	folder  string
	record  *recorder
	store   *standin.Store
	servers []*http.Server
	routers []*router
}

func newSite(opt siteOptions, fi files) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	re, err := newRecorder(fi.record)
	if err != nil {
		return nil, err
	}
	return &site{options: opt, files: fi, folder: folder, record: re, store: standin.NewStore()}, nil
}

// start starts the platform's store and the routers, and writes the first configuration.
func (si *site) start() error {
	kv, err := si.serve(si.store.KVHandler())
	if err != nil {
		return err
	}
	si.store.Write("op/config", []byte(si.options.config()))
	template, err := os.ReadFile(si.files.template)
	if err != nil {
		return err
	}
	var addresses [][]string
	for range si.options.routers {
		free, err := freeAddresses(5)
		if err != nil {
			return err
		}
		addresses = append(addresses, free)
	}
	var seeds []string
	for _, ad := range addresses[:min(maxSeeds, len(addresses))] {
		seeds = append(seeds, ad[3])
	}
	for n, ad := range addresses {
		ro := &router{
			name: fmt.Sprintf("edge-%d", n+1), callers: ad[0], program: si.files.program, record: si.record,
			settings: filepath.Join(si.folder, fmt.Sprintf("router-%d.ini", n)), log: filepath.Join(si.folder, fmt.Sprintf("router-%d.log", n)),
			memoryLimit: si.options.memoryLimit,
		}
		_, admin, _ := strings.Cut(ad[4], ":")
		text := render(string(template), map[string]string{
			"node_name": ro.name, "region": "np-central", "zone": zoneOf(n), "listen.frontend": ad[0], "listen.readiness": ad[1],
			"listen.directory": ad[2], "listen.control": ad[3], "ip": "127.0.0.1", "internal_ports.0": admin, "platform.address": kv,
			"seeds": strings.Join(seeds, ","), "limits.link_mbps": "1000.0", "bounds.grace_s": "8", "bounds.retry_window_s": "10",
			"bounds.retry_budget_ratio": "0.9", "bounds.retry_slack": "56", "bounds.session_s": "5",
		})
		if err := os.WriteFile(ro.settings, []byte(text), 0o600); err != nil { //nolint:gosec // a file in the case's own folder
			return err
		}
		si.routers = append(si.routers, ro)
		if err := ro.start(); err != nil {
			return err
		}
	}
	time.Sleep(startTime)
	return nil
}

func zoneOf(n int) string { return fmt.Sprintf("np-central-%c", 'a'+rune(n%zones)) }

// serve serves a handler on a free loopback address, which it returns.
func (si *site) serve(ha http.Handler) (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	si.servers = append(si.servers, sv)
	go func() { _ = sv.Serve(li) }()
	return li.Addr().String(), nil
}

// register writes the registration of a replica. models is a JSON list, "" for a plain service.
func (si *site) register(service, id, address, zone string, slots int, models string) {
	if models != "" {
		models = `,"models":` + models
	}
	si.store.Write("servers/"+id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d%s}`,
		service, address, zone, slots, time.Now().UnixMilli(), models))
}

// close ends all processes and servers and removes the folder.
func (si *site) close() {
	for _, ro := range si.routers {
		ro.stop()
	}
	for _, sv := range si.servers {
		_ = sv.Close()
	}
	si.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(si.folder)
	} else {
		fmt.Fprintln(os.Stderr, si.folder)
	}
}

// firstPort and lastPort bound the ports of routers. They lie below those that the system gives to
// outgoing connections, so that a router that is started again finds its ports free.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("there are no free ports")
		}
		li, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer func() { _ = li.Close() }()
		out = append(out, li.Addr().String())
	}
	return out, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the template of the settings as the platform does, as far as the template
// needs it.
func render(text string, values map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(all string) string {
		parts := section.FindStringSubmatch(all)
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	return placeholder.ReplaceAllStringFunc(text, func(all string) string {
		return values[placeholder.FindStringSubmatch(all)[1]]
	})
}
