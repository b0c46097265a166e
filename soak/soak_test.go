//go:build soak

// Package soak_test runs a site of processes on the loopback interface under faults and
// signals, chosen at random from a seed, and counts violations of the invariants.
package soak_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/bill"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

var (
	seed   = flag.Uint64("seed", 1, "seed of the faults")
	length = flag.Duration("length", 3*time.Minute, "how long faults come")
	// Router n uses the five ports from *firstPort+10*n on: callers, readiness, directory,
	// peers and admin.
	firstPort = flag.Int("port", 9100, "port for callers of the first router")
)

const (
	entries  = 4
	stewards = 2
	engines  = 3
	desks    = 2 // endpoints of the service "desk"
	callers  = 12
	// recoveryTime is the time from the end of the faults to the check of the
	// invariants. Until then every bill must be in the store.
	recoveryTime = 30 * time.Second

	storeAddress = "127.0.0.1:8600"
	vmsAddress   = "127.0.0.1:8601"
)

func callersAddress(n int) string { return fmt.Sprintf("127.0.0.1:%d", 8800+n) }
func peersAddress(n int) string   { return fmt.Sprintf("127.0.0.1:%d", 8700+n) }
func engineAddress(n int) string  { return fmt.Sprintf("127.0.0.1:%d", 8610+n) }
func deskAddress(n int) string    { return fmt.Sprintf("127.0.0.1:%d", 8640+n) }

// process is a program that can be killed and started again. The first of args is the
// name of its binary.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	mu   sync.Mutex
}

// start starts the program from dir. Its output is appended to a log file there.
func (pr *process) start(t *testing.T, dir string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(dir, pr.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	pr.cmd = exec.Command(filepath.Join(dir, pr.args[0]), pr.args[1:]...)
	pr.cmd.Stdout, pr.cmd.Stderr = log, log
	qt.Assert(t, pr.cmd.Start(), qt.IsNil)
}

func (pr *process) signal(sg syscall.Signal) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	_ = pr.cmd.Process.Signal(sg)
}

func (pr *process) kill() {
	pr.signal(syscall.SIGKILL)
	_ = pr.cmd.Wait()
}

// site holds the processes of a site and what its callers received.
type site struct {
	t        *testing.T
	dir      string
	rng      *rand.Rand
	entries  []*process
	stewards []*process
	engines  []*process
	others   []*process

	mu       sync.Mutex
	requests int
	faults   map[string]int
	// bills holds the bill IDs of the complete answers.
	bills []string
	// notRun holds the idempotency keys of the calls answered as not run.
	notRun []string
	// sessions maps a session to its newest token.
	sessions map[string]string
	// moved counts the answers of another version than that of their session, wrong
	// those with a text other than the expected one.
	moved int
	wrong int
}

// TestSoak sends chat requests and calls to entries while faults are injected. It
// checks that no call ran twice or ran although it was answered as not run, that
// every complete answer is billed once, that sessions keep their version, and that
// answers are not mixed up.
func TestSoak(t *testing.T) {
	si := &site{t: t, dir: t.TempDir(), rng: rand.New(rand.NewPCG(*seed, 0)), faults: map[string]int{}, sessions: map[string]string{}}
	out, err := exec.Command("go", "build", "-o", si.dir+"/", "../cmd/...").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	si.startAll()
	t.Cleanup(si.stopAll)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { si.runCaller(n, stop) })
	}
	end := time.Now().Add(*length)
	for time.Now().Before(end) {
		si.injectFault()
		time.Sleep(time.Duration(500+si.rng.IntN(2500)) * time.Millisecond)
	}
	si.endFaults()
	close(stop)
	wg.Wait()
	time.Sleep(recoveryTime)
	si.verify()
}

