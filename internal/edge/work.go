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

// work is what some nodes have at a server.
type work struct {
	running int
	// unread is the time that the server needs for the prompts not yet read.
	unread time.Duration
}

// workload is the work at each server.
type workload map[prefix.Server]work

// add adds the work of other nodes.
func (w workload) add(other workload) {
	for server, x := range other {
		t := w[server]
		w[server] = work{t.running + x.running, t.unread + x.unread}
	}
}

// workBytes is the size of a server's work on its way: the server, the number of
// requests, and the milliseconds of unread prompts.
const workBytes = 4 + 2 + 2

// encode returns the workload as bytes, alike for alike workloads.
func (w workload) encode() []byte {
	out := make([]byte, 0, len(w)*workBytes)
	for _, server := range slices.SortedFunc(maps.Keys(w), cmp.Compare[prefix.Server]) {
		x := w[server]
		out = binary.BigEndian.AppendUint32(out, uint32(server))
		out = binary.BigEndian.AppendUint16(out, uint16(min(x.running, math.MaxUint16)))
		out = binary.BigEndian.AppendUint16(out, uint16(min(x.unread.Milliseconds(), math.MaxUint16)))
	}
	return out
}

// decodeWork undoes encode; a rest that is no whole entry is passed over.
func decodeWork(raw []byte) workload {
	out := make(workload, len(raw)/workBytes)
	for ; len(raw) >= workBytes; raw = raw[workBytes:] {
		out[prefix.Server(binary.BigEndian.Uint32(raw))] = work{
			running: int(binary.BigEndian.Uint16(raw[4:])),
			unread:  time.Duration(binary.BigEndian.Uint16(raw[6:])) * time.Millisecond,
		}
	}
	return out
}

// ownWork returns what this node has at each server.
func (n *Node) ownWork() workload {
	out := workload{}
	n.pool.Each(func(m *pool.Member) {
		if running, unread := m.Own(); running > 0 {
			out[m.Key()] = work{running, unread}
		}
	})
	return out
}

// shareLoad hands what other nodes have at the servers to the pool.
func (n *Node) shareLoad(now time.Time) {
	total, own := n.members.work(), n.ownWork()
	n.pool.Each(func(m *pool.Member) {
		t, o := total[m.Key()], own[m.Key()]
		m.Others(max(t.running-o.running, 0), max(t.unread-o.unread, 0), now)
	})
}
