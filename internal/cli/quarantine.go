package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/edge"
)

// newQuarantine returns the commands by which operators see and lift the quarantines of
// nodes on the users' platform.
func newQuarantine() *cobra.Command {
	var store string
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "See and lift quarantines of requests and prompt parts that crashed backend servers",
		Long:  "See and lift quarantines of requests and prompt parts that crashed backend servers, on the users' platform. Nodes of serve list them in status, and lift one by DELETE /quarantines/FINGERPRINT on the operators' interface.",
	}
	cmd.PersistentFlags().StringVar(&store, "store", "", "address of the platform's store, IP:port")
	_ = cmd.MarkPersistentFlagRequired("store")
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the quarantines that the store holds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := edge.ListQuarantines(cmd.Context(), newPlatformStore(store))
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "ID\tKIND\tCRASHES\tUNTIL")
			for _, e := range list {
				kind := "request"
				if e.Part != "" {
					kind = "part"
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", edge.QuarantineID(e), kind, len(e.Lost), e.Until.Format(time.RFC3339))
			}
			return w.Flush()
		},
	}, &cobra.Command{
		Use:   "lift ID",
		Short: "Lift a quarantine on all nodes",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return edge.LiftQuarantine(cmd.Context(), newPlatformStore(store), args[0])
		},
	})
	return cmd
}
