package edge

import (
	"encoding/json"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// hubState is what this node last published as a hub.
type hubState struct {
	roster, loads string
	at            time.Time // when both were last published whether changed or not
}

// republishInterval is how often a roster that has not changed is told again: rows of
// soft tables are forgotten after a while, and nodes that join later need it.
const republishInterval = forgetAfter / 4

// beat tells the hub this node's state, and, as a hub, the other data centres
// those of its own.
func (n *Node) beat() {
	n.beating.Lock()
	defer n.beating.Unlock()
	s := n.settings.Load()
	state := nodeState{
		Node: s.Node, Inner: n.inner, Callers: s.Callers, DataCentre: s.DataCentre, Ready: n.ready(), Stopping: n.stopping.Load(),
		Weight: math.Sqrt(max(s.Processor, 0.01) * max(s.Bandwidth, 1)),
	}
	n.members.setSelf(state)
	n.publish(tableBeats, beat{state, n.ownWork()}, "")
	if n.members.hubs(time.Now())[s.DataCentre] == n.inner {
		n.publishRoster()
	}
}

// publishRoster tells the other nodes who is in this hub's data centre, and what
// they have at the servers.
func (n *Node) publishRoster() {
	if now := time.Now(); now.Sub(n.published.at) > republishInterval {
		n.published = hubState{at: now}
	}
	nodes, total := n.members.ownRoster()
	n.published.roster = n.publish(tableRosters, nodes, n.published.roster)
	n.published.loads = n.publish(tableLoads, total, n.published.loads)
	n.publish(tablePulses, struct{}{}, "")
}

// publish tells a value under this node's key if it is not what was told before,
// and returns what was told.
func (n *Node) publish(table string, value any, before string) string {
	raw, err := json.Marshal(value)
	if err != nil {
		n.o.Log.Error("state is not published", zap.String("table", table), telemetry.Cause(err))
		return before
	}
	if string(raw) != before {
		n.rows.Apply([]news.Row{{Table: table, Key: n.key, Version: n.nextVersion(), Data: raw}})
	}
	return string(raw)
}

// ownWork returns what this node has at each server.
func (n *Node) ownWork() map[string]work {
	out := map[string]work{}
	n.pool.Each(func(m *pool.Member) {
		if running, unread := m.Own(); running > 0 {
			out[m.ID] = work{running, int(unread.Milliseconds())}
		}
	})
	return out
}

// shareLoad hands what other nodes have at the servers to the pool.
func (n *Node) shareLoad(now time.Time) {
	total, own := n.members.work(), n.ownWork()
	n.pool.Each(func(m *pool.Member) {
		t, o := total[m.ID], own[m.ID]
		m.Others(max(t.Running-o.Running, 0), time.Duration(max(t.UnreadMS-o.UnreadMS, 0))*time.Millisecond, now)
	})
}
