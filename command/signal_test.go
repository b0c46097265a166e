package command_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/rpc"
)

// notInterrupted is how long a test waits for what must not happen.
const notInterrupted = 300 * time.Millisecond

// slowDaemon starts once start is closed, and is drained once finish is closed.
type slowDaemon struct {
	starting, start, draining, finish chan bool
	// drainError is the error of the context of Drain at its end.
	drainError chan error
}

func (sd *slowDaemon) Start() error {
	close(sd.starting)
	<-sd.start
	return nil
}

func (sd *slowDaemon) Drain(ctx context.Context) {
	close(sd.draining)
	select {
	case <-ctx.Done():
	case <-sd.finish:
	}
	sd.drainError <- ctx.Err()
}

func (sd *slowDaemon) Close(context.Context) {}
func (sd *slowDaemon) Dump() any             { return nil }

// runSlowDaemon runs a daemon whose graceful shutdown may take a minute, and returns once it starts.
// ended gets the result of the command.
func runSlowDaemon(t *testing.T) (sd *slowDaemon, ended chan error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "router.ini")
	qt.Assert(t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	sd = &slowDaemon{starting: make(chan bool), start: make(chan bool), draining: make(chan bool), finish: make(chan bool), drainError: make(chan error, 1)}
	root := command.NewRoot(command.Program[*rpc.RouterSettings]{
		Name: "tanager-test", NewSettings: func() *rpc.RouterSettings { return &rpc.RouterSettings{} },
		NewDaemon:  func(*rpc.RouterSettings, network.Network, *event.Log) (command.Daemon, error) { return sd, nil },
		DrainLimit: func(*rpc.RouterSettings) time.Duration { return time.Minute },
	})
	root.SetArgs([]string{"run", "-c", file})
	ended = make(chan error, 1)
	go func() { ended <- root.Execute() }()
	<-sd.starting
	return sd, ended
}

func send(t *testing.T, sg syscall.Signal) {
	t.Helper()
	qt.Assert(t, syscall.Kill(os.Getpid(), sg), qt.IsNil)
}

// TestSignalDuringTheStartShutsDownGracefully has the signal come before the daemon has started,
// when its listeners may be open already. It ended the process at once.
func TestSignalDuringTheStartShutsDownGracefully(t *testing.T) {
	sd, ended := runSlowDaemon(t)
	send(t, syscall.SIGTERM)
	time.Sleep(notInterrupted)
	close(sd.start)
	<-sd.draining
	close(sd.finish)
	qt.Assert(t, <-sd.drainError, qt.IsNil)
	qt.Assert(t, <-ended, qt.IsNil)
}

// TestRepeatedSIGTERMDoesNotCutTheShutdownShort has a supervisor send the signal again. It cut all
// requests in service.
func TestRepeatedSIGTERMDoesNotCutTheShutdownShort(t *testing.T) {
	sd, ended := runSlowDaemon(t)
	close(sd.start)
	send(t, syscall.SIGTERM)
	<-sd.draining
	for range 3 {
		send(t, syscall.SIGTERM)
	}
	select {
	case err := <-sd.drainError:
		t.Fatal("the shutdown was cut short: ", err)
	case <-time.After(notInterrupted):
	}
	close(sd.finish)
	qt.Assert(t, <-sd.drainError, qt.IsNil)
	qt.Assert(t, <-ended, qt.IsNil)
}

// TestInterruptEndsTheShutdown has the person at the terminal not wait for it.
func TestInterruptEndsTheShutdown(t *testing.T) {
	for _, first := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		sd, ended := runSlowDaemon(t)
		close(sd.start)
		send(t, first)
		<-sd.draining
		send(t, syscall.SIGINT)
		qt.Assert(t, <-sd.drainError, qt.Equals, context.Canceled)
		qt.Assert(t, <-ended, qt.IsNil)
	}
}
