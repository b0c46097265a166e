package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/tidwall/pretty"
	"github.com/tidwall/sjson"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/policy"
)

const checkHelp = `Check the records in files, together with those in the store, and print every
finding with its file, record and field. With --offline the store is not asked.
Exits with 3 when there are findings.

A single file, or "-" for standard input, may hold a configuration of the users'
platform (op/config). Its mistakes are printed with line and field: what the store
or the routers refuse, entries that never match, and limits that contradict each
other; then in what it differs from the configuration in force, which is read from
--store, if that is given, or from the file --against. Keys are printed as
fingerprints. Nothing is changed. Exits with 0 when there are no mistakes, with 1
when there are, and with 2 when something could not be read, as a single file that is
no JSON, or printed.`

func newCheckCommand(opt *options) *cobra.Command {
	var offline bool
	cf := &configurationFlags{}
	co := &cobra.Command{
		Use: "check FILE...", Short: "Check records in files, or a configuration", Long: checkHelp, Args: requireFiles,
		RunE: func(co *cobra.Command, files []string) error {
			if len(files) == 1 {
				text, err := readInput(co, files[0])
				if err != nil {
					return command.Exit(exitUnreadable, err)
				}
				if files[0] == stdin || !json.Valid(text) || isConfiguration(text) {
					return opt.checkConfiguration(co, cf, text)
				}
			}
			frs, err := policy.ReadFiles(files)
			if err != nil {
				return withExitCode(err)
			}
			se := policy.NewSet()
			if !offline {
				if se, err = opt.load(co.Context()); err != nil {
					return err
				}
			}
			if err := policy.ValidateFiles(se, frs).Err(); err != nil {
				return withExitCode(err)
			}
			_, err = fmt.Fprintf(co.OutOrStdout(), "%d records: no findings\n", len(frs))
			return err
		},
	}
	co.Flags().BoolVar(&offline, "offline", false, "check the files by themselves")
	cf.add(co)
	return co
}

// requireFiles is a cobra.PositionalArgs that returns a usage error if no file is
// named.
func requireFiles(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return command.Exit(command.ExitUsage, eris.New("name at least one file"))
	}
	return nil
}

const diffHelp = `Print how the records in files differ from those in the store.`

func newDiffCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE...", Short: "Compare records in files with the store", Long: diffHelp, Args: requireFiles,
		RunE: func(co *cobra.Command, files []string) error {
			frs, err := policy.ReadFiles(files)
			if err != nil {
				return withExitCode(err)
			}
			se, err := opt.load(co.Context())
			if err != nil {
				return err
			}
			for _, fr := range frs {
				printDiff(co.OutOrStdout(), se, fr.Record)
			}
			return nil
		},
	}
}

// printDiff prints a record that differs from the stored one: a new one with "+", a
// deleted one with "-", and a changed one with "~", its stored and its new spec.
func printDiff(wr io.Writer, se *policy.Set, re policy.Record) {
	old, _, ok := se.Record(policy.Kind(re.GetKind()), re.GetId())
	switch {
	case !ok:
		_, _ = fmt.Fprintf(wr, "+ %s\n%s", re.Key(), indent("+ ", re.Spec()))
	case re.GetDeleted():
		_, _ = fmt.Fprintf(wr, "- %s\n%s", re.Key(), indent("- ", old.Spec()))
	case !old.SameContent(re):
		_, _ = fmt.Fprintf(wr, "~ %s\n%s%s", re.Key(), indent("- ", old.Spec()), indent("+ ", re.Spec()))
	}
}

// indent formats JSON and puts four spaces and mark before each line.
func indent(mark string, text []byte) string {
	var sb strings.Builder
	for line := range strings.Lines(string(pretty.Pretty(text))) {
		sb.WriteString("    " + mark + line)
	}
	return sb.String()
}

const applyHelp = `Write the records in files, all or none. Unchanged records are left alone. A
record with a "revision", as "get" prints it, is written only if it has not
changed since; in a conflict both sides are printed. An answer of the store that
was lost is resolved, so that the change is neither made twice nor reported as
failed when it was made.`

func newApplyCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "apply FILE...", Short: "Write records from files", Long: applyHelp, Args: requireFiles,
		RunE: func(co *cobra.Command, files []string) error {
			frs, err := policy.ReadFiles(files)
			if err != nil {
				return withExitCode(err)
			}
			fileOf := map[string]string{}
			rq := configuration.Request{ChangedBy: opt.by}
			for _, fr := range frs {
				fileOf[fr.Record.Key()] = fr.File
				rq.Changes = append(rq.Changes, configuration.Change{Record: fr.Record, Base: fr.BaseRevision})
			}
			rq.Place = func(key string) finding.Place { return finding.Place{File: fileOf[key], Section: key} }
			return opt.apply(co, rq)
		},
	}
}

