package cli

import (
	"context"
	"fmt"
	"os/user"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
)

const platformTimeout = 5 * time.Second

// newConfig returns the parent of the configuration commands.
func newConfig() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check, apply, show and compare the fleet's configuration"}
	cmd.AddCommand(newConfigCheck(), newConfigApply(), newConfigShow(), newConfigDiff())
	return cmd
}

// newConfigCheck returns the command that checks a folder offline.
func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check a configuration folder without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := config.LoadFolder(args[0])
			if err != nil {
				return err
			}
			_, hash, err := c.Encode()
			if err != nil {
				return err
			}
			printWarnings(cmd, c)
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "ok: %d organisations, %d models, %d pools, %d services, %d ranks, %d quiet hours, %d roll-outs; hash %.12s\n",
				len(c.Organisations), len(c.Models), len(c.Pools), len(c.Services), len(c.Ranks), len(c.QuietHours), len(c.Rollouts), hash)
			return err
		},
	}
}

// printWarnings prints a warning for each setting that is valid but probably not
// what the operator intended.
func printWarnings(cmd *cobra.Command, c *config.Config) {
	for _, w := range c.Warnings() {
		fmt.Fprintln(cmd.ErrOrStderr(), "warning: "+w)
	}
}

// author returns the name of the operating system user, which is recorded as the
// author of a change.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// PlatformError reports that the platform did not answer a command.
type PlatformError struct {
	// URL is the base URL of the platform.
	URL string
	// Cause is the error of the call.
	Cause error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("the platform at %s gave no answer: check --platform and the platform's health; if you sent a change, see with \"config show\" whether it took effect; sending it again is safe (%s)", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }

// wrapPlatformError wraps an error of an unavailable platform in a PlatformError
// and returns any other error as it is.
func wrapPlatformError(platformURL string, err error) error {
	if errors.Is(err, infra.ErrUnavailable) {
		return &PlatformError{URL: platformURL, Cause: err}
	}
	return err
}

// addPlatformFlag adds the required flag for the platform's URL.
func addPlatformFlag(cmd *cobra.Command, platformURL *string) {
	cmd.Flags().StringVar(platformURL, "platform", "", "base URL of the platform, such as http://10.0.0.9:7000")
	_ = cmd.MarkFlagRequired("platform")
}

// newConfigApply returns the command that applies a folder as a new revision.
func newConfigApply() *cobra.Command {
	var platformURL, note string
	var baseRevision int64
	var wait bool
	var timeout time.Duration
	operator := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Apply a folder as the configuration of the whole fleet",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if wait && !cmd.Flags().Changed("node") {
				return errors.New("--wait needs --node and --key: give the operators' address of any node")
			}
			c, err := config.LoadFolder(args[0])
			if err != nil {
				return err
			}
			printWarnings(cmd, c)
			client := infra.NewClient(platformURL, platformTimeout)
			rev, err := apply(cmd.Context(), client, c, baseRevision, note)
			if err != nil {
				return wrapPlatformError(platformURL, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d, hash %.12s\n", rev.Number, rev.Hash)
			if !wait {
				return nil
			}
			return waitInForce(cmd, operator, rev.Number, timeout)
		},
	}
	addPlatformFlag(cmd, &platformURL)
	operator.addOptional(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the revision is in force on every live node; needs --node and --key")
	cmd.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "how long to wait")
	cmd.MarkFlagsRequiredTogether("node", "key")
	cmd.Flags().StringVar(&note, "note", "config apply", "short description of the change")
	cmd.Flags().Int64Var(&baseRevision, "base", -1, "revision that the change is based on; the newest if not given")
	return cmd
}

// apply replaces the configuration's content and returns the new revision. A
// negative baseRevision means the newest one.
func apply(ctx context.Context, client *infra.Client, c *config.Config, baseRevision int64, note string) (*config.Revision, error) {
	store := config.NewStore(client, client)
	if baseRevision < 0 {
		head, _, err := store.Head(ctx)
		if err != nil {
			return nil, errors.Wrap(err, "read the newest revision")
		}
		baseRevision = int64(head.Number)
	}
	return store.Apply(ctx, config.Change{Base: uint64(baseRevision), Author: author(), Note: note, Edit: func(r *config.Revision) error {
		r.Config = c
		return nil
	}})
}

// newConfigShow returns the command that prints the newest revision as TOML.
func newConfigShow() *cobra.Command {
	var platformURL string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show the newest accepted configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := infra.NewClient(platformURL, platformTimeout)
			rev, err := config.NewStore(client, client).Newest(cmd.Context())
			if err != nil {
				return wrapPlatformError(platformURL, err)
			}
			if rev == nil {
				return errors.New("there is no configuration yet: apply one with \"config apply DIR\"")
			}
			fmt.Fprintf(cmd.OutOrStdout(), "# revision %d by %s at %s: %s\n", rev.Number, rev.Author, rev.At.Format(time.RFC3339), rev.Note)
			return toml.NewEncoder(cmd.OutOrStdout()).Encode(rev.Config)
		},
	}
	addPlatformFlag(cmd, &platformURL)
	return cmd
}
