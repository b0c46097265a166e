package crowd_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// sampleInterval is how often the memory and the descriptors of a process are looked at.
	sampleInterval = 2 * time.Millisecond
	// kibibyte is the unit of /proc/PID/status, in bytes.
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// program is the path of the router's program, which TestMain builds without the race detector:
// that multiplies memory.
var program string

func TestMain(mn *testing.M) { os.Exit(buildAndRun(mn)) }

func buildAndRun(mn *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "tanager-router")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/tanager-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return mn.Run()
}

// process is one router process. Its peaks are those of the samples since its start.
//
// mu guards the fields below it.
type process struct {
	cmd    *exec.Cmd
	log    *bytes.Buffer
	ended  chan struct{}
	stop   chan struct{}
	watch  sync.WaitGroup
	killed sync.Once

	mu              sync.Mutex
	peakBytes       int64
	peakDescriptors int
}

// startProcess starts a router, and stops it at the end of the test.
func startProcess(t *testing.T, settings string) *process {
	t.Helper()
	pr := &process{cmd: exec.Command(program, "run", "-c", settings), log: &bytes.Buffer{}, ended: make(chan struct{}), stop: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = pr.log, pr.log
	qt.Assert(t, pr.cmd.Start(), qt.IsNil)
	pr.watch.Go(func() {
		_ = pr.cmd.Wait()
		close(pr.ended)
	})
	pr.watch.Go(pr.sample)
	t.Cleanup(pr.kill)
	return pr
}

// kill ends the process, and waits until it has ended.
func (pr *process) kill() {
	pr.killed.Do(func() {
		close(pr.stop)
		_ = pr.cmd.Process.Kill()
		pr.watch.Wait()
	})
}

// alive reports whether the process has not ended.
func (pr *process) alive() bool {
	select {
	case <-pr.ended:
		return false
	default:
		return true
	}
}

// output returns what the process, which has ended, has written.
func (pr *process) output() string {
	<-pr.ended
	return fmt.Sprintf("%s: %s", pr.cmd.ProcessState, pr.log)
}

func (pr *process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		used, open := allocated(pr.cmd.Process.Pid), descriptors(pr.cmd.Process.Pid)
		pr.mu.Lock()
		pr.peakBytes, pr.peakDescriptors = max(pr.peakBytes, used), max(pr.peakDescriptors, open)
		pr.mu.Unlock()
		select {
		case <-pr.stop:
			return
		case <-pr.ended:
			return
		case <-ticker.C:
		}
	}
}

// peaks returns the most memory that the process had allocated, in bytes, and its most open
// descriptors.
func (pr *process) peaks() (used int64, open int) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.peakBytes, pr.peakDescriptors
}

// allocated returns the memory that a process has allocated, in bytes, without its program's text.
func allocated(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return n * kibibyte
		}
	}
	return 0
}

func descriptors(pid int) int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(names)
}
