// Command tanager-standin runs stand-ins for the platform's services, for model
// engines and for plain services. It is for the demonstration and for tests only.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/worker"
)

const help = `tanager-standin runs small stand-ins for what tanagerpoint meets outside:
the platform's store, VM list, rating service and weight store, model engines,
and plain services. It is for the demonstration and for tests only.

Faults are ordered with POST /standin/faults on each stand-in, for example
  curl -d '{"down":true}' http://127.0.0.1:7600/standin/faults

Exit codes: 0 ended, 1 failed, 2 usage.`

func main() {
	root := &cobra.Command{Use: "tanager-standin", Short: "Run stand-ins for the platform and endpoints", Long: help}
	root.AddCommand(newStoreCommand(), newVMsCommand(), newEngineCommand(), newPlainCommand(), newRatingCommand(), newWeightsCommand())
	os.Exit(command.Execute(root))
}

// serve serves a handler until SIGTERM or SIGINT. If tick is not nil, it is called every
// 100 ms meanwhile.
func serve(address string, ha http.Handler, tick func()) error {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return command.Exit(command.ExitFailed, eris.Wrap(err, "serve"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: 5 * time.Second}
	gr := worker.NewGroup()
	if tick != nil {
		gr.Every(100*time.Millisecond, func(context.Context) { tick() })
	}
	gr.Go(func(context.Context) {
		<-ctx.Done()
		_ = sv.Close()
	})
	err = sv.Serve(li)
	stop()
	gr.Close()
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return command.Exit(command.ExitFailed, err)
}
