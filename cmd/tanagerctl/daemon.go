package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerpoint.example/tanager/bill"
	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

// maxResponseBytes is the maximum size of a response that is printed.
const maxResponseBytes = 64 << 20

// callAdmin sends a request to the admin listener of the daemon at --admin and prints
// the body of the response.
func (opt *options) callAdmin(co *cobra.Command, method, path string) error {
	ctx, cancel := context.WithTimeout(co.Context(), callTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+opt.admin+path, nil)
	if err != nil {
		return command.Exit(command.ExitUsage, err)
	}
	rq.Header.Set("Authorization", "Bearer "+opt.key)
	rs, err := network.Real().UnpooledClient().Do(rq)
	if err != nil {
		return command.Exit(command.ExitUnreachable, err)
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes))
	if err != nil {
		return command.Exit(command.ExitUnreachable, err)
	}
	if rs.StatusCode >= http.StatusBadRequest {
		return command.Exit(command.ExitRefused, eris.Errorf("%s: %s", rs.Status, text))
	}
	_, err = fmt.Fprintf(co.OutOrStdout(), "%s\n", text)
	return err
}

const drainHelp = `Begin the graceful shutdown of the daemon at --admin: it leaves the address
answers and finishes what it has. It goes on answering until it is stopped.`

func newDrainCommand(opt *options) *cobra.Command {
	co := &cobra.Command{
		Use: "drain [ENDPOINT]", Short: "Drain a daemon, or an endpoint", Args: cobra.MaximumNArgs(1),
		Long: drainHelp + "\nWith the id of an endpoint, that endpoint gets no new work from any entry.",
	}
	var undo bool
	co.Flags().BoolVar(&undo, "undo", false, "give the endpoint work again")
	co.RunE = func(co *cobra.Command, args []string) error {
		if len(args) == 0 {
			return opt.callAdmin(co, http.MethodPost, "/v1/drain")
		}
		return opt.editRecords(co, []string{string(policy.KindEndpoint) + "/" + args[0]}, func(re policy.Record) (policy.Record, error) {
			return re.WithField("spec.draining", !undo)
		})
	}
	return co
}

const dumpHelp = `Print the state of the daemon at --admin, as JSON.`

func newDumpCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "dump", Short: "Print a daemon's state", Long: dumpHelp, Args: command.NoArguments,
		RunE: func(co *cobra.Command, _ []string) error { return opt.callAdmin(co, http.MethodGet, "/v1/dump") },
	}
}

const explainHelp = `Print why a request went where it did, from the entry at --admin that served
it. Entries remember their last few thousand requests.`

func newExplainCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST-ID", Short: "Print why a request went where it did", Long: explainHelp, Args: cobra.ExactArgs(1),
		RunE: func(co *cobra.Command, args []string) error {
			return opt.callAdmin(co, http.MethodGet, "/v1/explain/"+args[0])
		},
	}
}

const billsHelp = `Print the sealed bills, one a line, or with --sum their sums by organisation and
version. A request id is charged once for each organisation. Exits with 1 when a
bill is stored more than once.`

func newBillsCommand(opt *options) *cobra.Command {
	var sum bool
	co := &cobra.Command{
		Use: "bills", Short: "Print bills", Long: billsHelp, Args: command.NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			cl := opt.client()
			defer cl.Close()
			li, err := bill.List(co.Context(), cl, store.Key(opt.prefix))
			if err != nil {
				return withExitCode(err)
			}
			if sum {
				printSums(co.OutOrStdout(), li)
			} else {
				printBills(co.OutOrStdout(), li)
			}
			// Repeated bills are those of repeated requests, and no duplicates.
			if duplicates := li.Stored - len(li.Bills) - len(li.Repeated); duplicates > 0 {
				return command.Exit(command.ExitFailed, eris.Errorf("%d bills are stored more than once", duplicates))
			}
			return nil
		},
	}
	co.Flags().BoolVar(&sum, "sum", false, "print sums")
	return co
}

// printBills prints one bill a line. The resource of a bill is its service, or its
// version if it has no service.
func printBills(wr io.Writer, li bill.Listing) {
	for _, bi := range li.Bills {
		resource := bi.GetVersion()
		if bi.GetService() != "" {
			resource = bi.GetService()
		}
		_, _ = fmt.Fprintf(wr, "%s %s %s %s %s in=%d out=%d cost=%d %s\n", time.UnixMilli(bi.GetFinishedAtMs()).UTC().Format(time.RFC3339),
			bi.GetId(), bi.GetOrganisation(), bi.GetRank(), resource, bi.GetInputTokens(), bi.GetOutputTokens(), bi.GetCost(), bi.GetOutcome())
	}
}

func printSums(wr io.Writer, li bill.Listing) {
	for _, su := range bill.Sum(li.Bills) {
		_, _ = fmt.Fprintf(wr, "%-24s %-24s bills=%d in=%d out=%d cost=%d\n", su.Organisation, su.Resource, su.Bills, su.InputTokens, su.OutputTokens, su.Cost)
	}
}

const hashKeyHelp = `Print the form in which a key is stored in records. The key is read from the
standard input.`

func newHashKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hash-key", Short: "Print a key's hash", Long: hashKeyHelp, Args: command.NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			var key string
			if _, err := fmt.Fscanln(co.InOrStdin(), &key); err != nil {
				return command.Exit(command.ExitUsage, eris.New("no key on the standard input"))
			}
			_, err := fmt.Fprintln(co.OutOrStdout(), policy.HashKey(key))
			return err
		},
	}
}
