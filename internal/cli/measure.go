package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/measure"
)

// newMeasure returns the command that runs scenarios against baselines.
func newMeasure() *cobra.Command {
	var seed uint64
	var seeds int
	var format, plot, column string
	var spread bool
	cmd := &cobra.Command{
		Use:   "measure [SCENARIO...]",
		Short: "Compare the router's decisions with baselines; without a scenario, list the scenarios",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				for _, s := range measure.Scenarios() {
					fmt.Fprintf(cmd.OutOrStdout(), "%-24s %s\n", s.Name, s.Description)
				}
				return nil
			}
			var results []measure.Result
			for _, name := range args {
				s, err := measure.FindScenario(name)
				if err != nil {
					return err
				}
				for i := range seeds {
					currentSeed := seed + uint64(i)
					results = append(results, measure.Result{Scenario: s.Name, Seed: currentSeed, Table: s.Run(currentSeed)})
				}
			}
			if plot != "" {
				if err := measure.Plot(plot, column, results); err != nil {
					return err
				}
			}
			if spread {
				results = measure.Summarize(results)
			}
			return measure.Write(cmd.OutOrStdout(), format, results)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().BoolVar(&spread, "spread", false, "print the mean, the lowest and the highest value over the seeds")
	cmd.Flags().StringVar(&plot, "plot", "", "plot a column of one scenario to this file, .svg or .png")
	cmd.Flags().StringVar(&column, "column", "urgent first p95 s", "the column to plot")
	cmd.Flags().StringVar(&format, "format", "text", "output format: text, csv or json")
	return cmd
}
