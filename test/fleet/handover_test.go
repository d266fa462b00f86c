package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

const (
	handoverSlots          = 4
	handoverTokens         = 250
	handoverInterval       = 60 * time.Millisecond
	handoverUrgentInterval = 100 * time.Millisecond
)

// handoverRun measures the streams on engines while their owners change.
type handoverRun struct {
	*simulation
	mu                sync.Mutex
	urgentFirstTokens []time.Duration // guarded by mu; time to first token
	urgentRefused     int             // guarded by mu
	maxExcess         int             // most streams above an engine's limit
	excessTime        time.Duration   // stream time above the engines' limits, summed up
	longestExcess     time.Duration   // longest time in succession that an engine ran above its limit
	backgroundServed  int             // guarded by mu
	callerNodes       []string        // guarded by mu; nodes that callers use
	stop              chan struct{}
	load              sync.WaitGroup
	started           time.Time
}

// newHandover starts six nodes in three data centres, each with two engines that are
// kept full.
func newHandover(f *failures) *handoverRun {
	sim := newSimulation(f, simulationOptions{
		nodes: 6, engines: 6,
		engine: standin.EngineOptions{Slots: handoverSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond, ReportLag: 200 * time.Millisecond},
		edit:   func(c *config.Config) { c.Pools["mallipalvelin"].Slots = handoverSlots },
	})
	h := &handoverRun{simulation: sim, callerNodes: sim.nodeIDs(), stop: make(chan struct{}), started: time.Now()}
	h.load.Go(h.sendBackground)
	h.load.Go(h.sendUrgent)
	h.load.Go(h.measureExcess)
	sim.sleep(10 * time.Second)
	return h
}

// stopped reports whether the load is stopped.
func (h *handoverRun) stopped() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

// callerNodeIDs lists the nodes that callers use.
func (h *handoverRun) callerNodeIDs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.callerNodes)
}

// removeCallerNode removes a node and stops callers from using it.
func (h *handoverRun) removeCallerNode(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.nodes, id)
	h.callerNodes = h.nodeIDs()
}

// addCallerNode starts a node and lets callers use it.
func (h *handoverRun) addCallerNode(id, dataCentre string) {
	h.addNode(id, dataCentre)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callerNodes = h.nodeIDs()
}

// sendBackground keeps the engines full with long answers.
func (h *handoverRun) sendBackground() {
	for i := 0; !h.stopped(); i++ {
		ids := h.callerNodeIDs()
		h.load.Go(func() {
			a := h.post(ids[i%len(ids)], org, chatPath, chatBody(fmt.Sprintf("summary %d", i), handoverTokens), map[string]string{"X-Rank": "background", "X-Deadline-Ms": "40000"})
			h.mu.Lock()
			defer h.mu.Unlock()
			if a.status == http.StatusOK {
				h.backgroundServed++
			}
		})
		h.sleep(handoverInterval)
	}
}

// sendUrgent sends urgent requests for one token each.
func (h *handoverRun) sendUrgent() {
	for i := 0; !h.stopped(); i++ {
		ids := h.callerNodeIDs()
		h.load.Go(func() {
			sent := time.Now()
			a := h.post(ids[i%len(ids)], "museobussit", chatPath, chatBody(fmt.Sprintf("when does bus %d leave?", i), 1), map[string]string{"X-Rank": "urgent"})
			h.mu.Lock()
			defer h.mu.Unlock()
			switch {
			case a.status == http.StatusOK:
				h.urgentFirstTokens = append(h.urgentFirstTokens, time.Since(sent))
			case a.err == nil:
				h.urgentRefused++

			}
		})
		h.sleep(handoverUrgentInterval)
	}
}

// measureExcess samples the number of streams above the engines' limit.
func (h *handoverRun) measureExcess() {
	const step = 10 * time.Millisecond
	current := map[string]time.Duration{}
	for ; !h.stopped(); h.sleep(step) {
		for address, e := range h.dialer.engines {
			excess := e.Streams() - handoverSlots
			if excess <= 0 {
				current[address] = 0
				continue
			}
			current[address] += step
			h.maxExcess = max(h.maxExcess, excess)
			h.excessTime += time.Duration(excess) * step
			h.longestExcess = max(h.longestExcess, current[address])
		}
	}
}

