// Package fleet tests whole nodes on a virtual clock: real node code over
// in-memory connections, with stand-ins as fakes at the interfaces.
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

// virtual runs body in a bubble with a virtual clock. Failures are collected
// in the bubble and reported from outside it.
func virtual(t *testing.T, body func(f *faults)) {
	t.Helper()
	f := &faults{}
	synctest.Test(t, func(*testing.T) { body(f) })
	for _, text := range f.list {
		t.Error(text)
	}
}

// faults collects failures. It is safe for concurrent use.
type faults struct {
	mu   sync.Mutex
	list []string // guarded by mu
}

func (f *faults) addf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// check notes a failure unless ok holds.
func (f *faults) check(ok bool, format string, args ...any) {
	if !ok {
		f.addf(format, args...)
	}
}

// view is the platform as one node sees it; it can be cut off.
type view struct {
	*standin.Platform
	mu   sync.Mutex
	away bool // guarded by mu
}

func (v *view) setAway(away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = away
}

func (v *view) reach() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		return errors.Wrap(infra.ErrUnavailable, "cut off")
	}
	return nil
}

func (v *view) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := v.reach(); err != nil {
		return infra.Row{}, err
	}
	return v.Platform.Get(ctx, key)
}

func (v *view) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := v.reach(); err != nil {
		return nil, err
	}
	return v.Platform.List(ctx, prefix, after, limit)
}

func (v *view) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	if err := v.reach(); err != nil {
		return nil, err
	}
	return v.Platform.Commit(ctx, ops...)
}

func (v *view) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := v.reach(); err != nil {
		return nil, err
	}
	return v.Platform.GetObject(ctx, name)
}

func (v *view) VMs(ctx context.Context) ([]infra.VM, error) {
	if err := v.reach(); err != nil {
		return nil, err
	}
	return v.Platform.VMs(ctx)
}

// dialer reaches the fakes of backend servers without a network.
type dialer struct {
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	// wrap changes how engines behave; nil changes nothing.
	wrap func(backend.Engine) backend.Engine
}

// Engine returns a dead engine where there is none, as a node without a
// configuration may ask a plain service.
func (d *dialer) Engine(address string) backend.Engine {
	if e := d.engines[address]; e != nil && d.wrap != nil {
		return d.wrap(e)
	}
	if e := d.engines[address]; e != nil {
		return e
	}
	e := standin.NewEngine(standin.EngineOptions{})
	e.Crash()
	return e
}

func (d *dialer) Service(address string) backend.Service { return d.services[address] }

// world is a whole deployment on the virtual clock.
type world struct {
	faults   *faults
	net      *network
	platform *standin.Platform
	dialer   *dialer
	vms      []infra.VM
	config   *config.Config
	shape    embedded.Deployment
	nodes    map[string]*member
	// peers gives nodes that start the inner addresses of those running.
	peers  bool
	poolOf func(i int) string
}

// member is one entry node of the world.
type member struct {
	node     *node.Node
	settings config.Settings
	platform *view
	address  string
	dialer   backend.Dialer
	started  time.Time // zero for now
	old      bool      // speaks version 1 of the inner protocol
}

// worldOptions shape a world; zero values give three nodes, three engines and
// two services of the Virtanen example, without quiet hours.
type worldOptions struct {
	nodes, engines, services int
	engine                   standin.EngineOptions
	engineOf                 func(i int) standin.EngineOptions // instead of engine
	poolOf                   func(i int) string                // of an engine, instead of the deployment's
	edit                     func(c *config.Config)
	platform                 standin.PlatformOptions
	// wrap changes how engines behave.
	wrap func(backend.Engine) backend.Engine
	// old tells which nodes speak version 1 of the inner protocol.
	old func(i int) bool
}

// newWorld starts a deployment and waits until it is settled. Close it before
// the bubble ends.
func newWorld(f *faults, o worldOptions) *world {
	if o.nodes == 0 {
		o.nodes = 3
	}
	if o.engines == 0 {
		o.engines = 3
	}
	if o.services == 0 {
		o.services = 2
	}
	w := &world{
		faults: f, net: newNetwork(), platform: standin.NewPlatform(o.platform), shape: embedded.Virtanen, poolOf: o.poolOf,
		dialer: &dialer{engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}, wrap: o.wrap}, nodes: map[string]*member{},
	}
	w.loadConfig(o.edit)
	for i := range o.engines {
		if o.engineOf != nil {
			o.engine = o.engineOf(i)
		}
		w.addEngine(i, o.engine)
	}
	for i := range o.services {
		w.addService(i)
	}
	w.platform.SetVMs(w.vms)
	for i := range o.nodes {
		w.startAs(fmt.Sprintf("entry-%d", i+1), w.shape.DataCentres[i%len(w.shape.DataCentres)], o.old != nil && o.old(i))
	}
	w.sleep(5 * time.Second)
	return w
}

func (w *world) loadConfig(edit func(c *config.Config)) {
	folder, err := fs.Sub(examples.Folders, w.shape.Name)
	w.faults.check(err == nil, "open example: %v", err)
	c, err := config.LoadFS(folder, w.shape.Name)
	w.faults.check(err == nil, "load example: %v", err)
	c.QuietHours = nil
	if edit != nil {
		edit(c)
	}
	w.config = c
	w.apply("start", func(r *config.Revision) { r.Config = c })
}

