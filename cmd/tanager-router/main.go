// Command tanager-router is the daemon that forwards the requests of routes to
// endpoints. It runs on every VM of the users' platform.
package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/rpc"
)

const help = `tanager-router carries the requests of routes to the endpoints of their
services on the users' platform. Run one on every VM: it serves callers, tells
them which routers to use, and takes its part of the control work.

Exit codes: 0 ended, 1 failed, 2 usage, 3 findings in the settings.`

// drainMargin is the part of the drain_limit setting that is left for the process to
// exit after the graceful shutdown.
const drainMargin = 500 * time.Millisecond

// heapShare is the part of the process's memory from which on the collector works harder to keep
// the heap small. The rest is for what the heap grows meanwhile and what lies outside it.
const heapShare = 0.7

func main() {
	gin.SetMode(gin.ReleaseMode)
	os.Exit(command.Execute(command.NewRoot(command.Program[*rpc.RouterSettings]{
		Name: "tanager-router", Short: "Carry the requests of routes", Long: help,
		NewSettings: func() *rpc.RouterSettings { return &rpc.RouterSettings{} },
		NewDaemon: func(rs *rpc.RouterSettings, ne network.Network, lo *event.Log) (command.Daemon, error) {
			debug.SetMemoryLimit(int64(heapShare * rs.GetServing().GetMemoryMb() * (1 << 20)))
			return router.New(rs, ne, lo)
		},
		DrainLimit: func(rs *rpc.RouterSettings) time.Duration {
			return rs.GetServing().GetDrainLimit().AsDuration() - drainMargin
		},
	})))
}
