// Package fleet tests fleets of nodes on a virtual clock: the nodes run their real
// code over in-memory connections, and stand-ins replace the platform and the
// backend servers.
package fleet

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/examples"
	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// withVirtualClock runs body in a synctest bubble with a virtual clock. Failures are
// collected in the bubble and reported outside it.
func withVirtualClock(t *testing.T, body func(f *failures)) {
	t.Helper()
	f := &failures{}
	synctest.Test(t, func(*testing.T) { body(f) })
	for _, text := range f.messages {
		t.Error(text)
	}
}

// failures collects failure messages. It is safe for concurrent use.
type failures struct {
	mu       sync.Mutex
	messages []string // guarded by mu
}

// addf records a failure.
func (f *failures) addf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages = append(f.messages, fmt.Sprintf(format, args...))
}

// check records a failure unless ok holds.
func (f *failures) check(ok bool, format string, args ...any) {
	if !ok {
		f.addf(format, args...)
	}
}

// platformView is the platform as one node sees it. It can be made unreachable.
type platformView struct {
	*standin.Platform
	mu          sync.Mutex
	unreachable bool // guarded by mu
}

// setUnreachable makes the platform unreachable, or reachable again.
func (v *platformView) setUnreachable(unreachable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreachable = unreachable
}

// checkReachable returns infra.ErrUnavailable while the platform is unreachable.
func (v *platformView) checkReachable() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unreachable {
		return errors.Wrap(infra.ErrUnavailable, "cut off")
	}
	return nil
}

func (v *platformView) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := v.checkReachable(); err != nil {
		return infra.Row{}, err
	}
	return v.Platform.Get(ctx, key)
}

func (v *platformView) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := v.checkReachable(); err != nil {
		return nil, err
	}
	return v.Platform.List(ctx, prefix, after, limit)
}

func (v *platformView) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	if err := v.checkReachable(); err != nil {
		return nil, err
	}
	return v.Platform.Commit(ctx, ops...)
}

func (v *platformView) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := v.checkReachable(); err != nil {
		return nil, err
	}
	return v.Platform.GetObject(ctx, name)
}

func (v *platformView) VMs(ctx context.Context) ([]infra.VM, error) {
	if err := v.checkReachable(); err != nil {
		return nil, err
	}
	return v.Platform.VMs(ctx)
}

// dialer returns the stand-ins of backend servers without a network.
type dialer struct {
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	// wrapEngine wraps each engine to change its behaviour; nil changes nothing.
	wrapEngine func(backend.Engine) backend.Engine
}

// Engine returns a crashed engine for an address without one, since a node without a
// configuration may probe a plain service as an engine.
func (d *dialer) Engine(address string) backend.Engine {
	if e := d.engines[address]; e != nil && d.wrapEngine != nil {
		return d.wrapEngine(e)
	}
	if e := d.engines[address]; e != nil {
		return e
	}
	e := standin.NewEngine(standin.EngineOptions{})
	e.Crash()
	return e
}

// Service returns the service at an address.
func (d *dialer) Service(address string) backend.Service { return d.services[address] }

// simulation is a whole deployment on the virtual clock.
type simulation struct {
	failures   *failures
	net        *network
	platform   *standin.Platform
	dialer     *dialer
	vms        []infra.VM
	config     *config.Config
	deployment embedded.Deployment
	nodes      map[string]*member
	// configurePeers names the running nodes' inner addresses in the settings of nodes
	// that start.
	configurePeers bool
	poolOf         func(i int) string
}

// member is one entry node of the simulation.
type member struct {
	node      *node.Node
	settings  config.Settings
	platform  *platformView
	address   string
	dialer    backend.Dialer
	startTime time.Time // zero for the current time
	speaksV1  bool      // speaks version 1 of the inner protocol
}

