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

func newConfig() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check, apply and show the operators' configuration"}
	cmd.AddCommand(newConfigCheck(), newConfigApply(), newConfigShow(), newConfigDiff())
	return cmd
}

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

// printWarnings tells what a folder without a fault allows but an operator
// hardly means.
func printWarnings(cmd *cobra.Command, c *config.Config) {
	for _, w := range c.Warnings() {
		fmt.Fprintln(cmd.ErrOrStderr(), "warning: "+w)
	}
}

// author names the operator who makes a change.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// PlatformError tells that the platform gave no answer to a command.
type PlatformError struct {
	// Base is the platform's URL, Cause what went wrong.
	Base  string
	Cause error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("the platform at %s gave no answer: check --platform and the platform's health; if it was a change, look with \"config show\" whether it took effect, sending it again is safe (%s)", e.Base, e.Cause)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }

// platformError names the platform in an error that tells of no answer.
func platformError(base string, err error) error {
	if errors.Is(err, infra.ErrUnavailable) {
		return &PlatformError{Base: base, Cause: err}
	}
	return err
}

// platformFlag adds the flag that names the platform.
func platformFlag(cmd *cobra.Command, base *string) {
	cmd.Flags().StringVar(base, "platform", "", "base URL of the platform, such as http://10.0.0.9:7000")
	_ = cmd.MarkFlagRequired("platform")
}

func newConfigApply() *cobra.Command {
	var base, note string
	var revision int64
	var wait bool
	var timeout time.Duration
	operator := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Make a folder the configuration of the whole fleet",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if wait && !cmd.Flags().Changed("node") {
				return errors.New("--wait needs --node and --key: name the operators' address of any node")
			}
			c, err := config.LoadFolder(args[0])
			if err != nil {
				return err
			}
			printWarnings(cmd, c)
			client := infra.NewClient(base, platformTimeout)
			rev, err := apply(cmd.Context(), client, c, revision, note)
			if err != nil {
				return platformError(base, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d, hash %.12s\n", rev.Number, rev.Hash)
			if !wait {
				return nil
			}
			return waitInForce(cmd, operator, rev.Number, timeout)
		},
	}
	platformFlag(cmd, &base)
	operator.addOptional(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until every live node has it in force; needs --node and --key")
	cmd.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "how long to wait")
	cmd.MarkFlagsRequiredTogether("node", "key")
	cmd.Flags().StringVar(&note, "note", "config apply", "what changes, in a few words")
	cmd.Flags().Int64Var(&revision, "base", -1, "revision that the change was made on; the newest if not given")
	return cmd
}

// apply replaces the configuration's content; a negative base means the
// newest revision.
func apply(ctx context.Context, client *infra.Client, c *config.Config, base int64, note string) (*config.Revision, error) {
	store := config.NewStore(client, client)
	if base < 0 {
		head, _, err := store.Head(ctx)
		if err != nil {
			return nil, errors.Wrap(err, "read the newest revision")
		}
		base = int64(head.Number)
	}
	return store.Apply(ctx, config.Change{Base: uint64(base), Author: author(), Note: note, Edit: func(r *config.Revision) error {
		r.Config = c
		return nil
	}})
}

func newConfigShow() *cobra.Command {
	var base string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show the newest accepted configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client := infra.NewClient(base, platformTimeout)
			rev, err := config.NewStore(client, client).Newest(cmd.Context())
			if err != nil {
				return platformError(base, err)
			}
			if rev == nil {
				return errors.New("there is no configuration yet: apply one with \"config apply DIR\"")
			}
			fmt.Fprintf(cmd.OutOrStdout(), "# revision %d by %s at %s: %s\n", rev.Number, rev.Author, rev.At.Format(time.RFC3339), rev.Note)
			return toml.NewEncoder(cmd.OutOrStdout()).Encode(rev.Config)
		},
	}
	platformFlag(cmd, &base)
	return cmd
}
