package measure

import (
	"strings"
	"testing"
)

// relayCost is the extra processor time of a relayed request as a part of a direct one's, as
// BenchmarkRelayedRequest in package edge measures it, rounded up.
const relayCost = 1.0

// Guards against a way that leaves the callers of cut-off nodes worse off than others, or puts
// their load on a few nodes.
func TestRelayedConnectionsServeCallersOfCutOffNodes(t *testing.T) {
	for _, row := range RelayTable(relayCost, testSeed).Rows {
		t.Log(strings.Join(row, " | "))
	}
	for _, trial := range []RelayTrial{{6, 3, 1, relayCost}, {6, 3, 2, relayCost}, {24, 3, 8, relayCost}, {195, 3, 65, relayCost}, {340, 9, 38, relayCost}} {
		r := trial.Run(RelayConnections, testSeed)
		if r.Served < 1-1.0/50 {
			t.Errorf("%+v: %.2f served", trial, r.Served)
		}
		// All nodes but the cut-off ones share the work of relaying.
		fair := 1 + relayCost*float64(trial.CutOff)/float64(trial.Nodes-trial.CutOff)
		if r.Busiest > 1.5*fair {
			t.Errorf("%+v: the busiest node has %.2f times the mean load, %.2f would be fair", trial, r.Busiest, fair)
		}
		if none := trial.Run(RefuseOnly, testSeed); none.Served > 0 {
			t.Errorf("%+v: %.2f served without a way", trial, none.Served)
		}
	}
}
