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
	startLimit = 10 * time.Second
	// closeLimit is the longest that bills may take to be sealed at the end.
	closeLimit = 10 * time.Second
)

// Daemon is a program that serves until it is told to stop.
type Daemon interface {
	Start() error
	// Drain finishes what is in service, until ctx ends.
	Drain(ctx context.Context)
	// Close ends the daemon and waits for its goroutines.
	Close(ctx context.Context)
	// Dump gives the daemon's state, to be written as JSON.
	Dump() any
}

// Reloader is a Daemon whose settings can change while it serves.
type Reloader[S Settings] interface {
	// Reload brings new settings into force, as far as a running daemon can.
	Reload(se S)
}

// Settings is what all daemons' settings have.
type Settings interface {
	proto.Message
	GetVm() *rpc.VMSection
	GetLog() *rpc.LogSection
}

// Program describes a daemon's program.
type Program[S Settings] struct {
	Name        string
	Short       string
	Long        string
	NewSettings func() S
	NewDaemon   func(se S, ne network.Network, lo *event.Log) (Daemon, error)
	DrainLimit  func(se S) time.Duration
}

const settingsFlagHelp = "settings file, INI"

// NewRoot gives a daemon's command line.
func NewRoot[S Settings](pr Program[S]) *cobra.Command {
	root := &cobra.Command{Use: pr.Name, Short: pr.Short, Long: pr.Long}
	root.AddCommand(newRunCommand(pr), newCheckCommand(pr), newSettingsCommand(pr))
	return root
}

const runHelp = `Serve until SIGTERM or SIGINT, then end gracefully: leave the address
answers, finish every request, seal the bills. A second signal ends at once.
SIGHUP, or a change of the settings file, reads the settings again; listeners
and places keep those of the start. Settings with findings change nothing.
SIGUSR1 writes a dump of the state, as JSON, to the standard error.`

func newRunCommand[S Settings](pr Program[S]) *cobra.Command {
	var file string
	co := &cobra.Command{
		Use: "run", Short: "Serve until told to stop", Long: runHelp, Args: NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			se := pr.NewSettings()
			if err := setting.Load(file, se); err != nil {
				return Exit(ExitBadSettings, err)
			}
			return pr.run(file, se)
		},
	}
	co.Flags().StringVarP(&file, "config", "c", pr.Name+".ini", settingsFlagHelp)
	return co
}

// run wires the daemon and serves until a signal comes.
func (pr Program[S]) run(file string, se S) error {
	var da Daemon
	lines := event.NewQueue(os.Stdout)
	defer lines.Close()
	lo := event.NewLog(lines, se.GetLog(), se.GetVm().GetId())
	app := fx.New(
		fx.NopLogger,
		fx.Supply(fx.Annotate(se)),
		fx.Provide(
			network.Real,
			func() *event.Log { return lo },
			pr.NewDaemon,
		),
		fx.Invoke(func(lc fx.Lifecycle, made Daemon) {
			da = made
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error { return made.Start() },
				OnStop: func(ctx context.Context) error {
					made.Close(ctx)
					return nil
				},
			})
		}),
	)
	starting, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := app.Start(starting); err != nil {
		return Exit(ExitFailed, err)
	}
	pr.wait(&settingsFile[S]{program: pr, path: file, log: lo, current: se}, da)
	stopping, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	return Exit(ExitFailed, app.Stop(stopping))
}

// wait serves until the daemon is drained, or a second signal comes.
func (pr Program[S]) wait(sf *settingsFile[S], da Daemon) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	pr.serve(signals, sf, da)
	draining, cancel := context.WithTimeout(context.Background(), pr.DrainLimit(sf.current))
	defer cancel()
	wg := worker.NewGroup()
	wg.Go(func(context.Context) {
		da.Drain(draining)
		cancel()
	})
	for {
		select {
		case sg := <-signals:
			switch sg {
			case syscall.SIGHUP:
			case syscall.SIGUSR1:
				writeDump(da)
			default:
				cancel()
			}
		case <-draining.Done():
			wg.Close()
			return
		}
	}
}

// serve goes by the signals until one ends the daemon.
func (pr Program[S]) serve(signals <-chan os.Signal, sf *settingsFile[S], da Daemon) {
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	sf.changed()
	for {
		select {
		case sg := <-signals:
			switch sg {
			case syscall.SIGHUP:
				sf.changed()
				sf.reload(da)
			case syscall.SIGUSR1:
				writeDump(da)
			default:
				return
			}
		case <-look.C:
			if sf.changed() {
				sf.reload(da)
			}
		}
	}
}

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
				return Exit(ExitBadSettings, err)
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
