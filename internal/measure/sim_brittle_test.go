package measure

import "testing"

// Guards against brittle servers that fall over because nodes, each for itself, turn to them
// more often than they can refuse, also with less room than before.
func TestBrittleServersStand(t *testing.T) {
	for _, c := range []struct{ nodes, servers, slots int }{{6, 6, 4}, {24, 12, 6}, {195, 40, 6}, {340, 60, 6}} {
		for _, load := range []float64{0.6, 1.4} {
			trial := BrittleTrial{Nodes: c.nodes, Servers: c.servers, Slots: c.slots, Refusals: 5, Load: load}
			ignored := trial.Run(testSeed)
			trial.HeedsBrittleness = true
			r := trial.Run(testSeed)
			t.Logf("%d nodes, %d servers of %d slots, load %.1f: %d falls, %.2f served; not heeded: %d falls, %.2f served", c.nodes, c.servers, c.slots, load, r.Falls, r.Served, ignored.Falls, ignored.Served)
			if float64(r.Falls) > 2+0.1*float64(c.servers) {
				t.Errorf("%+v: %d falls", trial, r.Falls)
			}
		}
	}
}
