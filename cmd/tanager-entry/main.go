// Command tanager-entry is the daemon that serves callers on an entry VM.
package main

import (
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/entry"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/rpc"
)

const help = `tanager-entry serves callers on an entry VM.

It authenticates, admits, routes, retries, streams and bills requests for model
engines and plain services, and tells callers which entries to use. It reads
its configuration from the platform's key-value service, and goes on without it
and without stewards.

Exit codes: 0 ended, 1 failed, 2 usage, 3 findings in the settings.`

func main() {
	gin.SetMode(gin.ReleaseMode)
	os.Exit(command.Execute(command.NewRoot(command.Program[*rpc.EntrySettings]{
		Name: "tanager-entry", Short: "Serve callers on an entry VM", Long: help,
		NewSettings: func() *rpc.EntrySettings { return &rpc.EntrySettings{} },
		NewDaemon: func(es *rpc.EntrySettings, ne network.Network, lo *event.Log) (command.Daemon, error) {
			return entry.New(es, ne, lo)
		},
		DrainLimit: func(es *rpc.EntrySettings) time.Duration { return es.GetServing().GetDrainLimit().AsDuration() },
	})))
}
