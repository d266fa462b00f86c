package fleet

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// maxDrainDelay is the time after which a draining backend server gets no new work.
const maxDrainDelay = 4 * time.Second

// answersBegunSince returns the number of answers that an engine began at or after a
// time.
func answersBegunSince(e *standin.Engine, from time.Time) int {
	n := 0
	for _, r := range e.Runs() {
		if !r.At.Before(from) {
			n++
		}
	}
	return n
}

// sendSteadily sends chats to all nodes in turn for the given duration; all must be
// answered.
func (sim *simulation) sendSteadily(d time.Duration) {
	ids := sim.nodeIDs()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		a := sim.post(ids[i%len(ids)], org, chatPath, chatBody("steady", 5), nil)
		sim.failures.check(a.status == http.StatusOK, "chat at %s: %+v", ids[i%len(ids)], a)
		sim.sleep(50 * time.Millisecond)
	}
}

// A backend server announces in its answers that it drains. It soon gets no new work,
// although the list of VMs reports it as staying for another minute.
func TestDrainingEngineGetsNoNewWork(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{platform: standin.PlatformOptions{VMLag: time.Minute}})
		defer sim.close()
		engine := sim.dialer.engines[sim.vms[0].Address]
		sim.sendSteadily(5 * time.Second)
		engine.Drain()
		sim.sendSteadily(maxDrainDelay)
		from := time.Now()
		sim.sendSteadily(20 * time.Second)
		f.check(answersBegunSince(engine, from) == 0, "%d answers began at the draining engine", answersBegunSince(engine, from))
	})
}

// The list of VMs reports a backend server as draining. It soon gets no new work,
// although it does not announce the drain itself.
func TestDrainingVMGetsNoNewWork(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{})
		defer sim.close()
		sim.sendSteadily(5 * time.Second)
		sim.vms[0].Leaving = true
		sim.platform.SetVMs(sim.vms)
		sim.sendSteadily(maxDrainDelay)
		from := time.Now()
		sim.sendSteadily(20 * time.Second)
		engine := sim.dialer.engines[sim.vms[0].Address]
		f.check(answersBegunSince(engine, from) == 0, "%d answers began at the draining engine", answersBegunSince(engine, from))
	})
}

// failingDialer is a dialer with one engine that answers probes and fails work.
type failingDialer struct {
	*dialer
	address   string
	isFailing atomic.Bool
	attempts  atomic.Int32
}

// failingEngine fails work while its dialer is failing.
type failingEngine struct {
	backend.Engine
	d *failingDialer
}

func (d *failingDialer) Engine(address string) backend.Engine {
	if address == d.address {
		return failingEngine{d.dialer.Engine(address), d}
	}
	return d.dialer.Engine(address)
}

// Generate implements backend.Engine.
func (e failingEngine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	if e.d.isFailing.Load() {
		e.d.attempts.Add(1)
		return nil, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: "cut off"}
	}
	return e.Engine.Generate(ctx, req)
}

// A backend server answers probes and fails work, for all nodes or for one. The traffic
// reveals it: requests go elsewhere, few are tried there, and it gets work again soon
// after it recovers.
func TestTrafficRevealsFailingEngine(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		withVirtualClock(t, func(f *failures) {
			sim := newSimulation(f, simulationOptions{nodes: 3 - nodes})
			defer sim.close()
			d := &failingDialer{dialer: sim.dialer, address: sim.vms[0].Address}
			for i := range nodes {
				sim.addNodeWith([]string{"deaf-1", "deaf-2", "deaf-3"}[i], sim.deployment.DataCentres[i], func(m *member) { m.dialer = d })
			}
			sim.sleep(10 * time.Second)
			d.isFailing.Store(true)
			sim.sendSteadily(5 * time.Minute)
			f.check(d.attempts.Load() <= 60, "%d requests were tried at the failing engine", d.attempts.Load())
			d.isFailing.Store(false)
			sim.sendSteadily(2 * time.Minute)
			engine, from := sim.dialer.engines[d.address], time.Now()
			sim.sendSteadily(20 * time.Second)
			f.check(answersBegunSince(engine, from) > 0, "the engine that recovered gets no work")
		})
	}
}