// startAll starts the stand-ins, writes the policy to the store, and then starts the
// entries and stewards.
func (si *site) startAll() {
	add := func(name string, args ...string) *process {
		pr := &process{name: name, args: args}
		pr.start(si.t, si.dir)
		return pr
	}
	si.writeFiles()
	si.others = append(si.others,
		add("store", "tanager-standin", "store", "--listen", storeAddress),
		add("vms", "tanager-standin", "vms", "--listen", vmsAddress, "--file", filepath.Join(si.dir, "vms.json")))
	for n := 1; n <= engines; n++ {
		si.engines = append(si.engines, add(fmt.Sprint("engine-", n), "tanager-standin", "engine", "--listen", engineAddress(n), "--prefill", "30ms", "--token", "8ms"))
	}
	for n := 1; n <= desks; n++ {
		si.others = append(si.others, add(fmt.Sprint("desk-", n), "tanager-standin", "plain", "--listen", deskAddress(n)))
	}
	time.Sleep(time.Second)
	out, err := exec.Command(filepath.Join(si.dir, "tanagerctl"), "--store", "http://"+storeAddress, "apply", filepath.Join(si.dir, "policy.json")).CombinedOutput()
	qt.Assert(si.t, err, qt.IsNil, qt.Commentf("%s", out))
	for n := 1; n <= entries; n++ {
		si.entries = append(si.entries, add(fmt.Sprint("entry-", n), "tanager-entry", "run", "-c", filepath.Join(si.dir, fmt.Sprintf("entry-%d.ini", n))))
	}
	for n := 1; n <= stewards; n++ {
		si.stewards = append(si.stewards, add(fmt.Sprint("steward-", n), "tanager-steward", "run", "-c", filepath.Join(si.dir, fmt.Sprintf("steward-%d.ini", n))))
	}
	time.Sleep(3 * time.Second)
}

// writeFiles writes the policy, the VM list and the settings of the programs.
func (si *site) writeFiles() {
	record := func(kind, id, spec string) string {
		return fmt.Sprintf(`{"schema_version":2,"kind":%q,"id":%q,"spec":%s}`, kind, id, spec)
	}
	records := []string{
		record("rank", "standard", `{"order":0,"deadline_ms":20000}`),
		record("model", "m", `{"stable_version":"m-1"}`),
		record("version", "m-1", `{"model":"m","cost":{"input":1,"output":2}}`),
		record("version", "m-2", `{"model":"m","cost":{"input":1,"output":2}}`),
		record("rollout", "r", `{"model":"m","from_version":"m-1","to_version":"m-2","share":0.4,"state":"PAUSED"}`),
		record("service", "desk", `{"cost_per_call":100,"timeout_ms":3000}`),
		record("organisation", "chest", fmt.Sprintf(`{"key_hashes":[%q],"allowed_models":["m"],"allowed_services":["desk"]}`, policy.HashKey("chest"))),
	}
	var vms []string
	for n := 1; n <= engines; n++ {
		records = append(records, record("endpoint", fmt.Sprint("engine-", n), fmt.Sprintf(`{"url":"http://%s","failure_domain":"fd-%d","versions":["m-1","m-2"],"echoes_request_id":true}`, engineAddress(n), n%3)))
	}
	for n := 1; n <= desks; n++ {
		records = append(records, record("endpoint", fmt.Sprint("desk-", n), fmt.Sprintf(`{"kind":"PLAIN","url":"http://%s","failure_domain":"fd-%d","service":"desk"}`, deskAddress(n), n%3)))
	}
	for n := 1; n <= entries+stewards; n++ {
		name, file := fmt.Sprint("entry-", n), fmt.Sprintf("entry-%d.ini", n)
		if n > entries {
			name, file = fmt.Sprint("steward-", n-entries), fmt.Sprintf("steward-%d.ini", n-entries)
		} else {
			vms = append(vms, fmt.Sprintf(`{"targets":[%q],"labels":{"vm":%q,"role":"entry","state":"live"}}`, peersAddress(n), name))
		}
		text := fmt.Sprintf("[vm]\nid = %s\nsite = soak\nfailure_domain = fd-%d\n[listen]\ncallers = %s\nadmin = 127.0.0.1:%d\npeers = %s\n[store]\nurls = http://%s\n[platform]\nvm_list_url = http://%s/vms\n[peers]\nshared_key = soak-shared-key-123\n",
			name, n%3, callersAddress(n), 8900+n, peersAddress(n), storeAddress, vmsAddress)
		si.write(file, text)
	}
	si.write("policy.json", `{"records":[`+strings.Join(records, ",")+`]}`)
	si.write("vms.json", "["+strings.Join(vms, ",")+"]")
}

func (si *site) write(name, text string) {
	qt.Assert(si.t, os.WriteFile(filepath.Join(si.dir, name), []byte(text), 0o600), qt.IsNil)
}

func (si *site) stopAll() {
	for _, prs := range [][]*process{si.entries, si.stewards, si.engines, si.others} {
		for _, pr := range prs {
			pr.kill()
		}
	}
}

// setFaults replaces the faults of a stand-in. Errors are ignored.
func setFaults(address, faults string) {
	rs, err := http.Post("http://"+address+"/standin/faults", "application/json", strings.NewReader(faults))
	if err == nil {
		_ = rs.Body.Close()
	}
}

