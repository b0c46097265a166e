// Package golden_test runs the scripts in testdata, which are sessions of operators and
// callers, against the programs, and compares the output with golden files.
package golden_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// programDir is the directory of the programs, which TestMain builds once.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "tanager-golden")
	if err != nil {
		panic(err)
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	programDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSessions runs each script of testdata. With UPDATE_GOLDEN set it rewrites the
// golden files instead of comparing them.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		Setup:               setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"call":        callCommand,
			"await":       awaitCommand,
			"await-store": awaitStoreCommand,
		},
	})
}

// setup puts the programs on the script's PATH, sets environment variables with
// addresses that no other script uses, and puts these into the script's files.
func setup(en *testscript.Env) error {
	en.Setenv("PATH", programDir+string(filepath.ListSeparator)+os.Getenv("PATH"))
	en.Setenv("USER", "asha")
	for _, name := range []string{"STORE", "VMS", "ENGINE", "DESK", "CALLERS1", "ADMIN1", "PEERS1", "CALLERS2", "ADMIN2", "PEERS2"} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		en.Setenv(name, address)
	}
	en.Setenv("TANAGER_STORE", "http://"+en.Getenv("STORE"))
	en.Setenv("TANAGER_ADMIN", en.Getenv("ADMIN1"))
	return expandFiles(en)
}

var (
	portMu   sync.Mutex
	nextPort = 20000 + os.Getpid()%10000
)

// freeAddress returns an address that no other script has. Its port lies below the
// system's ephemeral ports: an outgoing connection could take one of these before the
// script's program listens on it.
func freeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		li, err := net.Listen("tcp", address)
		if err == nil {
			return address, li.Close()
		}
	}
	return "", errors.New("no free port on 127.0.0.1 after 1000 tries")
}

// expandFiles replaces ${NAME} in the script's .ini and .json files by the environment
// variable NAME.
func expandFiles(en *testscript.Env) error {
	for _, pattern := range []string{"*.ini", "*.json"} {
		files, err := filepath.Glob(filepath.Join(en.WorkDir, pattern))
		if err != nil {
			return err
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			if err := os.WriteFile(file, []byte(os.Expand(string(text), en.Getenv)), 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitCommand implements "await URL [header...]": it blocks until a GET of the URL is
// answered with status 200. Headers are given as for call.
func awaitCommand(ts *testscript.TestScript, _ bool, args []string) {
	for range 200 {
		rq, err := http.NewRequest(http.MethodGet, args[0], nil)
		ts.Check(err)
		addHeaders(rq, args[1:])
		rs, err := http.DefaultClient.Do(rq)
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s: no answer with status 200 after 200 tries", args[0])
}

// awaitStoreCommand implements "await-store": it blocks until the store answers, with
// any status.
func awaitStoreCommand(ts *testscript.TestScript, _ bool, _ []string) {
	for range 200 {
		rs, err := http.Post("http://"+ts.Getenv("STORE")+"/v3/kv/range", "application/json", strings.NewReader(`{"key":"eA=="}`))
		if err == nil {
			_ = rs.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("the store did not answer after 200 tries")
}

// printedHeaders are the response headers that the command call prints.
var printedHeaders = []string{
	"X-Tanager-Ran", "X-Tanager-Version", "X-Tanager-Endpoint", "X-Tanager-Session-Moved", "Idempotent-Replayed", "Retry-After",
}

// callCommand implements "call METHOD URL BODY [header...]": it sends a request, and
// prints the answer's status, printedHeaders and body, normalised. A header is given as
// "Name: value".
func callCommand(ts *testscript.TestScript, _ bool, args []string) {
	rq, err := http.NewRequest(args[0], args[1], strings.NewReader(args[2]))
	ts.Check(err)
	addHeaders(rq, args[3:])
	rs, err := http.DefaultClient.Do(rq)
	ts.Check(err)
	body, err := io.ReadAll(rs.Body)
	ts.Check(err)
	ts.Check(rs.Body.Close())
	var out bytes.Buffer
	fmt.Fprintln(&out, rs.StatusCode)
	for _, name := range printedHeaders {
		if va := rs.Header.Get(name); va != "" {
			fmt.Fprintf(&out, "%s: %s\n", name, va)
		}
	}
	fmt.Fprintln(&out, strings.TrimSpace(string(body)))
	_, err = ts.Stdout().Write([]byte(normalise(out.String())))
	ts.Check(err)
}

// addHeaders sets headers given as "Name: value".
func addHeaders(rq *http.Request, headers []string) {
	for _, he := range headers {
		name, va, _ := strings.Cut(he, ": ")
		rq.Header.Set(name, va)
	}
}

// volatileTexts are the parts of an answer that differ from run to run.
var volatileTexts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\b[0-9A-HJKMNP-TV-Z]{26}\b`), "ULID"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
}

// normalise replaces volatileTexts by constants.
func normalise(text string) string {
	for _, vt := range volatileTexts {
		text = vt.pattern.ReplaceAllString(text, vt.replacement)
	}
	return text
}