// apply commits a request and prints the new revision and the changed records.
func (opt *options) apply(co *cobra.Command, rq configuration.Request) error {
	cl := opt.client()
	defer cl.Close()
	ctx, cancel := context.WithTimeout(co.Context(), changeTimeout)
	defer cancel()
	rs, err := opt.writer(cl).Apply(ctx, rq)
	if err != nil {
		return withExitCode(err)
	}
	if rs.Revision == 0 {
		_, err = fmt.Fprintln(co.OutOrStdout(), "nothing differs")
		return err
	}
	_, err = fmt.Fprintf(co.OutOrStdout(), "revision %d, operation %s: %s\n", rs.Revision, rs.OperationID, strings.Join(rs.Changed, " "))
	return err
}

const getHelp = `Print records, with the revision that "apply" compares. Without a KIND/ID all
records are listed; with a KIND, those of that kind.`

func newGetCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "get [KIND[/ID]]", Short: "Print records", Long: getHelp, Args: cobra.MaximumNArgs(1),
		RunE: func(co *cobra.Command, args []string) error {
			se, err := opt.load(co.Context())
			if err != nil {
				return err
			}
			if len(args) == 1 && strings.Contains(args[0], "/") {
				return printRecord(co.OutOrStdout(), se, args[0])
			}
			for _, re := range se.Records() {
				if len(args) == 0 || re.GetKind() == args[0] {
					_, _ = fmt.Fprintf(co.OutOrStdout(), "%-40s schema %d  by %s\n", re.Key(), re.GetSchemaVersion(), re.GetChangedBy())
				}
			}
			return nil
		},
	}
}

// printRecord prints the stored record of a KIND/ID, with its revision.
func printRecord(wr io.Writer, se *policy.Set, key string) error {
	ki, id, _ := strings.Cut(key, "/")
	re, revision, ok := se.Record(policy.Kind(ki), id)
	if !ok {
		return command.Exit(command.ExitFailed, eris.Errorf("no record %q", key))
	}
	text, err := sjson.SetBytes(re.JSON, "revision", int64(revision))
	if err != nil {
		return withExitCode(err)
	}
	_, err = wr.Write(pretty.Pretty(text))
	return err
}

const deleteHelp = `Delete records, all or none. A record that others refer to cannot be deleted.`

func newDeleteCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "delete KIND/ID...", Short: "Delete records", Long: deleteHelp, Args: cobra.MinimumNArgs(1),
		RunE: func(co *cobra.Command, args []string) error {
			return opt.editRecords(co, args, func(re policy.Record) (policy.Record, error) { return re.WithField("deleted", true) })
		},
	}
}

// editRecords replaces stored records by what edit returns for them, in one commit.
// It is refused if one of them has changed since it was read.
func (opt *options) editRecords(co *cobra.Command, keys []string, edit func(re policy.Record) (policy.Record, error)) error {
	se, err := opt.load(co.Context())
	if err != nil {
		return err
	}
	rq := configuration.Request{ChangedBy: opt.by}
	for _, key := range keys {
		ki, id, _ := strings.Cut(key, "/")
		re, revision, ok := se.Record(policy.Kind(ki), id)
		if !ok {
			return command.Exit(command.ExitFailed, eris.Errorf("no record %q", key))
		}
		if re, err = edit(re); err != nil {
			return withExitCode(err)
		}
		rq.Changes = append(rq.Changes, configuration.Change{Record: re, Base: revision})
	}
	return opt.apply(co, rq)
}

const historyHelp = `Print a record's states, oldest first, with who made each and under which
operation.`

func newHistoryCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "history KIND/ID", Short: "Print a record's earlier states", Long: historyHelp, Args: cobra.ExactArgs(1),
		RunE: func(co *cobra.Command, args []string) error {
			cl := opt.client()
			defer cl.Close()
			res, err := opt.writer(cl).History(co.Context(), args[0])
			if err != nil {
				return withExitCode(err)
			}
			for _, re := range res {
				_, _ = fmt.Fprintf(co.OutOrStdout(), "%s by %s\n%s", re.GetOperationId(), re.GetChangedBy(), indent("", re.JSON))
			}
			return nil
		},
	}
}
