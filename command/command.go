// Package command contains what the programs' command lines share: exit codes, the
// sub-commands of all daemons, and starting, reloading and stopping a daemon.
package command

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// The exit codes of all programs.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitFindings    = 3 // findings in settings or in policy records
	ExitUnreachable = 4 // cannot reach the store or a daemon
	ExitRefused     = 5 // a change conflicts with another, or a daemon refused the request
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (ee *exitError) Error() string { return ee.err.Error() }

func (ee *exitError) Unwrap() error { return ee.err }

// Exit returns an error for which Execute returns code, or nil if err is nil.
func Exit(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Execute adds the version sub-command, runs the command line and returns the exit
// code. It prints an error to the standard error. Errors without an exit code, such
// as cobra's own, count as usage errors.
func Execute(root *cobra.Command) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return Exit(ExitUsage, err) })
	root.AddCommand(newVersionCommand(root.Name()))
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, root.Name()+": "+err.Error())
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.code
	}
	return ExitUsage
}

// NoArguments is a cobra.PositionalArgs that returns a usage error if there are
// arguments.
func NoArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return Exit(ExitUsage, eris.Errorf("unexpected argument %q", args[0]))
	}
	return nil
}

const versionHelp = `Print the program's version: its commit, when it was built from one.`

// Version is the program's version. The build of a release sets it.
var Version = "development"

func newVersionCommand(name string) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the program's version", Long: versionHelp, Args: NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			goVersion := ""
			if bi, ok := debug.ReadBuildInfo(); ok {
				goVersion = bi.GoVersion
			}
			_, err := fmt.Fprintln(co.OutOrStdout(), name, Version, goVersion)
			return err
		},
	}
}
