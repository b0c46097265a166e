package main

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/policy"
)

const withdrawHelp = `Withdraw a version: it gets no new work from the moment that each daemon learns
of it. If it is its model's stable version, name another one with --stable. A
roll-out to it is aborted by the same change.`

func newWithdrawCommand(opt *options) *cobra.Command {
	var stable string
	co := &cobra.Command{
		Use: "withdraw VERSION", Short: "Withdraw a version", Long: withdrawHelp, Args: cobra.ExactArgs(1),
		RunE: func(co *cobra.Command, args []string) error {
			se, err := opt.load(co.Context())
			if err != nil {
				return err
			}
			rq, err := withdrawalRequest(se, policy.VersionID(args[0]), policy.VersionID(stable))
			if err != nil {
				return command.Exit(command.ExitFailed, err)
			}
			rq.ChangedBy = opt.by
			return opt.apply(co, rq)
		},
	}
	co.Flags().StringVar(&stable, "stable", "", "version that the model's new sessions get")
	return co
}

// withdrawalRequest returns the request that withdraws version id. If id is the stable
// version of its model, the request also replaces it there by the version stable. An
// active roll-out from or to id is aborted. The caller sets ChangedBy.
func withdrawalRequest(se *policy.Set, id, stable policy.VersionID) (configuration.Request, error) {
	var rq configuration.Request
	add := func(ki policy.Kind, id, path string, value any) error {
		ch, err := fieldChange(se, ki, id, path, value)
		rq.Changes = append(rq.Changes, ch)
		return err
	}
	if err := add(policy.KindVersion, string(id), "spec.state", "WITHDRAWN"); err != nil {
		return rq, err
	}
	ve, _ := se.Versions.ByID(id)
	mo, ok := se.Models.ByID(policy.ModelID(ve.Model))
	if ok && mo.StableVersion == string(id) {
		if stable == "" {
			return rq, eris.Errorf("%s is the stable version of model %s: name another with --stable", id, mo.ID)
		}
		if err := add(policy.KindModel, string(mo.ID), "spec.stable_version", string(stable)); err != nil {
			return rq, err
		}
	}
	if ro, ok := se.ActiveRollout(mo.ID); ok && (ro.ToVersion == string(id) || ro.FromVersion == string(id)) {
		return rq, add(policy.KindRollout, string(ro.ID), "spec.state", "ABORTED")
	}
	return rq, nil
}

// fieldChange returns the change that sets one field of a stored record.
func fieldChange(se *policy.Set, ki policy.Kind, id, path string, value any) (configuration.Change, error) {
	re, revision, ok := se.Record(ki, id)
	if !ok {
		return configuration.Change{}, eris.Errorf("no record %s/%s", ki, id)
	}
	re, err := re.WithField(path, value)
	return configuration.Change{Record: re, Base: revision}, err
}

const rolloutHelp = `Start, pause, resume, abort or show roll-outs. Stewards move a running one from
share to share, and abort it when the new version is bad.`

func newRolloutCommand(opt *options) *cobra.Command {
	co := &cobra.Command{Use: "rollout", Short: "Start, pause, abort or show roll-outs", Long: rolloutHelp}
	co.AddCommand(newRolloutStartCommand(opt), newRolloutStatusCommand(opt),
		newRolloutStateCommand(opt, "pause", "PAUSED", "Stop moving a roll-out's share"),
		newRolloutStateCommand(opt, "resume", "RUNNING", "Go on with a paused roll-out"),
		newRolloutStateCommand(opt, "abort", "ABORTED", "Give new sessions the old version again"))
	return co
}

const rolloutStartHelp = `Start a roll-out of a version, from its model's stable version.`

func newRolloutStartCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "start ROLLOUT VERSION", Short: "Start a roll-out", Long: rolloutStartHelp, Args: cobra.ExactArgs(2),
		RunE: func(co *cobra.Command, args []string) error {
			se, err := opt.load(co.Context())
			if err != nil {
				return err
			}
			ve, ok := se.Versions.ByID(policy.VersionID(args[1]))
			if !ok {
				return command.Exit(command.ExitFailed, eris.Errorf("no version %q", args[1]))
			}
			mo, _ := se.Models.ByID(policy.ModelID(ve.Model))
			text := fmt.Sprintf(`{"schema_version":%d,"kind":"rollout","id":%q,"spec":{"model":%q,"from_version":%q,"to_version":%q,"state":"RUNNING"}}`,
				policy.SchemaVersion, args[0], ve.Model, mo.StableVersion, args[1])
			re, err := policy.ParseRecord([]byte(text))
			if err != nil {
				return withExitCode(err)
			}
			return opt.apply(co, configuration.Request{ChangedBy: opt.by, Changes: []configuration.Change{{Record: re}}})
		},
	}
}

func newRolloutStateCommand(opt *options, use, state, short string) *cobra.Command {
	return &cobra.Command{
		Use: use + " ROLLOUT", Short: short, Long: short + ".", Args: cobra.ExactArgs(1),
		RunE: func(co *cobra.Command, args []string) error {
			return opt.editRecords(co, []string{string(policy.KindRollout) + "/" + args[0]}, func(re policy.Record) (policy.Record, error) {
				return re.WithField("spec.state", state)
			})
		},
	}
}

const rolloutStatusHelp = `Print every roll-out with its state and share, and why it was aborted.`

func newRolloutStatusCommand(opt *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show roll-outs", Long: rolloutStatusHelp, Args: command.NoArguments,
		RunE: func(co *cobra.Command, _ []string) error {
			se, err := opt.load(co.Context())
			if err != nil {
				return err
			}
			for _, ro := range se.Rollouts.List() {
				re, _, _ := se.Record(policy.KindRollout, string(ro.ID))
				_, _ = fmt.Fprintf(co.OutOrStdout(), "%-24s %s -> %s  %s  share %.2f  by %s  %s\n", ro.ID, ro.FromVersion, ro.ToVersion,
					ro.State, ro.Share, re.GetChangedBy(), gjson.GetBytes(re.JSON, "spec.reason").Str)
			}
			return nil
		},
	}
}
