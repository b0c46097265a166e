package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = time.Second
	// memoryInterval is how often the platform looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
	// kibibyte is the unit of /proc/PID/status, in bytes.
	kibibyte = 1024
)

// router is one router process, which the platform starts again whenever it ends.
//
// mu guards the fields below it.
type router struct {
	name    string
	callers string
	program string
	// settings is the path of the settings file, log that of the file for what it writes.
	settings, log string
	record        *recorder
	// memoryLimit is the memory, in bytes, beyond which the platform kills the process.
	memoryLimit int64

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// ends counts the ends by itself, those for its memory included. peak is its largest
	// memory in bytes.
	ends int
	peak int64
	done chan struct{}
}

// start starts the process.
func (ro *router) start() error {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	out, err := os.OpenFile(ro.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	// The command of deploy/system.toml, with the path of the settings file.
	cmd := exec.Command(ro.program, "run", "-c", ro.settings) //nolint:gosec // the case names its own program
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ro.cmd, ro.done = cmd, make(chan struct{})
	go ro.watch(cmd, ro.done)
	return nil
}

// watch waits for the end of the process, and starts it again if the case has not stopped it.
func (ro *router) watch(cmd *exec.Cmd, done chan struct{}) {
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	why := ""
	for {
		select {
		case err := <-ended:
			close(done)
			ro.ended(err, why)
			return
		case <-ticker.C:
			if used := ro.noteMemory(cmd.Process.Pid); ro.memoryLimit > 0 && used > ro.memoryLimit && why == "" {
				why = fmt.Sprintf("killed by the platform: %d bytes of memory, allowed are %d", used, ro.memoryLimit)
				_ = cmd.Process.Kill()
			}
		}
	}
}

func (ro *router) ended(err error, why string) {
	ro.mu.Lock()
	stopping := ro.stopping
	if !stopping {
		ro.ends++
	}
	ro.mu.Unlock()
	if stopping {
		return
	}
	if why == "" {
		why = fmt.Sprint("ended by itself: ", err)
	}
	ro.record.add("end", "%s %s", ro.name, why)
	time.Sleep(restartDelay)
	ro.mu.Lock()
	stopping = ro.stopping
	ro.mu.Unlock()
	if !stopping {
		if err := ro.start(); err != nil {
			ro.record.add("end", "%s did not start again: %v", ro.name, err)
		}
	}
}

// noteMemory returns the memory that a process has allocated, in bytes, without its program's
// text.
func (ro *router) noteMemory(pid int) int64 {
	used := allocated(pid)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.peak = max(ro.peak, used)
	return used
}

func allocated(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "RssAnon:" {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n * kibibyte
		}
	}
	return 0
}

// stop kills the process for good and waits for its end.
func (ro *router) stop() {
	ro.mu.Lock()
	ro.stopping = true
	cmd, done := ro.cmd, ro.done
	ro.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// state returns how often the process has ended by itself, and its peak of memory in bytes.
func (ro *router) state() (ends int, peak int64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.ends, ro.peak
}