// apply makes a new configuration revision.
func (w *world) apply(note string, edit func(r *config.Revision)) *config.Revision {
	store := config.NewStore(w.platform, w.platform)
	ctx := context.Background()
	head, _, err := store.Head(ctx)
	w.faults.check(err == nil, "read head: %v", err)
	rev, err := store.Apply(ctx, config.Change{Base: head.Number, Author: "test", Note: note, Edit: func(r *config.Revision) error {
		edit(r)
		return nil
	}})
	w.faults.check(err == nil, "apply %s: %v", note, err)
	return rev
}

func (w *world) addEngine(i int, o standin.EngineOptions) {
	vm := w.shape.VM(w.shape.Pool, i, fmt.Sprintf("engine-%d", i+1))
	o.ID = vm.ID
	if o.Targets == nil {
		o.Targets = w.shape.Targets(w.config)
	}
	if o.Quality == nil {
		o.Quality = embedded.Qualities(w.config)
	}
	if w.poolOf != nil {
		vm.Pool = w.poolOf(i)
	}
	w.dialer.engines[vm.Address] = standin.NewEngine(o)
	w.vms = append(w.vms, vm)
}

func (w *world) addService(i int) {
	vm := w.shape.VM(w.shape.Service, i, fmt.Sprintf("service-%d", i+1))
	w.dialer.services[vm.Address] = standin.NewService(vm.ID)
	w.vms = append(w.vms, vm)
}

// addNode starts an entry node.
func (w *world) addNode(id, dataCentre string) *member {
	return w.addNodeWith(id, dataCentre, func(*member) {})
}

// startAs starts an entry node, an old one if it is to speak version 1.
func (w *world) startAs(id, dataCentre string, old bool) *member {
	return w.addNodeWith(id, dataCentre, func(m *member) { m.old = old })
}

// addNodeWith starts an entry node whose settings or view of the platform
// edit has changed.
func (w *world) addNodeWith(id, dataCentre string, edit func(m *member)) *member {
	s := config.DefaultSettings()
	s.ID = id
	s.DataCentre = dataCentre
	s.Region = w.shape.Region
	s.InnerSecret = embedded.InnerSecret
	s.OperatorKey = embedded.OperatorKey
	for _, other := range w.ids() {
		if w.peers {
			s.Peers = append(s.Peers, other+":inner")
		}
	}
	m := &member{settings: s, platform: &view{Platform: w.platform}, address: id + ":callers", dialer: w.dialer}
	edit(m)
	listeners := node.Listeners{Callers: w.net.listen(m.address), Inner: w.net.listen(id + ":inner"), Operators: w.net.listen(id + ":operators")}
	dial := wire.DialFunc(w.net.dial(id))
	if m.old {
		listeners.Inner, dial = v1Listener{listeners.Inner}, v1Dial(dial)
	}
	n, err := node.New(node.Options{Settings: m.settings, Listeners: listeners, Platform: m.platform, Dialer: m.dialer, Dial: dial, Log: zap.NewNop(), Started: m.started})
	if err != nil {
		w.faults.addf("new node %s: %v", id, err)
		return nil
	}
	n.Start()
	m.node = n
	w.nodes[id] = m
	return m
}

// kill stops a node at once, as a crash would: nothing that it still tries
// reaches the platform.
func (w *world) kill(id string) {
	w.nodes[id].platform.setAway(true)
	w.nodes[id].node.Close()
	delete(w.nodes, id)
}

// sleep lets virtual time pass.
func (w *world) sleep(d time.Duration) { time.Sleep(d) }

// close stops all nodes and thaws the engines, so that the bubble can end.
func (w *world) close() {
	for _, e := range w.dialer.engines {
		e.Faults.Set(standin.FaultState{})
	}
	for _, id := range w.ids() {
		w.kill(id)
	}
	time.Sleep(time.Minute)
}

// ids lists the running nodes in order.
func (w *world) ids() []string {
	out := []string{}
	for id := range w.nodes {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// callerPatience is longer than any deadline.
const callerPatience = 10 * time.Minute

// post sends one request as a caller of the given organisation.
func (w *world) post(id, organisation, path, body string, header map[string]string) answer {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return w.net.dial("caller")(ctx, id+":callers")
	}}
	req, err := http.NewRequest(http.MethodPost, "http://"+id+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+organisation)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Transport: transport, Timeout: callerPatience}).Do(req)
	if err != nil {
		w.faults.check(!os.IsTimeout(err), "%s left %s %s without an answer for %s", id, path, body, callerPatience)
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// Requests that most tests send.
const (
	org         = "virtanen-lahti"
	chatPath    = "/v1/chat/completions"
	confirmPath = "/v1/services/kirjauspalvelu/confirmations"
)

// chatBody asks for an answer.
func chatBody(text string, tokens int) string {
	return askBody(routing.AnyModel, text, tokens)
}

// askBody is a chat that names its model.
func askBody(model, text string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
}
