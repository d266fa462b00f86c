package edge

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
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
	n.publish(tableBeats, beat{state, n.ownWork().encode(), prefix.Encode(n.prefixes.Take())}, "")
	reads := n.members.takeReads()
	if n.members.hubs(time.Now())[s.DataCentre] == n.inner {
		n.publishRoster()
		n.publishReads(reads)
	}
}

// readsSlots is how many rows a hub uses in turn for what servers read, so that
// a node that asks late misses none.
const readsSlots = 8

// publishReads tells the other nodes which prompts the nodes of this hub's data
// centre gave to servers.
func (n *Node) publishReads(entries []prefix.Entry) {
	if len(entries) == 0 {
		return
	}
	n.readsSlot = (n.readsSlot + 1) % readsSlots
	key := n.key + "/" + strconv.Itoa(n.readsSlot)
	n.rows.Apply([]news.Row{{Table: tableReads, Key: key, Version: n.nextVersion(), Data: prefix.Encode(entries)}})
}

// applyReads notes which prompts other nodes gave to servers.
func (n *Node) applyReads(rows []news.Row, now time.Time) {
	for _, r := range rows {
		n.prefixes.Merge(prefix.Decode(r.Data), now)
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
	n.published.loads = n.publishRaw(tableLoads, total.encode(), n.published.loads)
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
	return n.publishRaw(table, raw, before)
}

// publishRaw is publish for an encoded value.
func (n *Node) publishRaw(table string, raw []byte, before string) string {
	if string(raw) != before {
		n.rows.Apply([]news.Row{{Table: table, Key: n.key, Version: n.nextVersion(), Data: raw}})
	}
	return string(raw)
}
