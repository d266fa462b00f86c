package fleet

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// inForceWithin is the bound on a change being in force everywhere.
const inForceWithin = 10 * time.Second

// revision returns the number of the revision in force at a node.
func (w *world) revision(id string) uint64 { return w.nodes[id].node.Status().Revision.Number }

// A change is in force on every live node in time, through a slow store, a cut
// between data centres, and nodes that the store does not answer.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 6, engines: 6})
		defer w.close()
		w.platform.Faults.Set(standin.FaultState{Delay: 2 * time.Second})
		w.platform.ObjectFaults.Set(standin.FaultState{Delay: 2 * time.Second})
		for _, a := range []string{"entry-1", "entry-4"} {
			for _, b := range []string{"entry-2", "entry-5"} {
				w.net.cut(a, b, true)
			}
		}
		for _, id := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
			w.nodes[id].platform.setAway(true)
		}
		w.sleep(time.Minute)
		for range 5 {
			rev := w.apply("through all that", func(r *config.Revision) {
				body, _, _ := r.Config.Encode()
				next := &config.Config{}
				_ = json.Unmarshal(body, next)
				next.Ranks["background"].Deadline += config.Duration(time.Second)
				r.Config = next
			})
			w.sleep(inForceWithin)
			for _, id := range w.ids() {
				f.check(w.revision(id) == rev.Number, "%s has revision %d, not %d", id, w.revision(id), rev.Number)
			}
		}
	})
}

// A store that comes back with an older state does not take the fleet back.
func TestConfigurationNeverReverts(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 4})
		defer w.close()
		ctx := context.Background()
		old, err := w.platform.Get(ctx, config.HeadKey)
		f.check(err == nil, "read head: %v", err)
		newest := w.apply("newest", func(*config.Revision) {})
		w.sleep(inForceWithin)
		_, err = w.platform.Commit(ctx, infra.Op{Key: config.HeadKey, Value: old.Value, Expect: infra.AnyVersion})
		f.check(err == nil, "take the store back: %v", err)
		w.sleep(time.Minute)
		w.kill("entry-2")
		w.addNode("late", w.shape.DataCentres[1])
		w.sleep(inForceWithin)
		for _, id := range w.ids() {
			f.check(w.revision(id) == newest.Number, "%s has revision %d, not %d", id, w.revision(id), newest.Number)
		}
	})
}
