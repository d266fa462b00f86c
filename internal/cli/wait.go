package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/node"
)

const waitPollInterval = 200 * time.Millisecond

// waitInForce waits until all live nodes have the revision in force, and prints
// each node when it is found to have it. Nodes that are not live are printed but
// not waited for.
func waitInForce(cmd *cobra.Command, f *operatorFlags, number uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
	defer cancel()
	start := time.Now()
	printed := map[string]bool{}
	for {
		var s node.Report
		err := f.get(ctx, "/status", &s)
		if err == nil && printInForce(cmd, s, number, printed, time.Since(start)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("revision %d is accepted, but was not in force on every live node after %s: the others will apply it; check with \"status\"", number, timeout)
		case <-time.After(waitPollInterval):
		}
	}
}

// printInForce prints the nodes that are not in printed and have the revision in
// force, adds them to printed, and reports whether all live nodes have it.
func printInForce(cmd *cobra.Command, s node.Report, number uint64, printed map[string]bool, elapsed time.Duration) bool {
	isComplete := len(s.Nodes) > 0
	for _, n := range s.Nodes {
		switch {
		case printed[n.ID]:
		case n.Revision >= number:
			printed[n.ID] = true
			fmt.Fprintf(cmd.OutOrStdout(), "%s in %s has revision %d after %s\n", n.ID, n.DataCentre, n.Revision, elapsed.Round(10*time.Millisecond))
		case n.State != node.StateUnreachable:
			isComplete = false
		}
	}
	if !isComplete {
		return false
	}
	for _, n := range s.Nodes {
		if n.State == node.StateUnreachable && !printed[n.ID] {
			fmt.Fprintf(cmd.OutOrStdout(), "%s in %s is not live and was not waited for\n", n.ID, n.DataCentre)
		}
	}
	return true
}
