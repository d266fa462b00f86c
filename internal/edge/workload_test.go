package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// Workloads are encoded in eight bytes a server, figures that are too large are
// bounded, and equal workloads have equal bytes.
func TestWorkloadEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	w := workload{1: {3, 120 * time.Millisecond}, 1 << 31: {0, 0}, 7: {70000, time.Hour}}
	raw := w.encode()
	is.Equal(len(raw), 3*serverLoadBytes)
	is.Equal(raw, w.encode())
	got := decodeWorkload(append(raw, 1, 2, 3))
	is.Equal(len(got), 3)
	is.Equal(got[1], serverLoad{3, 120 * time.Millisecond})
	is.Equal(got[7], serverLoad{65535, 65535 * time.Millisecond})
}

func TestWorkloadAdd(t *testing.T) {
	is := is.New(t)
	w := workload{1: {1, time.Second}}
	w.add(workload{1: {2, time.Second}, 2: {1, 0}})
	is.Equal(w, workload{1: {3, 2 * time.Second}, 2: {1, 0}})
}

// Prompt prefixes that nodes sent to engines reach the hub with their heartbeats,
// once.
func TestPrefixesReachTheHubOnce(t *testing.T) {
	is := is.New(t)
	m := newMembers(nil)
	entry := prefix.Entry{Part: prefix.HashPart("m", "a"), Server: prefix.HashServer("x", 0)}
	b := heartbeat{nodeState: readyNode("n1", "a", 1), Prefixes: prefix.Encode([]prefix.Entry{entry})}
	m.applyHeartbeats(heartbeatRows(t, b), startTime)
	is.Equal(m.drainPrefixes(), []prefix.Entry{entry})
	is.Equal(len(m.drainPrefixes()), 0)
}

func heartbeatRows(t *testing.T, b heartbeat) []gossip.Row {
	return []gossip.Row{{Table: tableHeartbeats, Key: b.Node, Version: 1, Data: encode(t, b)}}
}
