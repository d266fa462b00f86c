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

// maxRevisionDelay is the bound within which a change must be in force on all nodes.
const maxRevisionDelay = 10 * time.Second

// revisionNumber returns the number of the revision in force at a node.
func (sim *simulation) revisionNumber(id string) uint64 {
	return sim.nodes[id].node.Status().Revision.Number
}

// A change is in force on all live nodes in time although the store is slow, data
// centres are cut off from each other, and some nodes can't reach the store.
func TestRevisionReachesAllNodesInTime(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 6, engines: 6})
		defer sim.close()
		sim.platform.Faults.Set(standin.FaultState{Delay: 2 * time.Second})
		sim.platform.ObjectFaults.Set(standin.FaultState{Delay: 2 * time.Second})
		for _, a := range []string{"entry-1", "entry-4"} {
			for _, b := range []string{"entry-2", "entry-5"} {
				sim.net.setCut(a, b, true)
			}
		}
		for _, id := range []string{"entry-2", "entry-3", "entry-5", "entry-6"} {
			sim.nodes[id].platform.setUnreachable(true)
		}
		sim.sleep(time.Minute)
		for range 5 {
			rev := sim.applyRevision("through all that", func(r *config.Revision) {
				body, _, _ := r.Config.Encode()
				next := &config.Config{}
				_ = json.Unmarshal(body, next)
				next.Ranks["background"].Deadline += config.Duration(time.Second)
				r.Config = next
			})
			sim.sleep(maxRevisionDelay)
			for _, id := range sim.nodeIDs() {
				f.check(sim.revisionNumber(id) == rev.Number, "%s has revision %d, want %d", id, sim.revisionNumber(id), rev.Number)
			}
		}
	})
}

// The store comes back with an older state. The fleet does not return to the older
// revision.
func TestConfigurationNeverReverts(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 4})
		defer sim.close()
		ctx := context.Background()
		old, err := sim.platform.Get(ctx, config.HeadKey)
		f.check(err == nil, "read head: %v", err)
		newest := sim.applyRevision("newest", func(*config.Revision) {})
		sim.sleep(maxRevisionDelay)
		_, err = sim.platform.Commit(ctx, infra.Op{Key: config.HeadKey, Value: old.Value, Expect: infra.AnyVersion})
		f.check(err == nil, "restore the older state: %v", err)
		sim.sleep(time.Minute)
		sim.kill("entry-2")
		sim.addNode("late", sim.deployment.DataCentres[1])
		sim.sleep(maxRevisionDelay)
		for _, id := range sim.nodeIDs() {
			f.check(sim.revisionNumber(id) == newest.Number, "%s has revision %d, want %d", id, sim.revisionNumber(id), newest.Number)
		}
	})
}
