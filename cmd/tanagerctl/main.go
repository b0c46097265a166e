// Command tanagerctl is the operators' command line tool. It changes policy records in
// the store and queries and drains daemons through their admin listeners.
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
	// callTimeout bounds one call to the store or to a daemon.
	callTimeout = 2 * time.Second
	// changeTimeout bounds a change of records, including the time to find out the
	// outcome of a commit whose answer was lost.
	changeTimeout = 30 * time.Second
)

// options are the flags that all sub-commands share.
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
	fl.StringSliceVar(&opt.store, "store", []string{envOr("TANAGER_STORE", "http://127.0.0.1:7600")}, "base URLs of the key-value service")
	fl.StringVar(&opt.prefix, "prefix", envOr("TANAGER_PREFIX", "tanager/"), "prefix of the keys")
	fl.StringVar(&opt.admin, "admin", envOr("TANAGER_ADMIN", "127.0.0.1:7901"), "a daemon's admin listener, IP:port")
	fl.StringVar(&opt.key, "key", envOr("TANAGER_KEY", ""), "an operator's key")
	fl.StringVar(&opt.by, "by", envOr("TANAGER_BY", envOr("USER", "operator")), "who makes the change")
	root.AddCommand(
		newCheckCommand(opt), newDiffCommand(opt), newApplyCommand(opt), newGetCommand(opt), newDeleteCommand(opt),
		newHistoryCommand(opt), newWithdrawCommand(opt), newRolloutCommand(opt), newHashKeyCommand(),
		newBillsCommand(opt), newDrainCommand(opt), newDumpCommand(opt), newExplainCommand(opt),
	)
	os.Exit(command.Execute(root))
}

// envOr returns an environment variable, or fallback if it is unset or empty.
func envOr(name, fallback string) string {
	if va := os.Getenv(name); va != "" {
		return va
	}
	return fallback
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

// load reads all records from the store. Its error has an exit code.
func (opt *options) load(ctx context.Context) (*policy.Set, error) {
	cl := opt.client()
	defer cl.Close()
	se, _, err := opt.writer(cl).Load(ctx)
	return se, withExitCode(err)
}

// withExitCode returns err with the exit code for its kind.
func withExitCode(err error) error {
	var li finding.List
	var co *configuration.Conflict
	switch {
	case err == nil:
		return nil
	case errors.As(err, &li):
		return command.Exit(command.ExitFindings, err)
	case errors.As(err, &co), errors.Is(err, configuration.ErrFenced):
		return command.Exit(command.ExitRefused, err)
	case errors.Is(err, store.ErrOutcomeUnknown), errors.Is(err, store.ErrUnavailable):
		return command.Exit(command.ExitUnreachable, err)
	default:
		return command.Exit(command.ExitFailed, err)
	}
}
