package edge

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// serverLoad is the load of some nodes on a server.
type serverLoad struct {
	running int
	// pendingPrefill is the time that the server needs for the prompts not yet read.
	pendingPrefill time.Duration
}

// workload holds the load on each server.
type workload map[prefix.Server]serverLoad

// add adds the load of other nodes.
func (w workload) add(other workload) {
	for server, x := range other {
		t := w[server]
		w[server] = serverLoad{t.running + x.running, t.pendingPrefill + x.pendingPrefill}
	}
}

// serverLoadBytes is the encoded size of a server's load: the server, the number of
// requests, and the milliseconds of pending prefill.
const serverLoadBytes = 4 + 2 + 2

// encode returns the workload as bytes, the same for equal workloads.
func (w workload) encode() []byte {
	out := make([]byte, 0, len(w)*serverLoadBytes)
	for _, server := range slices.SortedFunc(maps.Keys(w), cmp.Compare[prefix.Server]) {
		x := w[server]
		out = binary.BigEndian.AppendUint32(out, uint32(server))
		out = binary.BigEndian.AppendUint16(out, uint16(min(x.running, math.MaxUint16)))
		out = binary.BigEndian.AppendUint16(out, uint16(min(x.pendingPrefill.Milliseconds(), math.MaxUint16)))
	}
	return out
}

// decodeWorkload reverses encode. A trailing incomplete entry is ignored.
func decodeWorkload(raw []byte) workload {
	out := make(workload, len(raw)/serverLoadBytes)
	for ; len(raw) >= serverLoadBytes; raw = raw[serverLoadBytes:] {
		out[prefix.Server(binary.BigEndian.Uint32(raw))] = serverLoad{
			running:        int(binary.BigEndian.Uint16(raw[4:])),
			pendingPrefill: time.Duration(binary.BigEndian.Uint16(raw[6:])) * time.Millisecond,
		}
	}
	return out
}

// localWorkload returns the load of this node on each server.
func (n *Node) localWorkload() workload {
	out := workload{}
	n.pool.Each(func(m *pool.Member) {
		if running, pendingPrefill := m.LocalWork(); running > 0 {
			out[m.Key()] = serverLoad{running, pendingPrefill}
		}
	})
	return out
}

// applyRemoteLoad passes the load of other nodes on the servers to the pool.
func (n *Node) applyRemoteLoad(now time.Time) {
	total, local := n.members.totalWorkload(), n.localWorkload()
	n.pool.Each(func(m *pool.Member) {
		t, o := total[m.Key()], local[m.Key()]
		m.SetRemoteWork(max(t.running-o.running, 0), max(t.pendingPrefill-o.pendingPrefill, 0), now)
	})
	n.applyRemoteDetails(now)
}
