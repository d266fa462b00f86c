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
	handoverSlots  = 4
	handoverTokens = 250
	handoverEvery  = 60 * time.Millisecond
	handoverUrgent = 100 * time.Millisecond
)

// handover measures what runs on engines while their owners change.
type handover struct {
	*world
	mu      sync.Mutex
	first   []time.Duration // guarded by mu; of urgent work
	refused int             // guarded by mu; urgent
	excess  int             // the most streams above an engine's limit
	over    time.Duration   // how long engines ran more than their limit, added up
	longest time.Duration   // the longest time in one piece
	served  int             // guarded by mu; background
	entries []string        // guarded by mu; the nodes that callers use
	stop    chan struct{}
	load    sync.WaitGroup
	began   time.Time
}

// newHandover starts six nodes in three data centres, each with two engines
// that are kept full.
func newHandover(f *faults) *handover {
	w := newWorld(f, worldOptions{
		nodes: 6, engines: 6,
		engine: standin.EngineOptions{Slots: handoverSlots, BaseInterval: 20 * time.Millisecond, PerStream: time.Millisecond, ReportLag: 200 * time.Millisecond},
		edit:   func(c *config.Config) { c.Pools["mallipalvelin"].Slots = handoverSlots },
	})
	h := &handover{world: w, entries: w.ids(), stop: make(chan struct{}), began: time.Now()}
	h.load.Go(h.background)
	h.load.Go(h.urgent)
	h.load.Go(h.watch)
	w.sleep(10 * time.Second)
	return h
}

func (h *handover) stopped() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

// alive lists the nodes that callers use.
func (h *handover) alive() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.entries)
}

// retire makes callers leave a node alone.
func (h *handover) retire(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.nodes, id)
	h.entries = h.ids()
}

// start adds a node and lets callers use it.
func (h *handover) start(id, dataCentre string) {
	h.addNode(id, dataCentre)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = h.ids()
}

// background keeps the engines full with long answers.
func (h *handover) background() {
	for i := 0; !h.stopped(); i++ {
		ids := h.alive()
		h.load.Go(func() {
			a := h.post(ids[i%len(ids)], org, chatPath, chatBody(fmt.Sprintf("summary %d", i), handoverTokens), map[string]string{"X-Rank": "background", "X-Deadline-Ms": "40000"})
			h.mu.Lock()
			defer h.mu.Unlock()
			if a.status == http.StatusOK {
				h.served++
			}
		})
		h.sleep(handoverEvery)
	}
}

// urgent asks for single tokens.
func (h *handover) urgent() {
	for i := 0; !h.stopped(); i++ {
		ids := h.alive()
		h.load.Go(func() {
			sent := time.Now()
			a := h.post(ids[i%len(ids)], "museobussit", chatPath, chatBody(fmt.Sprintf("when does bus %d leave?", i), 1), map[string]string{"X-Rank": "urgent"})
			h.mu.Lock()
			defer h.mu.Unlock()
			switch {
			case a.status == http.StatusOK:
				h.first = append(h.first, time.Since(sent))
			case a.err == nil:
				h.refused++

			}
		})
		h.sleep(handoverUrgent)
	}
}

// watch counts what the engines run above their limit.
func (h *handover) watch() {
	const step = 10 * time.Millisecond
	since := map[string]time.Duration{}
	for ; !h.stopped(); h.sleep(step) {
		for address, e := range h.dialer.engines {
			excess := e.Streams() - handoverSlots
			if excess <= 0 {
				since[address] = 0
				continue
			}
			since[address] += step
			h.excess = max(h.excess, excess)
			h.over += time.Duration(excess) * step
			h.longest = max(h.longest, since[address])
		}
	}
}

// ownerOf returns the owner of an engine as a node sees it.
func (h *handover) ownerOf(by string, engine int) string {
	for _, r := range h.nodes[by].node.Status().Replicas {
		if r.ID == h.vms[engine].ID {
			return r.Owner
		}
	}
	return ""
}

// finish ends the load and returns the figures.
func (h *handover) finish() string {
	h.sleep(10 * time.Second)
	close(h.stop)
	h.load.Wait()
	slices.Sort(h.first)
	return fmt.Sprintf("most streams above the limit %d, stream-seconds above it %.2f (share %.4f), longest time above it %s; urgent first token p99 %s of %d, %d refused; %d background answers",
		h.excess, h.over.Seconds(), h.share(), h.longest, h.p99(), len(h.first), h.refused, h.served)
}

// p99 is the time to the first token of urgent work, once all is sorted.
func (h *handover) p99() time.Duration {
	return h.first[len(h.first)*99/100].Round(time.Millisecond)
}

// share returns what ran above the limits, as a part of what may run.
func (h *handover) share() float64 {
	return h.over.Seconds() / (time.Since(h.began).Seconds() * handoverSlots * float64(len(h.dialer.engines)))
}

// The kinds of change that owners go through under load, and the part of the
// work that may run above the limits meanwhile.
var handovers = []struct {
	name  string
	bound float64
	do    func(h *handover)
}{
	{"killed and replaced", 0.0035, func(h *handover) {
		for i := range 4 {
			owner := h.ownerOf(h.alive()[0], i)
			gone := h.nodes[owner]
			gone.platform.setAway(true)
			h.retire(owner)
			gone.node.Close()
			h.sleep(12 * time.Second)
			h.start(fmt.Sprintf("new-%d", i), gone.settings.DataCentre)
			h.sleep(8 * time.Second)
		}
	}},
	{"replaced by plan", 0.0035, func(h *handover) {
		for i := range 4 {
			owner := h.ownerOf(h.alive()[0], i)
			leaving := h.nodes[owner]
			h.start(fmt.Sprintf("new-%d", i), leaving.settings.DataCentre)
			h.retire(owner)
			h.load.Go(func() {
				h.faults.check(leaving.node.Shutdown(context.Background()) == nil, "%s did not leave gracefully", owner)
			})
			h.sleep(20 * time.Second)
		}
	}},
	{"cut off from all nodes", 0.03, func(h *handover) {
		for i := range 4 {
			owner := h.ownerOf("entry-1", i)
			for _, apart := range []bool{true, false} {
				for _, other := range h.ids() {
					if other != owner {
						h.net.cut(owner, other, apart)
					}
				}
				h.sleep(15 * time.Second)
			}
		}
	}},
	{"data centres cut off each other", 0.06, func(h *handover) {
		for _, apart := range []bool{true, false} {
			for _, a := range []string{"entry-1", "entry-4"} {
				for _, b := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
					h.net.cut(a, b, apart)
				}
			}
			h.sleep(40 * time.Second)
		}
	}},
}

// While the owners of full replicas change, little runs above the limits, and
// urgent work gets its first token in time.
func TestOwnersChangeUnderLoad(t *testing.T) {
	for _, kind := range handovers {
		t.Run(kind.name, func(t *testing.T) {
			var figures string
			virtual(t, func(f *faults) {
				h := newHandover(f)
				defer h.close()
				kind.do(h)
				figures = h.finish()
				f.check(h.share() <= kind.bound, "%.4f of the work ran above the limits, more than %.4f", h.share(), kind.bound)
				f.check(h.p99() <= h.config.Ranks["urgent"].FirstToken.Std(), "urgent first token p99 %s", h.p99())
			})
			t.Log(figures)
		})
	}
}