// ownerOf returns the owner of an engine as a node sees it.
func (h *handoverRun) ownerOf(node string, engine int) string {
	for _, r := range h.nodes[node].node.Status().Replicas {
		if r.ID == h.vms[engine].ID {
			return r.Owner
		}
	}
	return ""
}

// finish ends the load and returns a summary.
func (h *handoverRun) finish() string {
	h.sleep(10 * time.Second)
	close(h.stop)
	h.load.Wait()
	slices.Sort(h.urgentFirstTokens)
	return fmt.Sprintf("most streams above the limit %d, stream-seconds above it %.2f (share %.4f), longest time above it %s; urgent first token p99 %s of %d, %d refused; %d background answers",
		h.maxExcess, h.excessTime.Seconds(), h.excessShare(), h.longestExcess, h.urgentP99(), len(h.urgentFirstTokens), h.urgentRefused, h.backgroundServed)
}

// urgentP99 returns the 99th percentile of the time to the first token of urgent work.
// The times must be sorted.
func (h *handoverRun) urgentP99() time.Duration {
	return h.urgentFirstTokens[len(h.urgentFirstTokens)*99/100].Round(time.Millisecond)
}

// excessShare returns the stream time above the limits as a share of the stream time
// that the limits allow.
func (h *handoverRun) excessShare() float64 {
	return h.excessTime.Seconds() / (time.Since(h.started).Seconds() * handoverSlots * float64(len(h.dialer.engines)))
}

// handoverCases are the ways in which owners change under load. bound limits the share
// of the work that runs above the limits meanwhile.
var handoverCases = []struct {
	name  string
	bound float64
	do    func(h *handoverRun)
}{
	{"killed and replaced", 0.0035, func(h *handoverRun) {
		for i := range 4 {
			owner := h.ownerOf(h.callerNodeIDs()[0], i)
			crashed := h.nodes[owner]
			crashed.platform.setUnreachable(true)
			h.removeCallerNode(owner)
			crashed.node.Close()
			h.sleep(12 * time.Second)
			h.addCallerNode(fmt.Sprintf("new-%d", i), crashed.settings.DataCentre)
			h.sleep(8 * time.Second)
		}
	}},
	{"replaced by plan", 0.0035, func(h *handoverRun) {
		for i := range 4 {
			owner := h.ownerOf(h.callerNodeIDs()[0], i)
			stopping := h.nodes[owner]
			h.addCallerNode(fmt.Sprintf("new-%d", i), stopping.settings.DataCentre)
			h.removeCallerNode(owner)
			h.load.Go(func() {
				h.failures.check(stopping.node.Shutdown(context.Background()) == nil, "%s did not shut down gracefully", owner)
			})
			h.sleep(20 * time.Second)
		}
	}},
	{"cut off from all nodes", 0.03, func(h *handoverRun) {
		for i := range 4 {
			owner := h.ownerOf("entry-1", i)
			for _, isCut := range []bool{true, false} {
				for _, other := range h.nodeIDs() {
					if other != owner {
						h.net.setCut(owner, other, isCut)
					}
				}
				h.sleep(15 * time.Second)
			}
		}
	}},
	{"data centres cut off from each other", 0.06, func(h *handoverRun) {
		for _, isCut := range []bool{true, false} {
			for _, a := range []string{"entry-1", "entry-4"} {
				for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
					h.net.setCut(a, b, isCut)
				}
			}
			h.sleep(40 * time.Second)
		}
	}},
}

// While the owners of full replicas change, little work runs above the limits, and
// urgent work gets its first token in time.
func TestOwnersChangeUnderLoad(t *testing.T) {
	for _, kind := range handoverCases {
		t.Run(kind.name, func(t *testing.T) {
			var figures string
			withVirtualClock(t, func(f *failures) {
				h := newHandover(f)
				defer h.close()
				kind.do(h)
				figures = h.finish()
				f.check(h.excessShare() <= kind.bound, "%.4f of the work ran above the limits, more than %.4f", h.excessShare(), kind.bound)
				f.check(h.urgentP99() <= h.config.Ranks["urgent"].FirstToken.Std(), "urgent first token p99 %s", h.urgentP99())
			})
			t.Log(figures)
		})
	}
}
