package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/edge"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/platform"
)

// newEdge returns the command that runs an entry VM's process on the users'
// platform. This file is the only one that wires the platform's adapter.
func newEdge() *cobra.Command {
	var metricsPort int
	var check bool
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run one entry VM's process on the users' platform",
		Long:  "Run one entry VM's process on the users' platform, with the settings file that " + platform.SettingsVariable + " names.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := platform.LoadSettings()
			if err != nil || check {
				return err
			}
			return runEdge(cmd.Context(), settings, metricsPort)
		},
	}
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port that serves /metrics; 0 serves none")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

// memoryLimitShare is the share of a VM's memory from which on the runtime collects garbage
// more often. The rest is for what the runtime does not count, such as received bytes that
// were not read yet.
const memoryLimitShare = 0.75

// runEdge runs the node until ctx ends.
func runEdge(ctx context.Context, settings edge.Settings, metricsPort int) error {
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	}
	metrics := telemetry.NewForwardMetrics()
	lines := telemetry.NewLineWriter(os.Stdout, metrics.DroppedLines.Inc)
	log := telemetry.NewLineLogger(lines, settings.Node)
	defer func() { _ = log.Sync() }()
	zap.RedirectStdLog(log)
	tracer, err := telemetry.NewTracer(ctx, config.DefaultSettings())
	if err != nil {
		return err
	}
	n, err := edge.New(edge.Options{
		Settings: settings, Reload: platform.LoadSettings, Schema: platform.Schema{}, Store: platform.NewStore(settings.Store),
		Headers: platform.Headers(), ReadyPath: platform.PathReady, DirectoryPath: platform.PathDirectory,
		MetricsPort: metricsPort, Log: log, Metrics: metrics, Tracer: tracer,
	})
	if err != nil {
		log.Error("start failed", telemetry.ErrorField(err))
		return err
	}
	go reloadSettings(ctx, n)
	n.Run(ctx)
	return nil
}

// newPlatformStore returns a client of the platform's store.
func newPlatformStore(address string) gossip.Store { return platform.NewStore(address) }

// reloadSettings reloads the settings at each SIGHUP and each reload interval.
func reloadSettings(ctx context.Context, n *edge.Node) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(edge.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			n.Reload(true)
		case <-ticker.C:
			n.Reload(false)
		}
	}
}
