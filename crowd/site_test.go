package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

const (
	routers = 2
	// memoryMB is the memory of each router, in MiB.
	memoryMB = 48
	// maxDescriptors bounds the open descriptors of a router that serves a crowd. Each request
	// may have a connection of its own to a replica.
	maxDescriptors = 2*crowdSize + 200
	// answerLimit is within what an ordinary caller, which repeats its request, has to be served.
	// It is long so that it tells a router that hangs from a slow machine.
	answerLimit = 60 * time.Second
	// The paths of the routes.
	safePath, unsafePath, streamPath = "/places/", "/loans/", "/notes/"
	apiKey                           = "crowd-key"
	longBytes                        = 1 << 20
	longEvents                       = 1000
	eventBytes                       = 4 << 10
)

// site is two router processes before one replica of each service. The store and the replicas
// run in the test's process.
type site struct {
	t       *testing.T
	group   *worker.Group
	store   *standin.Store
	callers []string
	routers []*process
}

func newSite(t *testing.T) *site {
	si := &site{t: t, group: worker.NewGroup(), store: standin.NewStore()}
	t.Cleanup(si.group.Close)
	kv := si.serve(si.store.KVHandler())
	si.register("desk", si.serve(http.HandlerFunc(answerPlain)))
	si.register("scribes", si.serve(http.HandlerFunc(answerStream)))
	si.configure()
	var peers string
	for n := range routers {
		ad := freeAddresses(t, 5)
		if n == 0 {
			peers = ad[3]
		}
		text := fmt.Sprintf("[vm]\nid = router-%d\nsite = s\nfailure_domain = zone-a\n[listen]\ncallers = %s\nreadiness = %s\ndirectory = %s\npeers = %s\nadmin = %s\n"+
			"[store]\nurls = http://%s\n[peers]\nshared_key = key-of-the-crowd-site\nseeds = %s\nfanout = 1\n[serving]\nmemory_mb = %d\n[log]\nformat = json\nlevel = warning\n",
			n, ad[0], ad[1], ad[2], ad[3], ad[4], kv, peers, memoryMB)
		file := filepath.Join(t.TempDir(), "router.ini")
		qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
		si.callers = append(si.callers, ad[0])
		si.routers = append(si.routers, startProcess(t, file))
	}
	for n := range routers {
		si.awaitAnswer(n)
	}
	return si
}

// serve serves a handler on a free loopback address, which it returns, until the test ends.
func (si *site) serve(ha http.Handler) string {
	li, err := (&net.ListenConfig{}).Listen(si.t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(si.t, err, qt.IsNil)
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	si.group.Go(func(context.Context) { _ = sv.Serve(li) })
	si.t.Cleanup(func() { _ = sv.Close() })
	return li.Addr().String()
}

func (si *site) register(service, address string) {
	models := ""
	if service == "scribes" {
		models = `,"models":[{"name":"small","version":1},{"name":"large","version":1}]`
	}
	si.store.Write("servers/i-"+service, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":1000,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d%s}`,
		service, address, time.Now().UnixMilli(), models))
}

// configure writes the operator's configuration. The timeouts are long: the test's machine may
// be slow.
func (si *site) configure() {
	route := func(name, prefix, kind, service string) testsite.RouteConfiguration {
		return testsite.RouteConfiguration{Name: name, Host: testsite.RouteHost, Prefix: prefix, Kind: kind, TimeoutMS: 30_000, TargetLatencyMS: 10_000, Service: service, MaxAttempts: 2}
	}
	stream := route("r-notes", streamPath, "streaming", "scribes")
	stream.Sizes, stream.StreamResume, stream.TargetGapMS = []string{"small", "large"}, true, 5000
	out, err := json.Marshal(testsite.Configuration{
		Version: 1,
		Routes:  []testsite.RouteConfiguration{stream, route("r-loans", unsafePath, "unsafe", "desk"), route("r-places", safePath, "safe", "desk")},
		Services: []testsite.ServiceConfiguration{
			{Name: "scribes", HealthPath: "/health", MaxConnections: 1000, Engine: &testsite.EngineConfiguration{Slots: 1000, KVTokens: 1_000_000}},
			{Name: "desk", HealthPath: "/health", MaxConnections: 1000},
		},
		Limits:  testsite.LimitsConfiguration{MaxHeaderBytes: 16_384, MaxBodyBytes: 65_536, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants: []testsite.TenantConfiguration{{Name: "survey", APIKeys: []string{apiKey}}},
	})
	qt.Assert(si.t, err, qt.IsNil)
	si.store.Write("op/config", out)
}

func setAnswerHead(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set("Attempt-Id", rq.Header.Get("Attempt-Id"))
	wr.Header().Set("Response-Signature", "signed")
}

// answerPlain answers as a plain replica: at length where the path ends with "long".
func answerPlain(wr http.ResponseWriter, rq *http.Request) {
	_, _ = io.Copy(io.Discard, rq.Body)
	setAnswerHead(wr, rq)
	if strings.HasSuffix(rq.URL.Path, "long") {
		_, _ = wr.Write(make([]byte, longBytes))
		return
	}
	_, _ = io.WriteString(wr, "answer")
}

// answerStream answers as an engine: with events as fast as they are read.
func answerStream(wr http.ResponseWriter, rq *http.Request) {
	setAnswerHead(wr, rq)
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.Header().Set("Confidence", "95")
	for n := range longEvents {
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", eventBytes)); err != nil {
			return
		}
	}
}

// awaitAnswer sends an ordinary request to a router, again and again, until it is answered.
func (si *site) awaitAnswer(n int) {
	si.t.Helper()
	cl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerLimit}
	var last string
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !si.routers[n].alive() {
			si.t.Fatalf("router %d has ended: %s", n, si.routers[n].output())
		}
		if last = si.ask(cl, n); last == "200 answer" {
			return
		}
	}
	si.t.Fatalf("router %d does not answer an ordinary request: %s", n, last)
}

// ask sends an ordinary request to a router, and returns the status and the body of the answer.
func (si *site) ask(cl *http.Client, n int) string {
	rq, err := http.NewRequestWithContext(si.t.Context(), http.MethodGet, "http://"+si.callers[n]+safePath+"one", nil)
	qt.Assert(si.t, err, qt.IsNil)
	rq.Host = testsite.RouteHost
	rq.Header = http.Header{"Attempt-Id": {fmt.Sprint(rand.Int64())}, "Key": {apiKey}, "Deadline-Remaining": {"20000"}}
	an, err := cl.Do(rq)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = an.Body.Close() }()
	body, err := io.ReadAll(an.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(an.StatusCode, " ", string(body))
}

// firstPort and lastPort bound the ports of routers. They lie below those that the system gives to
// outgoing connections.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freeAddresses returns loopback addresses whose ports are free now.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for tries := 0; len(out) < n && tries < lastPort-firstPort; tries++ {
		li, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			defer func() { _ = li.Close() }()
			out = append(out, li.Addr().String())
		}
	}
	qt.Assert(t, out, qt.HasLen, n)
	return out
}
