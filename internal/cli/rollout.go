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

// rolloutCommand is a command that changes a roll-out or withdraws or restores a
// version.
type rolloutCommand struct {
	use   string
	short string
	// describe returns what the command will do, to be printed beforehand.
	describe func(r *config.Revision, name string) string
	// edit makes the change in r.
	edit func(r *config.Revision, name, reason string) error
}

// rolloutCommands are the commands below "rollout" that make a change.
var rolloutCommands = []rolloutCommand{
	{"start NAME", "Start a roll-out at its first stage",
		func(r *config.Revision, name string) string { return describeStage(r, name, 0) },
		func(r *config.Revision, name, _ string) error { return rollout.Start(r, name, time.Now()) }},
	{"pause NAME", "Pause a roll-out at its current stage",
		func(r *config.Revision, name string) string {
			return "paused: " + describeStage(r, name, rollout.State(r, name).Stage)
		},
		func(r *config.Revision, name, _ string) error { return rollout.Pause(r, name) }},
	{"continue NAME", "Continue a paused roll-out; the bake time of its stage starts again",
		func(r *config.Revision, name string) string {
			return describeStage(r, name, rollout.State(r, name).Stage)
		},
		func(r *config.Revision, name, _ string) error { return rollout.Continue(r, name, time.Now()) }},
	{"advance NAME", "Go to the next stage now, without waiting",
		func(r *config.Revision, name string) string {
			return describeStage(r, name, rollout.State(r, name).Stage+1)
		},
		func(r *config.Revision, name, _ string) error { return rollout.Advance(r, name, time.Now()) }},
	{"promote NAME", "Give the new version all new sessions now",
		func(r *config.Revision, name string) string { return describeStage(r, name, promotedStage) },
		func(r *config.Revision, name, _ string) error { return rollout.Promote(r, name, time.Now()) }},
	{"withdraw MODEL@VERSION", "Stop sending new work to a version",
		func(_ *config.Revision, name string) string {
			return name + " gets no new work; sessions on it move once to the version in place; running answers end"
		},
		func(r *config.Revision, name, reason string) error {
			return rollout.Withdraw(r, config.ParseTarget(name), reason, time.Now())
		}},
	{"restore MODEL@VERSION", "Undo a withdrawal; roll-outs of the version start over",
		func(_ *config.Revision, name string) string {
			return name + " may be used again; its roll-outs return to the state before their first stage"
		},
		func(r *config.Revision, name, _ string) error {
			return rollout.Restore(r, config.ParseTarget(name))
		}},
}

// promotedStage is higher than the number of stages of any plan.
const promotedStage = 1 << 20

// describeStage returns the share of new sessions that a stage of a roll-out
// gives to the new version, as text.
func describeStage(r *config.Revision, name string, stage int) string {
	plan := r.Config.Rollouts[name]
	switch {
	case plan == nil || stage < 0:
		return name + " has not started"
	case stage >= len(plan.Stages):
		return fmt.Sprintf("all new sessions of %s get %s", plan.Model, rollout.Target(plan))
	default:
		s := plan.Stages[stage]
		return fmt.Sprintf("stage %d of %d: %g%% of new sessions of %s get %s, for at least %s", stage+1, len(plan.Stages), s.Percent, plan.Model, rollout.Target(plan), s.Bake.Std())
	}
}

// newRollout returns the parent of the roll-out commands.
func newRollout() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Roll out versions in stages, or withdraw them"}
	cmd.AddCommand(newRolloutShow())
	for _, command := range rolloutCommands {
		cmd.AddCommand(newRolloutCommand(command))
	}
	return cmd
}

