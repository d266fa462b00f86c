// Package cli implements the command line interface of the cowslipfall program.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// Run executes one command line and returns the exit code: 0 on success, 1 on any
// error. SIGTERM and SIGINT end the context of the command.
func Run(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(stderr, "cowslipfall: "+err.Error())
		return 1
	}
	return 0
}

// newRoot returns the root command with all others below it.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cowslipfall",
		Short:         "A model-aware router for versions and cascades",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(), newEdge(), newQuarantine(), newLogs(), newConfig(), newRollout(), newStatus(), newExplain(),
		newDev(), newDemo(), newMeasure(), newCapacity(), newStandin(), newVersion(),
	)
	return root
}

// newVersion returns the command that prints the version of the program.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "cowslipfall "+version)
			return err
		},
	}
}
