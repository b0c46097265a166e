// Command tanager-steward is the daemon that runs the control plane of a site.
package main

import (
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/steward"
)

const help = `tanager-steward does the control work of a site: it moves roll-outs, gathers
ratings, orders engines to load versions, and trims the store.

Run one on every entry VM. The work is divided by leases in the platform's
key-value service, and any steward takes over from any other. Entries serve
without stewards.

Exit codes: 0 ended, 1 failed, 2 usage, 3 findings in the settings.`

// drainLimit is the maximum duration of the graceful shutdown, which releases the
// leases of the tasks.
const drainLimit = 5 * time.Second

func main() {
	gin.SetMode(gin.ReleaseMode)
	os.Exit(command.Execute(command.NewRoot(command.Program[*rpc.StewardSettings]{
		Name: "tanager-steward", Short: "Do the control work of a site", Long: help,
		NewSettings: func() *rpc.StewardSettings { return &rpc.StewardSettings{} },
		NewDaemon: func(ss *rpc.StewardSettings, ne network.Network, lo *event.Log) (command.Daemon, error) {
			return steward.New(ss, ne, lo)
		},
		DrainLimit: func(*rpc.StewardSettings) time.Duration { return drainLimit },
	})))
}
