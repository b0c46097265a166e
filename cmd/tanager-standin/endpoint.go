package main

import (
	"time"

	"github.com/spf13/cobra"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/standin"
)

const engineHelp = `Serve a model engine: the OpenAI chat completions API with numbered events,
resumed and cancelled streams, priorities, a prefix cache and a lagging load.`

func newEngineCommand() *cobra.Command {
	var address string
	var opt standin.EngineOptions
	co := &cobra.Command{
		Use: "engine", Short: "Serve a model engine", Long: engineHelp, Args: command.NoArguments,
		RunE: func(*cobra.Command, []string) error {
			return serve(address, standin.NewEngine(opt).Handler(), nil)
		},
	}
	co.Flags().StringVar(&address, "listen", "127.0.0.1:7610", "address, IP:port")
	co.Flags().IntVar(&opt.Slots, "slots", 8, "requests in a batch")
	co.Flags().DurationVar(&opt.Prefill, "prefill", 60*time.Millisecond, "time to the first token")
	co.Flags().DurationVar(&opt.TokenInterval, "token", 15*time.Millisecond, "time between tokens")
	co.Flags().DurationVar(&opt.LoadLag, "load-lag", 2*time.Second, "age of the reported load")
	co.Flags().IntVar(&opt.CachedPrefixes, "cached-prefixes", 32, "prompt prefixes kept")
	co.Flags().BoolVar(&opt.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing token")
	return co
}

const plainHelp = `Serve a plain service whose calls may not be repeated. It counts how often it
ran each Idempotency-Key.`

func newPlainCommand() *cobra.Command {
	var address string
	var delay time.Duration
	co := &cobra.Command{
		Use: "plain", Short: "Serve a plain service", Long: plainHelp, Args: command.NoArguments,
		RunE: func(*cobra.Command, []string) error {
			return serve(address, standin.NewPlain(delay).Handler(), nil)
		},
	}
	co.Flags().StringVar(&address, "listen", "127.0.0.1:7640", "address, IP:port")
	co.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "time that a call takes")
	return co
}
