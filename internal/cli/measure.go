package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/measure"
)

func newMeasure() *cobra.Command {
	var seed uint64
	var seeds int
	var format, plot, column string
	var spread bool
	cmd := &cobra.Command{
		Use:   "measure [SCENARIO...]",
		Short: "Measure the decisions against baselines; without a scenario, list them",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				for _, s := range measure.Scenarios() {
					fmt.Fprintf(cmd.OutOrStdout(), "%-24s %s\n", s.Name, s.About)
				}
				return nil
			}
			var results []measure.Result
			for _, name := range args {
				s, err := measure.Find(name)
				if err != nil {
					return err
				}
				for i := range seeds {
					at := seed + uint64(i)
					results = append(results, measure.Result{Scenario: s.Name, Seed: at, Table: s.Run(at)})
				}
			}
			if plot != "" {
				if err := measure.Plot(plot, column, results); err != nil {
					return err
				}
			}
			if spread {
				results = measure.Spread(results)
			}
			return measure.Write(cmd.OutOrStdout(), format, results)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().BoolVar(&spread, "spread", false, "print the mean over the seeds with the lowest and highest")
	cmd.Flags().StringVar(&plot, "plot", "", "draw a column of one scenario to this file, .svg or .png")
	cmd.Flags().StringVar(&column, "column", "urgent first p95 s", "the column to plot")
	cmd.Flags().StringVar(&format, "format", "text", "text, csv or json")
	return cmd
}
