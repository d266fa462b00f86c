package cli

import (
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"maps"

	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/capacity"
)

// newCapacity returns the command that measures the cost of coordination.
func newCapacity() *cobra.Command {
	var nodes, replicas, organisations []int
	var shape capacity.Shape
	var times capacity.Times
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of coordination per node for fleets of given sizes",
		Long: `Runs whole fleets in this process over loopback, one for each combination of
the given sizes, and prints what coordination costs a node and the store.
docs/CAPACITY.md derives the design size from such figures.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var results []capacity.Result
			for _, n := range nodes {
				for _, r := range replicas {
					for _, o := range organisations {
						fleetShape := shape
						fleetShape.Nodes, fleetShape.Replicas, fleetShape.Organisations = n, r, o
						result, err := capacity.Measure(fleetShape, times)
						if err != nil {
							return err
						}
						results = append(results, result)
					}
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(results)
			}
			return printCapacity(cmd, results)
		},
	}
	cmd.Flags().IntSliceVar(&nodes, "nodes", []int{36}, "numbers of nodes")
	cmd.Flags().IntSliceVar(&replicas, "replicas", []int{60}, "numbers of replicas")
	cmd.Flags().IntSliceVar(&organisations, "organisations", []int{20}, "numbers of organisations")
	cmd.Flags().IntVar(&shape.Requests, "requests", 0, "requests a second that acquire a slot")
	cmd.Flags().IntVar(&shape.Regions, "regions", 3, "number of regions")
	cmd.Flags().IntVar(&shape.DataCentres, "data-centres", 9, "number of data centres")
	cmd.Flags().DurationVar(&times.Settle, "settle", 15*time.Second, "time before the measurement starts")
	cmd.Flags().DurationVar(&times.Window, "window", 20*time.Second, "length of the measurement")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// printCapacity prints the results as a table, followed by the store calls of
// each fleet.
func printCapacity(cmd *cobra.Command, results []capacity.Result) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tREPLICAS\tORGANISATIONS\tREQUESTS/S\tBYTES/S\tWIRE B/S\tBUSIEST\tSEGMENTS/S\tCPU %\tMEMORY KB\tSTORE B/S\tCONFIG S\tNEAR S\tFAR S\tFALSE")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%d\n",
			r.Nodes, r.Replicas, r.Organisations, r.Requests, r.BytesPerSecond, r.WirePerSecond, r.BusiestWirePerSecond, r.SegmentsPerSecond,
			r.CPUPercent, r.MemoryBytes/1000, r.StoreBytesPerSecond, r.ConfigSeconds, r.LocalDetectionSeconds, r.FleetDetectionSeconds, r.FalseSuspicions)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		fmt.Fprintf(cmd.OutOrStdout(), "\nstore calls a second, %d nodes:\n", r.Nodes)
		for _, callKind := range slices.Sorted(maps.Keys(r.StoreCallsPerSecond)) {
			fmt.Fprintf(cmd.OutOrStdout(), "  %-16s %.2f\n", callKind, r.StoreCallsPerSecond[callKind])
		}
	}
	return nil
}
