package cli

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// rolloutStep is one command that changes a roll-out or a version.
type rolloutStep struct {
	use   string
	short string
	// does tells beforehand what will happen.
	does func(r *config.Revision, name string) string
	edit func(r *config.Revision, name, reason string) error
}

var rolloutSteps = []rolloutStep{
	{"start NAME", "Begin a roll-out at its first stage",
		func(r *config.Revision, name string) string { return shareText(r, name, 0) },
		func(r *config.Revision, name, _ string) error { return rollout.Start(r, name, time.Now()) }},
	{"pause NAME", "Keep a roll-out at its stage",
		func(r *config.Revision, name string) string {
			return "keeps " + shareText(r, name, rollout.State(r, name).Stage)
		},
		func(r *config.Revision, name, _ string) error { return rollout.Pause(r, name) }},
	{"continue NAME", "Let a paused roll-out go on; its stage bakes anew",
		func(r *config.Revision, name string) string { return shareText(r, name, rollout.State(r, name).Stage) },
		func(r *config.Revision, name, _ string) error { return rollout.Continue(r, name, time.Now()) }},
	{"advance NAME", "Go to the next stage now, without waiting",
		func(r *config.Revision, name string) string {
			return shareText(r, name, rollout.State(r, name).Stage+1)
		},
		func(r *config.Revision, name, _ string) error { return rollout.Advance(r, name, time.Now()) }},
	{"promote NAME", "Give the new version all new sessions now",
		func(r *config.Revision, name string) string { return shareText(r, name, promotedStage) },
		func(r *config.Revision, name, _ string) error { return rollout.Promote(r, name, time.Now()) }},
	{"withdraw MODEL@VERSION", "Stop all new work on a version",
		func(_ *config.Revision, name string) string {
			return name + " gets no new work; sessions on it move once to the version in place; running answers end"
		},
		func(r *config.Revision, name, reason string) error {
			return rollout.Withdraw(r, config.ParseTarget(name), reason, time.Now())
		}},
	{"restore MODEL@VERSION", "Lift a withdrawal; its roll-outs begin from the start",
		func(_ *config.Revision, name string) string {
			return name + " may be used again; its roll-outs are back before their first stage"
		},
		func(r *config.Revision, name, _ string) error {
			return rollout.Restore(r, config.ParseTarget(name))
		}},
}

// promotedStage lies past the stages of every plan.
const promotedStage = 1 << 20

// shareText tells a stage in words.
func shareText(r *config.Revision, name string, stage int) string {
	plan := r.Config.Rollouts[name]
	switch {
	case plan == nil || stage < 0:
		return name + " has not begun"
	case stage >= len(plan.Stages):
		return fmt.Sprintf("all new sessions of %s get %s", plan.Model, rollout.Target(plan))
	default:
		s := plan.Stages[stage]
		return fmt.Sprintf("stage %d of %d: %g%% of new sessions of %s get %s, for at least %s", stage+1, len(plan.Stages), s.Percent, plan.Model, rollout.Target(plan), s.Bake.Std())
	}
}

func newRollout() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Bring versions in step by step, or withdraw them"}
	cmd.AddCommand(newRolloutShow())
	for _, step := range rolloutSteps {
		cmd.AddCommand(newRolloutStep(step))
	}
	return cmd
}

func newRolloutStep(step rolloutStep) *cobra.Command {
	var base, reason string
	var revision int64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   step.use,
		Short: step.short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := infra.NewClient(base, platformTimeout)
			store := config.NewStore(client, client)
			now, err := store.Newest(cmd.Context())
			if err != nil {
				return errors.Wrap(err, "read the newest revision")
			}
			if now == nil {
				return errors.New("there is no configuration yet: apply one with \"config apply DIR\"")
			}
			if revision < 0 {
				revision = int64(now.Number)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "revision %d: %s\n", now.Number, step.does(now, args[0]))
			if err := step.edit(scratch(now), args[0], reason); err != nil || dryRun {
				return err
			}
			rev, err := store.Apply(cmd.Context(), config.Change{Base: uint64(revision), Author: author(), Note: cmd.CommandPath() + " " + args[0] + ": " + reason,
				Edit: func(r *config.Revision) error { return step.edit(r, args[0], reason) }})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d; nodes have it in force within seconds, see \"status\"\n", rev.Number)
			return err
		},
	}
	platformFlag(cmd, &base)
	cmd.Flags().StringVar(&reason, "reason", "by an operator", "why, in a few words")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only tell what would happen")
	cmd.Flags().Int64Var(&revision, "base", -1, "revision that the change was made on; the newest if not given")
	return cmd
}

// scratch returns a copy whose stages and withdrawals may be changed.
func scratch(r *config.Revision) *config.Revision {
	out := *r
	out.Stages = map[string]config.RolloutState{}
	for k, v := range r.Stages {
		out.Stages[k] = v
	}
	out.Withdrawn = map[config.Target]config.Withdrawal{}
	for k, v := range r.Withdrawn {
		out.Withdrawn[k] = v
	}
	return &out
}

func newRolloutShow() *cobra.Command {
	var base string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show roll-outs and withdrawn versions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := infra.NewClient(base, platformTimeout)
			rev, err := config.NewStore(client, client).Newest(cmd.Context())
			if err != nil || rev == nil {
				return errors.Wrap(err, "read the newest revision")
			}
			return printRollouts(cmd, rev)
		},
	}
	platformFlag(cmd, &base)
	return cmd
}

func printRollouts(cmd *cobra.Command, rev *config.Revision) error {
	out := cmd.OutOrStdout()
	for _, name := range config.Names(rev.Config.Rollouts) {
		s := rollout.State(rev, name)
		paused := ""
		if s.Paused || rev.Config.Rollouts[name].Paused {
			paused = ", paused"
		}
		if rev.IsWithdrawn(rollout.Target(rev.Config.Rollouts[name])) {
			paused = ", withdrawn"
		}
		fmt.Fprintf(out, "%s: %s%s, share %g%%\n", name, shareText(rev, name, s.Stage), paused, 100*shareOf(rev, name))
	}
	for t, w := range rev.Withdrawn {
		fmt.Fprintf(out, "withdrawn %s at %s: %s\n", t, w.At.Format(time.RFC3339), w.Reason)
	}
	return nil
}

// shareOf is the share of new sessions that a roll-out's version gets.
func shareOf(rev *config.Revision, name string) float64 {
	if rev.IsWithdrawn(rollout.Target(rev.Config.Rollouts[name])) {
		return 0
	}
	return routing.RolloutShare(rev, name)
}

func newConfigDiff() *cobra.Command {
	var base string
	cmd := &cobra.Command{
		Use:   "diff DIR",
		Short: "Show what applying a folder would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, err := config.LoadFolder(args[0])
			if err != nil {
				return err
			}
			client := infra.NewClient(base, platformTimeout)
			rev, err := config.NewStore(client, client).Newest(cmd.Context())
			if err != nil {
				return errors.Wrap(err, "read the newest revision")
			}
			if rev == nil {
				rev = &config.Revision{Config: &config.Config{}}
			}
			list, err := config.Diff(rev.Config, next)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d differences from revision %d; apply with --base %d\n", len(list), rev.Number, rev.Number)
			for _, d := range list {
				fmt.Fprintln(cmd.OutOrStdout(), d)
			}
			return nil
		},
	}
	platformFlag(cmd, &base)
	return cmd
}
