package edge

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// hubState holds what this node last published as a hub.
type hubState struct {
	memberList, loads, details string
	publishedAt                time.Time // when they were last published, changed or not
	loadsAt                    time.Time // when loads and details were last published
	loadInterval               time.Duration
	prefixesAt                 time.Time // when prompt prefixes were last published
}

// republishInterval is how often an unchanged member list is published again. Rows of
// soft tables expire, and nodes that join later need the list.
const republishInterval = softRowTTL / 4

// sendHeartbeat sends this node's state to its hub. A hub also publishes the state of
// its data centre to the other data centres.
func (n *Node) sendHeartbeat() {
	n.heartbeatMu.Lock()
	defer n.heartbeatMu.Unlock()
	s := n.settings.Load()
	state := nodeState{
		Node: s.Node, Inner: n.innerAddress, Callers: s.Callers, DataCentre: s.DataCentre, Ready: n.isReady(), Stopping: n.stopping.Load(), GrantsPermits: true,
		Relays: true, RelaysInFrames: true, WidensCanary: true, CutOff: n.isCutOff(),
		Weight: math.Sqrt(max(s.Processor, 0.01) * max(s.Bandwidth, 1)),
	}
	n.members.setSelf(state)
	n.publish(tableHeartbeats, heartbeat{state, n.localWorkload().encode(), n.localLoadDetails().encode(), prefix.Encode(n.prefixes.ConsumePending())}, "")
	prefixes := n.members.drainPrefixes()
	if n.members.hubs(time.Now())[s.DataCentre] == n.innerAddress {
		n.publishMemberList()
		n.publishPrefixes(prefixes, time.Now())
	}
}

// isCutOff reports whether this node has lost its links to most of the backend servers,
// which other nodes reach.
func (n *Node) isCutOff() bool {
	return n.forwarder != nil && 2*n.forwarder.CutLinks() > n.pool.Len()
}

// prefixSlots is how many rows a hub uses in turn for prompt prefixes, so that a node
// that syncs late misses none.
const prefixSlots = 8

// publishPrefixes publishes which prompt prefixes the nodes of this hub's data centre
// sent to servers.
func (n *Node) publishPrefixes(entries []prefix.Entry, now time.Time) {
	entries = n.softBudget(now).newest(entries, now.Sub(n.published.prefixesAt))
	n.published.prefixesAt = now
	if len(entries) == 0 {
		return
	}
	n.prefixSlot = (n.prefixSlot + 1) % prefixSlots
	key := n.rowKey + "/" + strconv.Itoa(n.prefixSlot)
	n.rows.Apply([]gossip.Row{{Table: tablePrefixes, Key: key, Version: n.nextVersion(), Data: prefix.Encode(entries)}})
}

// applyPrefixes records which prompt prefixes other nodes sent to servers.
func (n *Node) applyPrefixes(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		n.prefixes.Merge(prefix.Decode(r.Data), now)
	}
}

// publishMemberList publishes the members of this hub's data centre and their load on
// the servers.
func (n *Node) publishMemberList() {
	now := time.Now()
	if now.Sub(n.published.publishedAt) > republishInterval {
		n.published.memberList, n.published.loads, n.published.details, n.published.publishedAt = "", "", "", now
	}
	nodes, total := n.members.localMemberList()
	n.published.memberList = n.publish(tableMemberLists, nodes, n.published.memberList)
	n.publishLoads(total, now)
	n.publish(tableHubHeartbeats, struct{}{}, "")
}

// publish encodes a value and publishes it under this node's key unless it equals
// lastPublished. It returns the published value.
func (n *Node) publish(table string, value any, lastPublished string) string {
	raw, err := json.Marshal(value)
	if err != nil {
		n.options.Log.Error("cannot encode node state, not published", zap.String("table", table), telemetry.ErrorField(err))
		return lastPublished
	}
	return n.publishRaw(table, raw, lastPublished)
}

// publishRaw is publish for an encoded value.
func (n *Node) publishRaw(table string, raw []byte, lastPublished string) string {
	if string(raw) != lastPublished {
		n.rows.Apply([]gossip.Row{{Table: table, Key: n.rowKey, Version: n.nextVersion(), Data: raw}})
	}
	return string(raw)
}
