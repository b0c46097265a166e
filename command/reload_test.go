package command_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/rpc"
)

const settings = `[vm]
id = np-1
site = np
failure_domain = np-a
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
directory = 127.0.0.1:3
peers = 127.0.0.1:4
admin = 127.0.0.1:5
[store]
urls = http://127.0.0.1:6
[peers]
shared_key = key-of-sixteen-chars
[serving]
retry_ratio = 0.9
`

// daemon records the calls of its methods.
type daemon struct {
	started, drained chan bool
	reloaded         chan float64
}

func (da *daemon) Start() error {
	close(da.started)
	return nil
}

func (da *daemon) Drain(context.Context) { close(da.drained) }
func (da *daemon) Close(context.Context) {}
func (da *daemon) Dump() any             { return nil }

func (da *daemon) Reload(rs *rpc.RouterSettings) { da.reloaded <- rs.GetServing().GetRetryRatio() }

// TestSettingsAreReadAgain guards against a daemon that does not handle SIGHUP, whose
// default action ends the process. Settings with findings must not be applied, and a
// changed file must be applied without a signal.
func TestSettingsAreReadAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.ini")
	write := func(text string) { qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil) }
	write(settings)
	da := &daemon{started: make(chan bool), drained: make(chan bool), reloaded: make(chan float64, 4)}
	root := command.NewRoot(command.Program[*rpc.RouterSettings]{
		Name: "tanager-test", NewSettings: func() *rpc.RouterSettings { return &rpc.RouterSettings{} },
		NewDaemon: func(*rpc.RouterSettings, network.Network, *event.Log) (command.Daemon, error) {
			return da, nil
		},
		DrainLimit: func(*rpc.RouterSettings) time.Duration { return time.Second },
	})
	root.SetArgs([]string{"run", "-c", file})
	ended := make(chan error, 1)
	go func() { ended <- root.Execute() }()
	<-da.started
	time.Sleep(100 * time.Millisecond) // signal.Notify is called shortly after Start
	signal := func(sg syscall.Signal) { qt.Assert(t, syscall.Kill(os.Getpid(), sg), qt.IsNil) }
	signal(syscall.SIGHUP)
	qt.Assert(t, <-da.reloaded, qt.Equals, 0.9)

	write(strings.Replace(settings, "0.9", "much", 1))
	signal(syscall.SIGHUP)
	select {
	case <-da.reloaded:
		t.Fatal("settings with findings were applied")
	case <-time.After(300 * time.Millisecond):
	}

	write(strings.Replace(settings, "0.9", "0.5", 1))
	qt.Assert(t, os.Chtimes(file, time.Now().Add(time.Hour), time.Now().Add(time.Hour)), qt.IsNil)
	qt.Assert(t, <-da.reloaded, qt.Equals, 0.5)

	signal(syscall.SIGTERM)
	<-da.drained
	qt.Assert(t, <-ended, qt.IsNil)
}
