package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/setting"
	"tanagerpoint.example/tanager/worker"
)

const (
	maxPendingSignals = 16
	startTimeout      = 10 * time.Second
	// closeTimeout bounds Daemon.Close, in which an entry seals its last bills.
	closeTimeout = 10 * time.Second
)

// Daemon is a long-running program.
type Daemon interface {
	// Start opens the listeners, starts the goroutines and returns.
	Start() error
	// Drain starts the graceful shutdown, and blocks until the work in progress is
	// complete or ctx ends.
	Drain(ctx context.Context)
	// Close stops the daemon and blocks until its goroutines have returned.
	Close(ctx context.Context)
	// Dump returns the daemon's state, which is encoded as JSON.
	Dump() any
}

// Reloader is implemented by a Daemon that can apply new settings without a restart.
type Reloader[S Settings] interface {
	// Reload applies those of the new settings that can change in a running daemon.
	Reload(se S)
}

// Settings is implemented by the settings messages of all daemons.
type Settings interface {
	proto.Message
	GetVm() *rpc.VMSection
	GetLog() *rpc.LogSection
}

// Program describes a daemon and its command line. DrainLimit returns the maximum
// duration of the graceful shutdown.
type Program[S Settings] struct {
	Name        string
	Short       string
	Long        string
	NewSettings func() S
	NewDaemon   func(se S, ne network.Network, lo *event.Log) (Daemon, error)
	DrainLimit  func(se S) time.Duration
}

const settingsFlagHelp = "settings file, INI"

// NewRoot returns a daemon's command line, for Execute.
func NewRoot[S Settings](pr Program[S]) *cobra.Command {
	root := &cobra.Command{Use: pr.Name, Short: pr.Short, Long: pr.Long}
	root.AddCommand(newRunCommand(pr), newCheckCommand(pr), newSettingsCommand(pr))
	return root
}

const runHelp = `Serve until SIGTERM or SIGINT, then shut down gracefully: leave the address
answers, finish every request, seal the bills. SIGINT during the shutdown ends it
at once; a further SIGTERM changes nothing. SIGHUP, or a change of the settings file, reloads the settings; listeners,
the store's address and the peers' seeds change only at the next start. Settings
with findings are not applied. SIGUSR1 writes a dump of the state, as JSON, to the
standard error.`

func newRunCommand[S Settings](pr Program[S]) *cobra.Command {
	var file string
	co := &cobra.Command{
		Use: "run", Short: "Serve until told to stop", Long: runHelp, Args: NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			se := pr.NewSettings()
			if err := setting.Load(file, se); err != nil {
				return Exit(ExitFindings, err)
			}
			return pr.run(file, se)
		},
	}
	co.Flags().StringVarP(&file, "config", "c", pr.Name+".ini", settingsFlagHelp)
	return co
}

// run creates and starts the daemon, and returns after a signal has stopped it.
func (pr Program[S]) run(file string, se S) error {
	var da Daemon
	// A signal during the start is handled after it: its default action ends the process.
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	queue := event.NewQueue(os.Stdout)
	defer queue.Close()
	lo := event.NewLog(queue, se.GetLog(), se.GetVm().GetId())
	app := fx.New(
		fx.NopLogger,
		fx.Supply(fx.Annotate(se)),
		fx.Provide(
			network.Real,
			func() *event.Log { return lo },
			pr.NewDaemon,
		),
		fx.Invoke(func(lc fx.Lifecycle, created Daemon) {
			da = created
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error { return created.Start() },
				OnStop: func(ctx context.Context) error {
					created.Close(ctx)
					return nil
				},
			})
		}),
	)
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return Exit(ExitFailed, err)
	}
	pr.runUntilDrained(signals, &settingsFile[S]{program: pr, path: file, log: lo, current: se}, da)
	stopCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return Exit(ExitFailed, app.Stop(stopCtx))
}

// runUntilDrained handles signals until SIGTERM or SIGINT, and then drains the daemon.
// It returns when the daemon is drained, after DrainLimit, or at a SIGINT that comes during the
// shutdown. Supervisors may repeat SIGTERM: it asks for what is under way.
func (pr Program[S]) runUntilDrained(signals <-chan os.Signal, sf *settingsFile[S], da Daemon) {
	pr.handleSignals(signals, sf, da)
	drainCtx, cancel := context.WithTimeout(context.Background(), pr.DrainLimit(sf.current))
	defer cancel()
	wg := worker.NewGroup()
	wg.Go(func(context.Context) {
		da.Drain(drainCtx)
		cancel()
	})
	for {
		select {
		case sg := <-signals:
			switch sg {
			case syscall.SIGUSR1:
				writeDump(da)
			case syscall.SIGINT:
				cancel()
			}
		case <-drainCtx.Done():
			wg.Close()
			return
		}
	}
}

// handleSignals reloads the settings on SIGHUP or when the file changes, writes a
// dump on SIGUSR1, and returns on SIGTERM or SIGINT.
func (pr Program[S]) handleSignals(signals <-chan os.Signal, sf *settingsFile[S], da Daemon) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	sf.changed() // records the modification time of the file that run was given
	for {
		select {
		case sg := <-signals:
			switch sg {
			case syscall.SIGHUP:
				sf.changed() // keeps the ticker from reloading the same file again
				sf.reload(da)
			case syscall.SIGUSR1:
				writeDump(da)
			default:
				return
			}
		case <-ticker.C:
			if sf.changed() {
				sf.reload(da)
			}
		}
	}
}

// writeDump writes the daemon's state to the standard error as indented JSON.
func writeDump(da Daemon) {
	text, err := json.MarshalIndent(da.Dump(), "", "  ")
	if err != nil {
		text = []byte(err.Error())
	}
	_, _ = fmt.Fprintf(os.Stderr, "%s\n", text)
}

const checkHelp = `Check a settings file and print every finding with its file, section and key.
Exits with 3 when there are findings.`

func newCheckCommand[S Settings](pr Program[S]) *cobra.Command {
	var file string
	co := &cobra.Command{
		Use: "check", Short: "Check a settings file", Long: checkHelp, Args: NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			if err := setting.Load(file, pr.NewSettings()); err != nil {
				return Exit(ExitFindings, err)
			}
			_, err := fmt.Fprintln(co.OutOrStdout(), file+": no findings")
			return err
		},
	}
	co.Flags().StringVarP(&file, "config", "c", pr.Name+".ini", settingsFlagHelp)
	return co
}

const settingsHelp = `Print a settings file with every section and key, its meaning and default.`

func newSettingsCommand[S Settings](pr Program[S]) *cobra.Command {
	return &cobra.Command{
		Use: "settings", Short: "Print an annotated settings file", Long: settingsHelp, Args: NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(co.OutOrStdout(), setting.Describe(pr.NewSettings()))
			return err
		},
	}
}
