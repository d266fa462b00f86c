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

// leaveWithin is the time after which a leaving backend server gets nothing
// new.
const leaveWithin = 4 * time.Second

// begun counts the answers that an engine began at or after a time.
func begun(e *standin.Engine, from time.Time) int {
	n := 0
	for _, r := range e.Runs() {
		if !r.At.Before(from) {
			n++
		}
	}
	return n
}

// steady sends chats at all nodes in turn for a while; all must be answered.
func (w *world) steady(d time.Duration) {
	ids := w.ids()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		a := w.post(ids[i%len(ids)], org, chatPath, chatBody("steady", 5), nil)
		w.faults.check(a.status == http.StatusOK, "chat at %s: %+v", ids[i%len(ids)], a)
		w.sleep(50 * time.Millisecond)
	}
}

// A backend server that says itself that it leaves gets no new work soon
// after, though the list of VMs shows it as staying for a minute more.
func TestDrainingEngineGetsNoNewWork(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{platform: standin.PlatformOptions{VMLag: time.Minute}})
		defer w.close()
		engine := w.dialer.engines[w.vms[0].Address]
		w.steady(5 * time.Second)
		engine.Drain()
		w.steady(leaveWithin)
		from := time.Now()
		w.steady(20 * time.Second)
		f.check(begun(engine, from) == 0, "%d answers began at the leaving engine", begun(engine, from))
	})
}

// A backend server that the list of VMs shows as leaving gets no new work soon
// after, though it knows nothing of it.
func TestLeavingVMGetsNoNewWork(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{})
		defer w.close()
		w.steady(5 * time.Second)
		w.vms[0].Leaving = true
		w.platform.SetVMs(w.vms)
		w.steady(leaveWithin)
		from := time.Now()
		w.steady(20 * time.Second)
		engine := w.dialer.engines[w.vms[0].Address]
		f.check(begun(engine, from) == 0, "%d answers began at the leaving engine", begun(engine, from))
	})
}

// deaf is a dialer to which one engine answers probes and fails work.
type deaf struct {
	*dialer
	address string
	failing atomic.Bool
	tried   atomic.Int32
}

type deafEngine struct {
	backend.Engine
	d *deaf
}

func (d *deaf) Engine(address string) backend.Engine {
	if address == d.address {
		return deafEngine{d.dialer.Engine(address), d}
	}
	return d.dialer.Engine(address)
}

// Generate implements backend.Engine.
func (e deafEngine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	if e.d.failing.Load() {
		e.d.tried.Add(1)
		return nil, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: "cut off"}
	}
	return e.Engine.Generate(ctx, req)
}

// A backend server that answers probes and fails work, for all nodes or for
// one, is found out by the traffic: requests go elsewhere, few are tried there,
// and it gets work again soon after it recovers.
func TestTrafficFindsOutFailingEngine(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		virtual(t, func(f *faults) {
			w := newWorld(f, worldOptions{nodes: 3 - nodes})
			defer w.close()
			d := &deaf{dialer: w.dialer, address: w.vms[0].Address}
			for i := range nodes {
				w.addNodeWith([]string{"deaf-1", "deaf-2", "deaf-3"}[i], w.shape.DataCentres[i], func(m *member) { m.dialer = d })
			}
			w.sleep(10 * time.Second)
			d.failing.Store(true)
			w.steady(5 * time.Minute)
			f.check(d.tried.Load() <= 60, "%d requests were tried at the failing engine", d.tried.Load())
			d.failing.Store(false)
			w.steady(2 * time.Minute)
			engine, from := w.dialer.engines[d.address], time.Now()
			w.steady(20 * time.Second)
			f.check(begun(engine, from) > 0, "the engine that recovered gets no work")
		})
	}
}
