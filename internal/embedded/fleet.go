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

// Keys of an embedded fleet, which listens on loopback only.
const (
	InnerSecret = "embedded-inner-secret"
	OperatorKey = "embedded-operator-key"
)

const (
	loopback              = "127.0.0.1:0"
	platformTimeout       = time.Second
	readyPollInterval     = 20 * time.Millisecond
	engineBaseInterval    = 2 * time.Millisecond
	enginePerStream       = 100 * time.Microsecond
	enginePrefillPerToken = 5 * time.Microsecond
	reportLag             = 500 * time.Millisecond
	vmLag                 = time.Second
	ratingLag             = 500 * time.Millisecond
)

// Fleet is a deployment that runs in this process.
type Fleet struct {
	// Deployment is the deployment that runs and Config its configuration.
	Deployment Deployment
	Config     *config.Config
	// Platform, Engines and Services are the stand-ins.
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	// Nodes are the entry nodes and Settings their settings, in the same order.
	Nodes    []*node.Node
	Settings []config.Settings

	servers []*http.Server
	vms     []infra.VM
	log     *zap.Logger
}

// Start starts a deployment with the given number of entry nodes, and waits
// until it is ready or ctx ends.
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
	if err := publishConfig(ctx, client, c); err != nil {
		return nil, err
	}
	for i := range nodes {
		if err := f.startNode(i, client, "http://"+platformAddress); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady(ctx)
}

// publishConfig applies a configuration as the next revision of the platform.
func publishConfig(ctx context.Context, client *infra.Client, c *config.Config) error {
	_, err := config.NewStore(client, client).Apply(ctx, config.Change{
		Author: "embedded", Note: "example folder",
		Edit: func(r *config.Revision) error { r.Config = c; return nil },
	})
	return errors.Wrap(err, "publish the configuration")
}

// serve starts an HTTP server with handler h on a free loopback port, and
// returns its address.
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

// startBackends starts the engines and the service replicas and adds them to
// the VM list.
func (f *Fleet) startBackends() error {
	d := f.Deployment
	for i := range d.Engines {
		e := standin.NewEngine(standin.EngineOptions{
			ID: fmt.Sprintf("%s-%d", d.Pool, i+1), Targets: d.Targets(f.Config), Quality: Qualities(f.Config),
			Slots: f.Config.Pools[d.Pool].Slots, BaseInterval: engineBaseInterval, PerStream: enginePerStream, PrefillPerToken: enginePrefillPerToken,
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

// startNode starts the i-th entry node, from 0.
func (f *Fleet) startNode(i int, client *infra.Client, platformURL string) error {
	settings := config.DefaultSettings()
	settings.ID = fmt.Sprintf("entry-%d", i+1)
	settings.DataCentre = f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)]
	settings.Region = f.Deployment.Region
	settings.Platform = platformURL
	settings.InnerSecret = InnerSecret
	settings.OperatorKey = OperatorKey
	listeners, err := Listen(&settings, loopback, loopback, loopback)
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{Settings: settings, Listeners: listeners, Platform: client, Dialer: backend.NewHTTPDialer(), Dial: wire.DialTCP, Log: f.log})
	if err != nil {
		return err
	}
	n.Start()
	f.Nodes = append(f.Nodes, n)
	f.Settings = append(f.Settings, settings)
	return nil
}

// Listen opens a node's listeners at the three given addresses and writes the
// addresses that they got, with their ports, to its settings.
func Listen(s *config.Settings, callers, inner, operators string) (node.Listeners, error) {
	var listeners node.Listeners
	for _, l := range []struct {
		address  string
		listener *net.Listener
		setting  *string
	}{{callers, &listeners.Callers, &s.Listen}, {inner, &listeners.Inner, &s.InnerListen}, {operators, &listeners.Operators, &s.OperatorListen}} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return listeners, errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.listener = opened
		*l.setting = opened.Addr().String()
	}
	return listeners, nil
}

// waitReady waits until every node is ready; see isReady.
func (f *Fleet) waitReady(ctx context.Context) error {
	for {
		if f.isReady() {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the fleet did not become ready")
		}
	}
}

// isReady reports whether every node has a configuration in force, sees every
// node, and sees as many usable replicas as the fleet has.
func (f *Fleet) isReady() bool {
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

// Close stops all nodes and stand-ins at once, without draining them.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}
