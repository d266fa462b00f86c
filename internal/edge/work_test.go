package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// Workloads survive the way in eight bytes a server, bounded where a figure is
// too large, and alike ones are told alike.
func TestWorkloadsSurviveTheWay(t *testing.T) {
	is := is.New(t)
	w := workload{1: {3, 120 * time.Millisecond}, 1 << 31: {0, 0}, 7: {70000, time.Hour}}
	raw := w.encode()
	is.Equal(len(raw), 3*workBytes)
	is.Equal(raw, w.encode())
	got := decodeWork(append(raw, 1, 2, 3))
	is.Equal(len(got), 3)
	is.Equal(got[1], work{3, 120 * time.Millisecond})
	is.Equal(got[7], work{65535, 65535 * time.Millisecond})
}

func TestWorkloadsAddUp(t *testing.T) {
	is := is.New(t)
	w := workload{1: {1, time.Second}}
	w.add(workload{1: {2, time.Second}, 2: {1, 0}})
	is.Equal(w, workload{1: {3, 2 * time.Second}, 2: {1, 0}})
}

// What nodes gave engines to read reaches the hub with their heartbeats, once.
func TestReadsReachTheHub(t *testing.T) {
	is := is.New(t)
	m := newMembers(nil)
	entry := prefix.Entry{Part: prefix.PartOf("m", "a"), Server: prefix.ServerOf("x", 0)}
	b := beat{nodeState: state("n1", "a", 1), Reads: prefix.Encode([]prefix.Entry{entry})}
	m.applyBeats(beatRows(t, b), start)
	is.Equal(m.takeReads(), []prefix.Entry{entry})
	is.Equal(len(m.takeReads()), 0)
}

func beatRows(t *testing.T, b beat) []news.Row {
	return []news.Row{{Table: tableBeats, Key: b.Node, Version: 1, Data: encode(t, b)}}
}
