package cli

import (
	"context"
	"fmt"
	"io/fs"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/examples"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
)

const (
	devNodes     = 3
	startTimeout = 20 * time.Second
)

// startEmbedded starts an example deployment, without its quiet hours, in this
// process.
func startEmbedded(ctx context.Context, name string, log *zap.Logger) (*embedded.Fleet, error) {
	d, ok := embedded.Deployments[name]
	if !ok {
		return nil, errors.Errorf("there is no example %q: use virtanen or turnoflor", name)
	}
	folder, err := fs.Sub(examples.Folders, name)
	if err != nil {
		return nil, errors.Wrap(err, "open the example")
	}
	c, err := config.LoadFS(folder, "examples/"+name)
	if err != nil {
		return nil, err
	}
	c.QuietHours = nil
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return embedded.Start(ctx, d, c, devNodes, log)
}

// newDev returns the command that runs an example deployment until interrupted.
func newDev() *cobra.Command {
	var example string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run an example deployment in one process until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := zap.NewDevelopment()
			if err != nil {
				return errors.Wrap(err, "build logger")
			}
			f, err := startEmbedded(cmd.Context(), example, log)
			if err != nil {
				return err
			}
			defer f.Close()
			printDev(cmd, f)
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&example, "example", embedded.Virtanen.Name, "example to run: virtanen or turnoflor")
	return cmd
}

// printDev prints the nodes' addresses and example commands.
func printDev(cmd *cobra.Command, f *embedded.Fleet) {
	out := cmd.OutOrStdout()
	for _, s := range f.Settings {
		fmt.Fprintf(out, "%s in %s: callers http://%s, operators http://%s (key %s)\n", s.ID, s.DataCentre, s.Listen, s.OperatorListen, s.OperatorKey)
	}
	org := firstOrganisation(f.Config)
	nodeFlags := fmt.Sprintf("--node %s --key %s", f.Settings[0].OperatorListen, f.Settings[0].OperatorKey)
	fmt.Fprintf(out, "\nlook:\n  cowslipfall status %s\n  cowslipfall explain REQUEST %s\n  cowslipfall rollout show --platform %s\n", nodeFlags, nodeFlags, f.Settings[0].Platform)
	fmt.Fprintf(out, "\ntry:\n  curl -N -H 'Authorization: Bearer demo-key-%s' -d '{\"model\":\"auto\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"When does the bus leave?\"}]}' http://%s/v1/chat/completions\n",
		org, f.Settings[0].Listen)
}