// simulationOptions configure a simulation. Zero values give three nodes, three
// engines and two services of the Virtanen example, without quiet hours.
type simulationOptions struct {
	nodes, engines, services int
	engine                   standin.EngineOptions
	engineOf                 func(i int) standin.EngineOptions // replaces engine
	poolOf                   func(i int) string                // of an engine; replaces the deployment's
	edit                     func(c *config.Config)
	platform                 standin.PlatformOptions
	// wrapEngine wraps each engine to change its behaviour.
	wrapEngine func(backend.Engine) backend.Engine
	// speaksV1 reports whether a node speaks version 1 of the inner protocol.
	speaksV1 func(i int) bool
}

// newSimulation starts a deployment and waits until it has settled. It must be closed
// before the bubble ends.
func newSimulation(f *failures, o simulationOptions) *simulation {
	if o.nodes == 0 {
		o.nodes = 3
	}
	if o.engines == 0 {
		o.engines = 3
	}
	if o.services == 0 {
		o.services = 2
	}
	sim := &simulation{
		failures: f, net: newNetwork(), platform: standin.NewPlatform(o.platform), deployment: embedded.Virtanen, poolOf: o.poolOf,
		dialer: &dialer{engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}, wrapEngine: o.wrapEngine}, nodes: map[string]*member{},
	}
	sim.loadConfig(o.edit)
	for i := range o.engines {
		if o.engineOf != nil {
			o.engine = o.engineOf(i)
		}
		sim.addEngine(i, o.engine)
	}
	for i := range o.services {
		sim.addService(i)
	}
	sim.platform.SetVMs(sim.vms)
	for i := range o.nodes {
		sim.addNodeWithProtocol(fmt.Sprintf("entry-%d", i+1), sim.deployment.DataCentres[i%len(sim.deployment.DataCentres)], o.speaksV1 != nil && o.speaksV1(i))
	}
	sim.sleep(5 * time.Second)
	return sim
}

// loadConfig loads the example configuration, without quiet hours and with the changes of
// edit, and stores it as the first revision.
func (sim *simulation) loadConfig(edit func(c *config.Config)) {
	exampleFS, err := fs.Sub(examples.Folders, sim.deployment.Name)
	sim.failures.check(err == nil, "open example: %v", err)
	c, err := config.LoadFS(exampleFS, sim.deployment.Name)
	sim.failures.check(err == nil, "load example: %v", err)
	c.QuietHours = nil
	if edit != nil {
		edit(c)
	}
	sim.config = c
	sim.applyRevision("start", func(r *config.Revision) { r.Config = c })
}

// applyRevision stores a new configuration revision.
func (sim *simulation) applyRevision(note string, edit func(r *config.Revision)) *config.Revision {
	store := config.NewStore(sim.platform, sim.platform)
	ctx := context.Background()
	head, _, err := store.Head(ctx)
	sim.failures.check(err == nil, "read head: %v", err)
	rev, err := store.Apply(ctx, config.Change{Base: head.Number, Author: "test", Note: note, Edit: func(r *config.Revision) error {
		edit(r)
		return nil
	}})
	sim.failures.check(err == nil, "apply %s: %v", note, err)
	return rev
}

// addEngine adds engine i to the VMs.
func (sim *simulation) addEngine(i int, o standin.EngineOptions) {
	vm := sim.deployment.VM(sim.deployment.Pool, i, fmt.Sprintf("engine-%d", i+1))
	o.ID = vm.ID
	if o.Targets == nil {
		o.Targets = sim.deployment.Targets(sim.config)
	}
	if o.Quality == nil {
		o.Quality = embedded.Qualities(sim.config)
	}
	if sim.poolOf != nil {
		vm.Pool = sim.poolOf(i)
	}
	sim.dialer.engines[vm.Address] = standin.NewEngine(o)
	sim.vms = append(sim.vms, vm)
}

// addService adds service i to the VMs.
func (sim *simulation) addService(i int) {
	vm := sim.deployment.VM(sim.deployment.Service, i, fmt.Sprintf("service-%d", i+1))
	sim.dialer.services[vm.Address] = standin.NewService(vm.ID)
	sim.vms = append(sim.vms, vm)
}

