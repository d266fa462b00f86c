package cli

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// newStandin returns the parent of the commands that run a stand-in.
func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for one of the surrounding systems as a process"}
	cmd.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService())
	return cmd
}

// serveStandin prints the address that it listens on, and serves h until the
// command's context ends.
func serveStandin(cmd *cobra.Command, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "address=%s\n", l.Addr())
	s := &http.Server{Handler: h}
	go func() {
		<-cmd.Context().Done()
		s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// newStandinPlatform returns the command that runs a simulated platform.
func newStandinPlatform() *cobra.Command {
	var listen, vmFile string
	var options standin.PlatformOptions
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a simulated platform in memory: table, object store, VM list, ratings and weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := standin.NewPlatform(options)
			if vmFile != "" {
				vms, err := readVMs(vmFile)
				if err != nil {
					return err
				}
				p.SetVMs(vms)
			}
			return serveStandin(cmd, listen, standin.PlatformHandler(p))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP and port")
	cmd.Flags().StringVar(&vmFile, "vms", "", "JSON file with the list of VMs")
	cmd.Flags().DurationVar(&options.VMLag, "vm-lag", time.Second, "delay until the VM list shows a change")
	cmd.Flags().DurationVar(&options.RatingLag, "rating-lag", time.Second, "delay until a verdict is available")
	return cmd
}

// readVMs reads a JSON list of VMs from a file.
func readVMs(path string) ([]infra.VM, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the list of VMs")
	}
	var vms []infra.VM
	return vms, errors.Wrapf(json.Unmarshal(raw, &vms), "%s is not a JSON list of VMs", path)
}

// newStandinEngine returns the command that runs a simulated model engine.
func newStandinEngine() *cobra.Command {
	var listen string
	var targets []string
	var quality map[string]string
	options := standin.EngineOptions{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a simulated model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, t := range targets {
				options.Targets = append(options.Targets, config.ParseTarget(t))
			}
			var err error
			if options.Quality, err = parseQuality(quality); err != nil {
				return err
			}
			return serveStandin(cmd, listen, standin.EngineHandler(standin.NewEngine(options)))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP and port")
	cmd.Flags().StringVar(&options.ID, "id", "engine", "the engine's VM name")
	cmd.Flags().StringSliceVar(&targets, "target", nil, "version loaded at the start, model@version; may be repeated")
	cmd.Flags().IntVar(&options.Slots, "slots", config.DefaultSlots, "maximum batch size")
	cmd.Flags().DurationVar(&options.BaseInterval, "base-interval", 5*time.Millisecond, "time between tokens of one stream")
	cmd.Flags().DurationVar(&options.PerStream, "per-stream", 500*time.Microsecond, "time between tokens that each further stream adds")
	cmd.Flags().BoolVar(&options.ChecksOrders, "checks-orders", false, "refuse orders with an old fencing number")
	cmd.Flags().StringToStringVar(&quality, "quality", nil, "probability, 0 to 1, that a version's answer passes its rating, model@version=probability; may be repeated (default 0.9)")
	cmd.Flags().StringVar(&options.CrashMark, "crash-mark", "", "prompt text that crashes the engine")
	return cmd
}

// parseQuality parses pass probabilities by version.
func parseQuality(flags map[string]string) (map[config.Target]float64, error) {
	qualities := map[config.Target]float64{}
	for target, text := range flags {
		probability, err := strconv.ParseFloat(text, 64)
		if err != nil || probability < 0 || probability > 1 {
			return nil, errors.Errorf("--quality %s=%s: give a probability from 0 to 1", target, text)
		}
		qualities[config.ParseTarget(target)] = probability
	}
	return qualities, nil
}

// newStandinService returns the command that runs a simulated service replica.
func newStandinService() *cobra.Command {
	var listen, id string
	var workTime time.Duration
	var checksFencing bool
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a simulated plain service that records its calls",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := standin.NewService(id)
			s.WorkTime = workTime
			s.ChecksFencing = checksFencing
			return serveStandin(cmd, listen, standin.ServiceHandler(s))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP and port")
	cmd.Flags().StringVar(&id, "id", "service", "the replica's VM name")
	cmd.Flags().DurationVar(&workTime, "work", 0, "how long a call takes")
	cmd.Flags().BoolVar(&checksFencing, "checks-fencing", false, "refuse calls with an old fencing number")
	return cmd
}