// newRolloutCommand returns the cobra command for a change. It prints what the
// change will do, tries it on a copy of the newest revision, and applies it
// unless --dry-run is set.
func newRolloutCommand(command rolloutCommand) *cobra.Command {
	var platformURL, reason string
	var baseRevision int64
	var isDryRun bool
	cmd := &cobra.Command{
		Use:   command.use,
		Short: command.short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := infra.NewClient(platformURL, platformTimeout)
			store := config.NewStore(client, client)
			current, err := store.Newest(cmd.Context())
			if err != nil {
				return errors.Wrap(err, "read the newest revision")
			}
			if current == nil {
				return errors.New("there is no configuration yet: apply one with \"config apply DIR\"")
			}
			if baseRevision < 0 {
				baseRevision = int64(current.Number)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "revision %d: %s\n", current.Number, command.describe(current, args[0]))
			if err := command.edit(copyForEdit(current), args[0], reason); err != nil || isDryRun {
				return err
			}
			rev, err := store.Apply(cmd.Context(), config.Change{Base: uint64(baseRevision), Author: author(), Note: cmd.CommandPath() + " " + args[0] + ": " + reason,
				Edit: func(r *config.Revision) error { return command.edit(r, args[0], reason) }})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d; nodes apply it within seconds, see \"status\"\n", rev.Number)
			return err
		},
	}
	addPlatformFlag(cmd, &platformURL)
	cmd.Flags().StringVar(&reason, "reason", "by an operator", "short reason for the change")
	cmd.Flags().BoolVar(&isDryRun, "dry-run", false, "only print what would happen")
	cmd.Flags().Int64Var(&baseRevision, "base", -1, "revision that the change is based on; the newest if not given")
	return cmd
}

// copyForEdit returns a copy of a revision whose stages and withdrawals may be
// changed. It shares the configuration with the original.
func copyForEdit(r *config.Revision) *config.Revision {
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

// newRolloutShow returns the command that prints roll-outs and withdrawals.
func newRolloutShow() *cobra.Command {
	var platformURL string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show roll-outs and withdrawn versions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := infra.NewClient(platformURL, platformTimeout)
			rev, err := config.NewStore(client, client).Newest(cmd.Context())
			if err != nil || rev == nil {
				return errors.Wrap(err, "read the newest revision")
			}
			return printRollouts(cmd, rev)
		},
	}
	addPlatformFlag(cmd, &platformURL)
	return cmd
}

// printRollouts prints the stage, the state and the current share of each
// roll-out, and each withdrawal.
func printRollouts(cmd *cobra.Command, rev *config.Revision) error {
	out := cmd.OutOrStdout()
	for _, name := range config.Names(rev.Config.Rollouts) {
		s := rollout.State(rev, name)
		suffix := ""
		if s.Paused || rev.Config.Rollouts[name].Paused {
			suffix = ", paused"
		}
		if rev.IsWithdrawn(rollout.Target(rev.Config.Rollouts[name])) {
			suffix = ", withdrawn"
		}
		fmt.Fprintf(out, "%s: %s%s, share %g%%\n", name, describeStage(rev, name, s.Stage), suffix, 100*currentShare(rev, name))
	}
	for t, w := range rev.Withdrawn {
		fmt.Fprintf(out, "withdrawn %s at %s: %s\n", t, w.At.Format(time.RFC3339), w.Reason)
	}
	return nil
}

// currentShare returns the share of new sessions that a roll-out gives to its
// version now, 0 to 1; 0 if the version is withdrawn.
func currentShare(rev *config.Revision, name string) float64 {
	if rev.IsWithdrawn(rollout.Target(rev.Config.Rollouts[name])) {
		return 0
	}
	return routing.RolloutShare(rev, name)
}

// newConfigDiff returns the command that compares a folder with the newest
// revision.
func newConfigDiff() *cobra.Command {
	var platformURL string
	cmd := &cobra.Command{
		Use:   "diff DIR",
		Short: "Show what applying a folder would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			next, err := config.LoadFolder(args[0])
			if err != nil {
				return err
			}
			client := infra.NewClient(platformURL, platformTimeout)
			rev, err := config.NewStore(client, client).Newest(cmd.Context())
			if err != nil {
				return errors.Wrap(err, "read the newest revision")
			}
			if rev == nil {
				rev = &config.Revision{Config: &config.Config{}}
			}
			differences, err := config.Diff(rev.Config, next)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d differences from revision %d; apply with --base %d\n", len(differences), rev.Number, rev.Number)
			for _, d := range differences {
				fmt.Fprintln(cmd.OutOrStdout(), d)
			}
			return nil
		},
	}
	addPlatformFlag(cmd, &platformURL)
	return cmd
}