// injectFault injects a random fault and blocks until it is over. Faults that a
// stand-in applies to its next requests are the exception and may last longer.
func (si *site) injectFault() {
	faults := []struct {
		name string
		run  func()
	}{
		{"entry killed", func() {
			pr := si.entries[si.rng.IntN(entries)]
			pr.kill()
			time.Sleep(time.Duration(si.rng.IntN(4000)) * time.Millisecond)
			pr.start(si.t, si.dir)
		}},
		{"two entries killed", func() {
			a := si.rng.IntN(entries)
			b := (a + 1) % entries
			si.entries[a].kill()
			si.entries[b].kill()
			time.Sleep(3 * time.Second)
			si.entries[a].start(si.t, si.dir)
			si.entries[b].start(si.t, si.dir)
		}},
		{"entry paused", func() {
			pr := si.entries[si.rng.IntN(entries)]
			pr.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(1000+si.rng.IntN(7000)) * time.Millisecond)
			pr.signal(syscall.SIGCONT)
		}},
		{"steward paused past its lease", func() {
			pr := si.stewards[si.rng.IntN(stewards)]
			pr.signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			pr.signal(syscall.SIGCONT)
		}},
		{"steward killed", func() {
			pr := si.stewards[si.rng.IntN(stewards)]
			pr.kill()
			pr.start(si.t, si.dir)
		}},
		{"store down", func() {
			setFaults(storeAddress, `{"down":true}`)
			time.Sleep(time.Duration(1000+si.rng.IntN(8000)) * time.Millisecond)
			setFaults(storeAddress, `{}`)
		}},
		{"store frozen", func() {
			setFaults(storeAddress, `{"freeze":true}`)
			time.Sleep(time.Duration(1000+si.rng.IntN(5000)) * time.Millisecond)
			setFaults(storeAddress, `{}`)
		}},
		{"store slow", func() {
			setFaults(storeAddress, `{"delay_ms":300}`)
			time.Sleep(3 * time.Second)
			setFaults(storeAddress, `{}`)
		}},
		{"store loses responses", func() { setFaults(storeAddress, fmt.Sprintf(`{"lose_answers":%d}`, 1+si.rng.IntN(10))) }},
		{"engine breaks streams", func() { setFaults(engineAddress(1+si.rng.IntN(engines)), `{"cut_after":4,"cut_streams":5}`) }},
		{"engine goes silent", func() { setFaults(engineAddress(1+si.rng.IntN(engines)), `{"silent_after":4,"silent_streams":3}`) }},
		{"engine answers with other request IDs", func() { setFaults(engineAddress(1+si.rng.IntN(engines)), `{"cross_answers":3}`) }},
		{"engine killed", func() {
			pr := si.engines[si.rng.IntN(engines)]
			pr.kill()
			time.Sleep(2 * time.Second)
			pr.start(si.t, si.dir)
		}},
		{"desk loses responses", func() { setFaults(deskAddress(1+si.rng.IntN(desks)), `{"lose_answers":2}`) }},
	}
	fa := faults[si.rng.IntN(len(faults))]
	si.mu.Lock()
	si.faults[fa.name]++
	si.mu.Unlock()
	fa.run()
}

// endFaults ends the faults of all stand-ins.
func (si *site) endFaults() {
	setFaults(storeAddress, `{}`)
	for n := 1; n <= engines; n++ {
		setFaults(engineAddress(n), `{}`)
	}
	for n := 1; n <= desks; n++ {
		setFaults(deskAddress(n), `{}`)
	}
}

// runCaller sends requests to the entries in turn until stop is closed: two chat
// requests of a session, then a call with an idempotency key.
func (si *site) runCaller(n int, stop chan struct{}) {
	client := network.Real().UnpooledClient()
	client.Timeout = 30 * time.Second
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		address := callersAddress(1 + (n+i)%entries)
		si.mu.Lock()
		si.requests++
		si.mu.Unlock()
		if i%3 == 2 {
			si.checkout(client, address, fmt.Sprintf("%d-%d", n, i))
			continue
		}
		si.chat(client, address, n, i)
	}
}

