package embedded

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Keys of an embedded fleet; it listens on loopback only.
const (
	InnerSecret = "embedded-inner-secret"
	OperatorKey = "embedded-operator-key"
)

const (
	loopback        = "127.0.0.1:0"
	platformTimeout = time.Second
	readyPoll       = 20 * time.Millisecond
	engineBase      = 2 * time.Millisecond
	enginePerStream = 100 * time.Microsecond
	enginePrefill   = 5 * time.Microsecond
	reportLag       = 500 * time.Millisecond
	vmLag           = time.Second
	ratingLag       = 500 * time.Millisecond
)

// Fleet is a running deployment in one process.
type Fleet struct {
	// Deployment is its shape, Config its configuration.
	Deployment Deployment
	Config     *config.Config
	// Platform, Engines and Services are the stand-ins.
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	// Nodes are the entry nodes, Settings their settings.
	Nodes    []*node.Node
	Settings []config.Settings

	servers []*http.Server
	vms     []infra.VM
	log     *zap.Logger
}

// Start runs a deployment with the given number of entry nodes.
func Start(ctx context.Context, d Deployment, c *config.Config, nodes int, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{Deployment: d, Config: c, log: log, Platform: standin.NewPlatform(standin.PlatformOptions{VMLag: vmLag, RatingLag: ratingLag})}
	platformAddress, err := f.serve(standin.PlatformHandler(f.Platform))
	if err != nil {
		return nil, err
	}
	if err := f.startBackends(); err != nil {
		return nil, err
	}
	f.Platform.SetVMs(f.vms)
	client := infra.NewClient("http://"+platformAddress, platformTimeout)
	if err := publish(ctx, client, c); err != nil {
		return nil, err
	}
	for i := range nodes {
		if err := f.startNode(i, client, "http://"+platformAddress); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady(ctx)
}

func publish(ctx context.Context, client *infra.Client, c *config.Config) error {
	_, err := config.NewStore(client, client).Apply(ctx, config.Change{
		Author: "embedded", Note: "example folder",
		Edit: func(r *config.Revision) error { r.Config = c; return nil },
	})
	return errors.Wrap(err, "publish the configuration")
}

// serve answers with h on a fresh loopback address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *Fleet) startBackends() error {
	d := f.Deployment
	for i := range d.Engines {
		e := standin.NewEngine(standin.EngineOptions{
			ID: fmt.Sprintf("%s-%d", d.Pool, i+1), Targets: d.Targets(f.Config), Quality: Qualities(f.Config),
			Slots: f.Config.Pools[d.Pool].Slots, BaseInterval: engineBase, PerStream: enginePerStream, PrefillPerToken: enginePrefill,
			ReportLag: reportLag, ChecksOrders: f.Config.Pools[d.Pool].ChecksOrders,
		})
		address, err := f.serve(standin.EngineHandler(e))
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		f.vms = append(f.vms, d.VM(d.Pool, i, address))
	}
	for i := range d.ServiceReplicas {
		s := standin.NewService(fmt.Sprintf("%s-%d", d.Service, i+1))
		s.ChecksFencing = f.Config.Services[d.Service].ChecksFencing
		address, err := f.serve(standin.ServiceHandler(s))
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
		f.vms = append(f.vms, d.VM(d.Service, i, address))
	}
	return nil
}

func (f *Fleet) startNode(i int, client *infra.Client, base string) error {
	settings := config.DefaultSettings()
	settings.ID = fmt.Sprintf("entry-%d", i+1)
	settings.DataCentre = f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)]
	settings.Region = f.Deployment.Region
	settings.Platform = base
	settings.InnerSecret = InnerSecret
	settings.OperatorKey = OperatorKey
	listeners, err := Listen(&settings, loopback, loopback, loopback)
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{Settings: settings, Listeners: listeners, Platform: client, Dialer: backend.NewHTTPDialer(), Dial: wire.TCP, Log: f.log})
	if err != nil {
		return err
	}
	n.Start()
	f.Nodes = append(f.Nodes, n)
	f.Settings = append(f.Settings, settings)
	return nil
}

// Listen opens a node's listeners and notes their true addresses in its
// settings.
func Listen(s *config.Settings, callers, inner, operators string) (node.Listeners, error) {
	var out node.Listeners
	for _, l := range []struct {
		at     string
		target *net.Listener
		note   *string
	}{{callers, &out.Callers, &s.Listen}, {inner, &out.Inner, &s.InnerListen}, {operators, &out.Operators, &s.OperatorListen}} {
		opened, err := net.Listen("tcp", l.at)
		if err != nil {
			return out, errors.Wrapf(err, "listen on %s", l.at)
		}
		*l.target = opened
		*l.note = opened.Addr().String()
	}
	return out, nil
}

// waitReady waits until every node sees every node and every replica.
func (f *Fleet) waitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the fleet did not become ready")
		}
	}
}

func (f *Fleet) ready() bool {
	for _, n := range f.Nodes {
		s := n.Status()
		usable := 0
		for _, r := range s.Replicas {
			if r.Usable {
				usable++
			}
		}
		if len(s.Nodes) < len(f.Nodes) || usable < len(f.vms) || s.Revision.Number == 0 {
			return false
		}
	}
	return true
}

// Close stops everything at once.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}
