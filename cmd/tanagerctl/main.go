// Command tanagerctl is the operators' tool: it changes policy records and asks
// daemons about themselves.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

const help = `tanagerctl is the operators' tool.

Records are changed in the platform's key-value service (--store), and are in
force at every daemon within seconds. Daemons are asked on their admin listeners
(--admin) with an operator's key (--key).

Every flag has an environment variable: TANAGER_STORE, TANAGER_PREFIX,
TANAGER_ADMIN, TANAGER_KEY, TANAGER_BY.

Exit codes: 0 done, 1 failed, 2 usage, 3 findings in records, 4 cannot reach
the store or a daemon, 5 refused (a conflict, or an operator's key).`

const (
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
	// changeTimeout bounds a change, with its lost answers resolved.
	changeTimeout = 30 * time.Second
)

// options are the flags of all sub-commands.
type options struct {
	store  []string
	prefix string
	admin  string
	key    string
	by     string
}

func main() {
	opt := &options{}
	root := &cobra.Command{Use: "tanagerctl", Short: "Change policy records and ask daemons", Long: help}
	fl := root.PersistentFlags()
	fl.StringSliceVar(&opt.store, "store", []string{environment("TANAGER_STORE", "http://127.0.0.1:7600")}, "base URLs of the key-value service")
	fl.StringVar(&opt.prefix, "prefix", environment("TANAGER_PREFIX", "tanager/"), "prefix of the keys")
	fl.StringVar(&opt.admin, "admin", environment("TANAGER_ADMIN", "127.0.0.1:7901"), "a daemon's admin listener, IP:port")
	fl.StringVar(&opt.key, "key", environment("TANAGER_KEY", ""), "an operator's key")
	fl.StringVar(&opt.by, "by", environment("TANAGER_BY", environment("USER", "operator")), "who makes the change")
	root.AddCommand(
		newCheckCommand(opt), newDiffCommand(opt), newApplyCommand(opt), newGetCommand(opt), newDeleteCommand(opt),
		newHistoryCommand(opt), newWithdrawCommand(opt), newRolloutCommand(opt), newHashKeyCommand(),
		newBillsCommand(opt), newDrainCommand(opt), newDumpCommand(opt), newExplainCommand(opt),
	)
	os.Exit(command.Execute(root))
}

func environment(name, byDefault string) string {
	if va := os.Getenv(name); va != "" {
		return va
	}
	return byDefault
}

func (opt *options) keys() configuration.Keys {
	return configuration.Keys{Root: store.Key(opt.prefix)}
}

func (opt *options) client() *store.Client {
	return store.NewClient(store.Options{URLs: opt.store, Timeout: callTimeout, Dial: network.Real().Dial})
}

func (opt *options) writer(cl *store.Client) *configuration.Writer {
	return configuration.NewWriter(opt.keys(), cl)
}

// load reads all records.
func (opt *options) load(ctx context.Context) (*policy.Set, error) {
	cl := opt.client()
	defer cl.Close()
	se, _, err := opt.writer(cl).Load(ctx)
	return se, exit(err)
}

// exit gives an error its exit code.
func exit(err error) error {
	var li finding.List
	var co *configuration.Conflict
	switch {
	case err == nil:
		return nil
	case errors.As(err, &li):
		return command.Exit(command.ExitBadSettings, err)
	case errors.As(err, &co), errors.Is(err, configuration.ErrFenced):
		return command.Exit(command.ExitRefused, err)
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrUnavailable):
		return command.Exit(command.ExitUnreachable, err)
	default:
		return command.Exit(command.ExitFailed, err)
	}
}
