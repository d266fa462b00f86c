package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// stopTimeout is the maximum duration of a graceful shutdown.
const stopTimeout = 2 * time.Minute

// newServe returns the command that runs an entry VM's process.
func newServe() *cobra.Command {
	var path string
	var check bool
	var overrides map[string]string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one entry VM's process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := config.LoadSettings(path, os.Environ(), overrides)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "ok: settings of node %s in %s\n", settings.ID, settings.DataCentre)
				return err
			}
			return serve(cmd, settings)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	cmd.Flags().StringVar(&path, "settings", "", "TOML file with the process's settings")
	cmd.Flags().StringToStringVar(&overrides, "set", nil, "override a setting, as key=value; may be repeated")
	return cmd
}

// serve runs a node until SIGTERM or SIGINT, and then shuts it down gracefully. A
// second signal cuts the shutdown short.
func serve(cmd *cobra.Command, settings config.Settings) error {
	log, err := telemetry.NewLogger(settings)
	if err != nil {
		return err
	}
	listeners, err := embedded.Listen(&settings, settings.Listen, settings.InnerListen, settings.OperatorListen)
	if err != nil {
		return err
	}
	dial, err := wrapTLS(settings, &listeners)
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{
		Settings: settings, Listeners: listeners, Platform: infra.NewClient(settings.Platform, settings.PlatformTimeout.Std()),
		Dialer: backend.NewHTTPDialer(), Dial: dial, Log: log,
	})
	if err != nil {
		return err
	}
	n.Start()
	log.Info("serving", zap.String("callers", settings.Listen), zap.String("inner", settings.InnerListen), zap.String("operators", settings.OperatorListen))
	fmt.Fprintf(cmd.OutOrStdout(), "callers=%s inner=%s operators=%s\n", settings.Listen, settings.InnerListen, settings.OperatorListen)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	go func() {
		<-signals
		n.ExpediteShutdown()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = n.Shutdown(ctx)
	log.Info("stopped")
	return err
}
