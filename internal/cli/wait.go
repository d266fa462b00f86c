package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/node"
)

const waitPoll = 200 * time.Millisecond

// waitInForce prints each live node as it has the revision in force, and
// returns once all do. Nodes that are not live are named and not waited for.
func waitInForce(cmd *cobra.Command, f *operatorFlags, number uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
	defer cancel()
	start := time.Now()
	seen := map[string]bool{}
	for {
		var s node.Report
		err := f.get(ctx, "/status", &s)
		if err == nil && printInForce(cmd, s, number, seen, time.Since(start)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("revision %d is accepted, but not every live node had it after %s: it will reach them; look with \"status\"", number, timeout)
		case <-time.After(waitPoll):
		}
	}
}

// printInForce prints the nodes newly found to have the revision; it tells
// whether all live ones do.
func printInForce(cmd *cobra.Command, s node.Report, number uint64, seen map[string]bool, after time.Duration) bool {
	all := len(s.Nodes) > 0
	for _, n := range s.Nodes {
		switch {
		case seen[n.ID]:
		case n.Revision >= number:
			seen[n.ID] = true
			fmt.Fprintf(cmd.OutOrStdout(), "%s in %s has revision %d after %s\n", n.ID, n.DataCentre, n.Revision, after.Round(10*time.Millisecond))
		case n.State != node.StateDead:
			all = false
		}
	}
	if !all {
		return false
	}
	for _, n := range s.Nodes {
		if n.State == node.StateDead && !seen[n.ID] {
			fmt.Fprintf(cmd.OutOrStdout(), "%s in %s is not live and was not waited for\n", n.ID, n.DataCentre)
		}
	}
	return true
}
