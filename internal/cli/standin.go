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

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run one stand-in of the surrounding systems as a process"}
	cmd.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService())
	return cmd
}

// serveStandin answers with h until a signal comes. It prints the address.
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

func newStandinPlatform() *cobra.Command {
	var listen, vmFile string
	var options standin.PlatformOptions
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run table, object store, VM list, ratings and weight store in memory",
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
	cmd.Flags().DurationVar(&options.VMLag, "vm-lag", time.Second, "how late the VM list shows a change")
	cmd.Flags().DurationVar(&options.RatingLag, "rating-lag", time.Second, "how late a verdict comes")
	return cmd
}

func readVMs(path string) ([]infra.VM, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the list of VMs")
	}
	var vms []infra.VM
	return vms, errors.Wrapf(json.Unmarshal(raw, &vms), "%s is not a JSON list of VMs", path)
}

func newStandinEngine() *cobra.Command {
	var listen string
	var targets []string
	var quality map[string]string
	o := standin.EngineOptions{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, t := range targets {
				o.Targets = append(o.Targets, config.ParseTarget(t))
			}
			var err error
			if o.Quality, err = parseQuality(quality); err != nil {
				return err
			}
			return serveStandin(cmd, listen, standin.EngineHandler(standin.NewEngine(o)))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP and port")
	cmd.Flags().StringVar(&o.ID, "id", "engine", "the engine's VM name")
	cmd.Flags().StringSliceVar(&targets, "target", nil, "version loaded at the start, model@version; may be repeated")
	cmd.Flags().IntVar(&o.Slots, "slots", config.DefaultSlots, "largest batch")
	cmd.Flags().DurationVar(&o.BaseInterval, "base-interval", 5*time.Millisecond, "time between tokens of one stream")
	cmd.Flags().DurationVar(&o.PerStream, "per-stream", 500*time.Microsecond, "what each further stream adds to the time between tokens")
	cmd.Flags().BoolVar(&o.ChecksOrders, "checks-orders", false, "refuse orders with an old fencing number")
	cmd.Flags().StringToStringVar(&quality, "quality", nil, "chance, 0 to 1, that a version's answer passes its rating, model@version=chance; may be repeated (default 0.9)")
	cmd.Flags().StringVar(&o.CrashMark, "crash-mark", "", "prompt text that kills the engine")
	return cmd
}

// parseQuality reads pass chances by version.
func parseQuality(flags map[string]string) (map[config.Target]float64, error) {
	out := map[config.Target]float64{}
	for target, text := range flags {
		chance, err := strconv.ParseFloat(text, 64)
		if err != nil || chance < 0 || chance > 1 {
			return nil, errors.Errorf("--quality %s=%s: give a chance from 0 to 1", target, text)
		}
		out[config.ParseTarget(target)] = chance
	}
	return out, nil
}

func newStandinService() *cobra.Command {
	var listen, id string
	var work time.Duration
	var checks bool
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service that counts its calls",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := standin.NewService(id)
			s.WorkTime = work
			s.ChecksFencing = checks
			return serveStandin(cmd, listen, standin.ServiceHandler(s))
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP and port")
	cmd.Flags().StringVar(&id, "id", "service", "the replica's VM name")
	cmd.Flags().DurationVar(&work, "work", 0, "how long a call takes")
	cmd.Flags().BoolVar(&checks, "checks-fencing", false, "refuse calls with an old fencing number")
	return cmd
}