// chat sends a chat request of session n and checks the answer if it is complete.
func (si *site) chat(client *http.Client, address string, n, i int) {
	tokens := 3 + i%20
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"sheet %d"}]}`, tokens, i%2 == 0, n)
	rq, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	qt.Check(si.t, err, qt.IsNil)
	rq.Header.Set("Authorization", "Bearer chest")
	session := fmt.Sprint("s-", n)
	si.mu.Lock()
	token := si.sessions[session]
	si.mu.Unlock()
	if token != "" {
		rq.Header.Set("X-Tanager-Session", token)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return
	}
	text, err := io.ReadAll(rs.Body)
	_ = rs.Body.Close()
	if err != nil || rs.StatusCode != http.StatusOK {
		return
	}
	got := gjson.GetBytes(text, "choices.0.message.content").Str
	if i%2 == 0 {
		if !bytes.Contains(text, []byte("data: [DONE]")) {
			return
		}
		got = ""
		for line := range strings.Lines(string(text)) {
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				got += gjson.Get(data, "choices.0.delta.content").Str
			}
		}
	}
	version := rs.Header.Get("X-Tanager-Version")
	want := ""
	for k := range tokens {
		want += fmt.Sprintf("%s-%d ", version, k)
	}
	si.mu.Lock()
	defer si.mu.Unlock()
	si.bills = append(si.bills, rs.Header.Get("X-Tanager-Bill"))
	if got != want {
		si.wrong++
		si.t.Errorf("text of a complete answer is %q, want %q", got, want)
	}
	if token != "" && sessionVersion(token) != version {
		si.moved++
	}
	si.sessions[session] = rs.Header.Get("X-Tanager-Session")
}

// sessionVersion returns the version that a session token names, without checking the
// signature.
func sessionVersion(token string) string {
	text, _, _ := strings.Cut(token, ".")
	var cl struct {
		V string `json:"v"`
	}
	raw, _ := base64.RawURLEncoding.DecodeString(text)
	_ = json.Unmarshal(raw, &cl)
	return cl.V
}

// checkout sends a call to the service "desk" that must run at most once. It records
// the call's key if the answer says that it was not run, or else the bill of an answer
// with status 200.
func (si *site) checkout(client *http.Client, address, key string) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/desk/checkout", strings.NewReader("{}"))
	qt.Check(si.t, err, qt.IsNil)
	rq.Header.Set("Authorization", "Bearer chest")
	rq.Header.Set("Idempotency-Key", key)
	rs, err := client.Do(rq)
	if err != nil {
		return
	}
	_ = rs.Body.Close()
	si.mu.Lock()
	defer si.mu.Unlock()
	switch {
	case rs.Header.Get("X-Tanager-Ran") == "not_run":
		si.notRun = append(si.notRun, key)
	case rs.StatusCode == http.StatusOK:
		si.bills = append(si.bills, rs.Header.Get("X-Tanager-Bill"))
	}
}

// verify compares what callers received with what the stand-ins ran and what is billed.
// It prints the numbers of violations and fails the test unless all are 0.
func (si *site) verify() {
	ran := map[string]int{}
	for n := 1; n <= desks; n++ {
		rs, err := http.Get("http://" + deskAddress(n) + "/standin/ran")
		qt.Assert(si.t, err, qt.IsNil)
		one := map[string]int{}
		qt.Check(si.t, json.NewDecoder(rs.Body).Decode(&one), qt.IsNil)
		_ = rs.Body.Close()
		for key, count := range one {
			ran[key] += count
		}
	}
	// falseNotRun counts the calls that ran although they were answered as not run.
	runTwice, falseNotRun := 0, 0
	for _, count := range ran {
		if count > 1 {
			runTwice++
		}
	}
	for _, key := range si.notRun {
		if ran[key] > 0 {
			falseNotRun++
		}
	}
	cl := store.NewClient(store.Options{URLs: []string{"http://" + storeAddress}, Timeout: 5 * time.Second, Dial: network.Real().Dial})
	defer cl.Close()
	li, err := bill.List(si.t.Context(), cl, "tanager/")
	qt.Assert(si.t, err, qt.IsNil)
	stored := map[string]bool{}
	for _, bi := range append(li.Bills, li.Repeated...) {
		stored[bi.GetId()] = true
	}
	lost := 0
	for _, id := range si.bills {
		if !stored[id] {
			lost++
		}
	}
	billedTwice := li.Stored - len(li.Bills) - len(li.Repeated)
	fmt.Printf("seed %d: %d requests, %d complete answers, faults %v\n", *seed, si.requests, len(si.bills), si.faults)
	fmt.Printf("violations: calls run twice %d, false not-run %d, bills lost %d, billed twice %d, sessions moved %d, wrong answers %d\n",
		runTwice, falseNotRun, lost, billedTwice, si.moved, si.wrong)
	qt.Check(si.t, runTwice+falseNotRun+lost+billedTwice+si.moved+si.wrong, qt.Equals, 0)
	qt.Check(si.t, len(si.bills) > 100, qt.IsTrue)
}