// addNode starts an entry node.
func (sim *simulation) addNode(id, dataCentre string) *member {
	return sim.addNodeWith(id, dataCentre, func(*member) {})
}

// addNodeWithProtocol starts an entry node that speaks the current inner protocol, or
// version 1 of it.
func (sim *simulation) addNodeWithProtocol(id, dataCentre string, speaksV1 bool) *member {
	return sim.addNodeWith(id, dataCentre, func(m *member) { m.speaksV1 = speaksV1 })
}

// addNodeWith starts an entry node after edit has changed its settings or its view of
// the platform.
func (sim *simulation) addNodeWith(id, dataCentre string, edit func(m *member)) *member {
	s := config.DefaultSettings()
	s.ID = id
	s.DataCentre = dataCentre
	s.Region = sim.deployment.Region
	s.InnerSecret = embedded.InnerSecret
	s.OperatorKey = embedded.OperatorKey
	for _, other := range sim.nodeIDs() {
		if sim.configurePeers {
			s.Peers = append(s.Peers, other+":inner")
		}
	}
	m := &member{settings: s, platform: &platformView{Platform: sim.platform}, address: id + ":callers", dialer: sim.dialer}
	edit(m)
	listeners := node.Listeners{Callers: sim.net.listen(m.address), Inner: sim.net.listen(id + ":inner"), Operators: sim.net.listen(id + ":operators")}
	dial := wire.DialFunc(sim.net.dial(id))
	if m.speaksV1 {
		listeners.Inner, dial = v1Listener{listeners.Inner}, v1Dial(dial)
	}
	n, err := node.New(node.Options{Settings: m.settings, Listeners: listeners, Platform: m.platform, Dialer: m.dialer, Dial: dial, Log: zap.NewNop(), Started: m.startTime})
	if err != nil {
		sim.failures.addf("new node %s: %v", id, err)
		return nil
	}
	n.Start()
	m.node = n
	sim.nodes[id] = m
	return m
}

// kill stops a node at once, as a crash would: nothing that it still attempts reaches
// the platform.
func (sim *simulation) kill(id string) {
	sim.nodes[id].platform.setUnreachable(true)
	sim.nodes[id].node.Close()
	delete(sim.nodes, id)
}

// sleep lets virtual time pass.
func (sim *simulation) sleep(d time.Duration) { time.Sleep(d) }

// close stops all nodes and unfreezes the engines, so that the bubble can end.
func (sim *simulation) close() {
	for _, e := range sim.dialer.engines {
		e.Faults.Set(standin.FaultState{})
	}
	for _, id := range sim.nodeIDs() {
		sim.kill(id)
	}
	time.Sleep(time.Minute)
}

// nodeIDs lists the running nodes in order.
func (sim *simulation) nodeIDs() []string {
	out := []string{}
	for id := range sim.nodes {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// answer is the response to a caller.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// callerTimeout exceeds every deadline.
const callerTimeout = 10 * time.Minute

// post sends one request as a caller of the given organisation.
func (sim *simulation) post(id, organisation, path, body string, header map[string]string) answer {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return sim.net.dial("caller")(ctx, id+":callers")
	}}
	req, err := http.NewRequest(http.MethodPost, "http://"+id+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Transport: transport, Timeout: callerTimeout}).Do(req)
	if err != nil {
		sim.failures.check(!os.IsTimeout(err), "%s did not answer %s %s within %s", id, path, body, callerTimeout)
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// The organisation and the paths of the requests that most tests send.
const (
	org         = "virtanen-lahti"
	chatPath    = "/v1/chat/completions"
	confirmPath = "/v1/services/kirjauspalvelu/confirmations"
)

// chatBody returns a chat that leaves the model to the router.
func chatBody(text string, tokens int) string {
	return askBody(routing.AnyModel, text, tokens)
}

// askBody returns a chat that names its model.
func askBody(model, text string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
}
