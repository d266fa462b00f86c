package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
)

// firstOrganisation returns the alphabetically first organisation.
func firstOrganisation(c *config.Config) string {
	return slices.Sorted(maps.Keys(c.Organisations))[0]
}

// demoTimeout is the maximum duration of the load.
const demoTimeout = 2 * time.Minute

// newDemo returns the command that runs an example deployment under load.
func newDemo() *cobra.Command {
	var example string
	var requests int
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run an example deployment, send it a mixed load, and check every answer, bill and confirmation",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := startEmbedded(cmd.Context(), example, zap.NewNop())
			if err != nil {
				return err
			}
			defer f.Close()
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			report, err := embedded.RunLoad(ctx, f, requests)
			if err != nil {
				return err
			}
			return printDemo(cmd, report)
		},
	}
	cmd.Flags().StringVar(&example, "example", embedded.Virtanen.Name, "example to run: virtanen or turnoflor")
	cmd.Flags().IntVar(&requests, "requests", 300, "number of requests")
	return cmd
}

// printDemo prints a report, and returns an error if a check failed.
func printDemo(cmd *cobra.Command, r *embedded.Report) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RANK\tKIND\tSENT\tSERVED\tREFUSED\tFIRST ANSWER P50\tP99")
	for _, line := range r.Lines {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", line.Rank, line.Kind, line.Sent, line.Served, line.Refused, line.P50, line.P99)
	}
	fmt.Fprintf(w, "\nbills stored: %d of %d served; confirmations run: %d of %d distinct\n", r.Bills, r.Served, r.ConfirmationRuns, r.Confirmations)
	if err := w.Flush(); err != nil {
		return err
	}
	for _, failure := range r.FailedChecks {
		fmt.Fprintln(cmd.OutOrStdout(), "FAULT: "+failure)
	}
	if len(r.FailedChecks) > 0 {
		return errors.Errorf("%d checks failed", len(r.FailedChecks))
	}
	_, err := fmt.Fprintln(cmd.OutOrStdout(), "every answer, bill and confirmation adds up")
	return err
}
