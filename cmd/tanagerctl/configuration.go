package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/platform"
	"tanagerpoint.example/tanager/relay"
	"tanagerpoint.example/tanager/store"
)

// The exit codes of the check of a configuration, for scripts that send it only if it is clean.
// exitUnreadable stands for all that keeps the check from telling, a failure to print included.
const (
	exitMistakes   = 1
	exitUnreadable = 2
)

const (
	// maxValueBytes is the size of the largest value that the platform's store takes.
	maxValueBytes = 1 << 20
	// maxHeadBytes is how much routers read of a request's head.
	maxHeadBytes = 64 << 10
	// stdin as the name of a file stands for standard input.
	stdin = "-"
	// formatJSON is the value of --format for scripts.
	formatJSON = "json"
)

// configurationFlags are the flags of the check of a configuration.
type configurationFlags struct {
	against  string
	format   string
	memoryMB float64
}

func (cf *configurationFlags) add(co *cobra.Command) {
	fl := co.Flags()
	fl.StringVar(&cf.against, "against", "", "file with the configuration in force, to compare with")
	fl.StringVar(&cf.format, "format", "text", "text, or json for scripts")
	fl.Float64Var(&cf.memoryMB, "memory-mb", 112, "memory of the smallest VM that runs a router, in MiB")
}

// isConfiguration reports whether a text is a configuration in the platform's format, not records.
func isConfiguration(text []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return false
	}
	_, hasKind := fields["kind"]
	_, hasRecords := fields["records"]
	return !hasKind && !hasRecords
}

// readInput reads a file, or standard input.
func readInput(co *cobra.Command, file string) ([]byte, error) {
	if file == stdin {
		return io.ReadAll(co.InOrStdin())
	}
	return os.ReadFile(file)
}

// configurationReport is what the check prints with --format json.
type configurationReport struct {
	Mistakes    []platform.Mistake    `json:"mistakes"`
	Differences []platform.Difference `json:"differences"`
}

// checkConfiguration checks a configuration and prints its mistakes and, if the configuration in
// force is known, in what it differs from that.
func (opt *options) checkConfiguration(co *cobra.Command, cf *configurationFlags, text []byte) error {
	ko, err := opt.checkOptions(co, cf)
	if err != nil {
		return command.Exit(exitUnreadable, err)
	}
	checked, err := platform.CheckConfiguration(text, ko)
	if err != nil {
		return command.Exit(exitUnreadable, err)
	}
	re := configurationReport{Mistakes: append([]platform.Mistake{}, checked.Mistakes...), Differences: []platform.Difference{}}
	if ko.InForce != nil {
		re.Differences = append(re.Differences, checked.DifferencesFrom(ko.InForce)...)
	}
	if err := re.print(co.OutOrStdout(), cf.format); err != nil {
		return command.Exit(exitUnreadable, err)
	}
	if len(re.Mistakes) > 0 {
		return command.Exit(exitMistakes, eris.Errorf("%d mistakes", len(re.Mistakes)))
	}
	return nil
}

// checkOptions returns what a configuration is checked against: with --store the configuration in
// force and the registered replicas, with --against the configuration in a file.
func (opt *options) checkOptions(co *cobra.Command, cf *configurationFlags) (platform.CheckOptions, error) {
	ko := platform.CheckOptions{MaxBytes: maxValueBytes, MaxHeldBytes: relay.HeldBytes(cf.memoryMB), MaxHeadBytes: maxHeadBytes}
	var inForce []byte
	var err error
	if co.Flags().Changed("store") {
		st := platform.NewStore(store.Options{URLs: opt.store, Timeout: callTimeout, Dial: network.Real().Dial}, event.Discard())
		defer st.Close()
		if ko.Models, err = platform.ReadModels(co.Context(), st); err == nil {
			inForce, err = platform.ReadConfiguration(co.Context(), st)
		}
	}
	if err == nil && cf.against != "" {
		inForce, err = readInput(co, cf.against)
	}
	if err == nil && inForce != nil {
		ko.InForce, err = platform.CheckConfiguration(inForce, platform.CheckOptions{MaxBytes: maxValueBytes})
	}
	return ko, err
}

// print writes the report as text or JSON.
func (re configurationReport) print(wr io.Writer, format string) error {
	if format == formatJSON {
		en := json.NewEncoder(wr)
		en.SetIndent("", "  ")
		return en.Encode(re)
	}
	for _, mi := range re.Mistakes {
		if _, err := fmt.Fprintln(wr, mi); err != nil {
			return err
		}
	}
	for _, di := range re.Differences {
		if _, err := fmt.Fprintln(wr, di); err != nil {
			return err
		}
	}
	if len(re.Mistakes)+len(re.Differences) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(wr, "no findings")
	return err
}
