package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/node"
)

const operatorTimeout = 5 * time.Second

// operatorFlags name a node's operators' interface.
type operatorFlags struct {
	address string
	key     string
	json    bool
}

// addOptional adds the flags that name a node and its key.
func (f *operatorFlags) addOptional(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "node", "", "operators' address of any node, IP:port")
	cmd.Flags().StringVar(&f.key, "key", "", "the nodes' operator_key")
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	f.addOptional(cmd)
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	_ = cmd.MarkFlagRequired("node")
	_ = cmd.MarkFlagRequired("key")
}

// get fetches one of the operators' pages.
func (f *operatorFlags) get(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "the node does not answer: try another")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the node answered %s: check --key", resp.Status)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "read the answer")
}

func printJSON(cmd *cobra.Command, v any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func newStatus() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show nodes, backend servers and the configuration in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s node.Status
			if err := f.get(cmd.Context(), "/status", &s); err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd, s)
			}
			return printStatus(cmd, s)
		},
	}
	f.add(cmd)
	return cmd
}

func printStatus(cmd *cobra.Command, s node.Status) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "revision %d by %s: %s\n\n", s.Revision.Number, s.Revision.Author, s.Revision.Note)
	fmt.Fprintln(w, "NODE\tDATA CENTRE\tLIVE\tLEAVING\tREVISION\tREPLICAS")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t%d\n", n.State.ID, n.State.DataCentre, n.Live, n.State.Leaving, n.State.Revision, len(n.State.Replicas))
	}
	fmt.Fprintln(w, "\nREPLICA\tDATA CENTRE\tPOOL\tOWNER\tUSABLE\tRUNNING\tLIMIT")
	for _, r := range s.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d\t%d\n", r.ID, r.DataCentre, r.Pool, r.Owner, r.Usable, r.Running, r.Limit)
	}
	printVersions(w, s.Versions)
	return w.Flush()
}

func newExplain() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Tell what the fleet did with a request",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e node.Explanation
			if err := f.get(cmd.Context(), "/explain/"+args[0], &e); err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd, e)
			}
			if len(e.Steps) == 0 {
				return errors.Errorf("no node knows request %s: it is too old, or its node has stopped", args[0])
			}
			for _, s := range e.Steps {
				fmt.Fprintf(cmd.OutOrStdout(), "%s  %-12s %s\n", s.At.Format("15:04:05.000"), s.Node, s.Text)
			}
			return nil
		},
	}
	f.add(cmd)
	return cmd
}
