package edge

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Soft tables are passed between nodes only, never stored.
const (
	tableHeartbeats    = gossip.UpwardPrefix + "beats"      // each node's state, sent to its hub
	tableMemberLists   = gossip.SoftPrefix + "rosters"      // each hub's member list of its data centre
	tableHubHeartbeats = gossip.SoftPrefix + "pulses"       // heartbeats of the hubs
	tableLoads         = gossip.SoftPrefix + "loads"        // load of a data centre's nodes on each server
	tableLoadDetails   = gossip.SoftPrefix + "load-details" // details of that load
	tablePrefixes      = gossip.SoftPrefix + "reads"        // prompt prefixes that were sent to servers
	tableSessions      = gossip.SoftPrefix + "sessions"
	tableEvidence      = gossip.SoftPrefix + "evidence"
	tableSuspects      = gossip.SoftPrefix + "suspects"
	tableDraining      = gossip.SoftPrefix + "leaving" // servers that announced in an answer that they drain
	tableLimits        = gossip.SoftPrefix + "limits"  // limits that servers named in an answer
	tableWarmups       = gossip.SoftPrefix + "warmups" // servers that a node found cold or gone
)

const (
	// tableSystem is the system's own table in the store.
	tableSystem = "system"
	// memberKeyPrefix begins the keys of the rows by which nodes find each other,
	// startKeyPrefix the keys of those that hold when roll-outs began.
	memberKeyPrefix = "member/"
	startKeyPrefix  = "rollout/"
)

const (
	// heartbeatInterval is how often a node sends its state to its hub, and a hub its
	// heartbeat to the other data centres.
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is how long after its last heartbeat a node counts as unreachable.
	heartbeatTimeout = 2 * time.Second
	// hubHeartbeatTimeout is the same timeout for a hub, whose heartbeats pass through two
	// other nodes.
	hubHeartbeatTimeout = 3 * time.Second
	// unreachableBackoff is how long a node that could not be reached is excluded as a
	// hub.
	unreachableBackoff = 3 * time.Second
	// minHubWeightRatio is the part of the largest node's weight that a hub needs: a hub's
	// link carries the updates of its whole data centre.
	minHubWeightRatio = 0.5
)

// nodeState is what a node publishes about itself.
type nodeState struct {
	Node       string `json:"node"`
	Inner      string `json:"inner"`
	Callers    string `json:"callers"`
	DataCentre string `json:"dc"`
	// Ready nodes accept callers, Stopping ones are shutting down.
	Ready    bool `json:"ready,omitempty"`
	Stopping bool `json:"stopping,omitempty"`
	// GrantsPermits is set by nodes that can grant requests to limited servers.
	GrantsPermits bool `json:"permits,omitempty"`
	// Relays is set by nodes that connect to backend servers for others, CutOff by those
	// that have lost their links to most of the servers themselves.
	Relays bool `json:"relays,omitempty"`
	CutOff bool `json:"cut_off,omitempty"`
	// RelaysInFrames is set by nodes that also say how a relayed connection ended.
	RelaysInFrames bool `json:"relay_frames,omitempty"`
	// WidensCanary is set by nodes whose short roll-outs have a wider canary in place of
	// later stages.
	WidensCanary bool `json:"wide_canary,omitempty"`
	// Weight is the share of callers that the node can carry.
	Weight float64 `json:"weight"`
}

// heartbeat is a node's heartbeat to its hub.
type heartbeat struct {
	nodeState
	// Workload is the node's load on each server, encoded.
	Workload []byte `json:"work,omitempty"`
	// Details are the details of that load, encoded.
	Details []byte `json:"work_details,omitempty"`
	// Prefixes are the prompt prefixes that the node sent to servers since its last
	// heartbeat, encoded.
	Prefixes []byte `json:"reads,omitempty"`
}

// memberList is the list that one hub published.
type memberList struct {
	nodes         []nodeState
	lastHeartbeat time.Time // local time of the hub's last heartbeat
}

// receivedHeartbeat is a heartbeat with the local time of its receipt.
type receivedHeartbeat struct {
	nodeState
	workload   workload
	details    loadDetails
	receivedAt time.Time
}

// members tracks the live nodes. It is safe for concurrent use.
type members struct {
	log         *zap.Logger
	mu          sync.Mutex
	self        nodeState                    // guarded by mu
	heartbeats  map[string]receivedHeartbeat // guarded by mu; by node key
	memberLists map[string]*memberList       // guarded by mu; by hub key
	unreachable map[string]time.Time         // guarded by mu; by inner address
	loads       map[string]workload          // guarded by mu; by hub key
	details     map[string]loadDetails       // guarded by mu; by hub key
	loggedNames map[string]bool              // guarded by mu; names that were logged as joined
	prefixes    []prefix.Entry               // guarded by mu; received in heartbeats, not yet drained
	cachedLive  []nodeState                  // guarded by mu; result of liveLocked, nil after a change
	// lastHubHeartbeat is when the last heartbeat of any hub was received.
	lastHubHeartbeat time.Time // guarded by mu
	topology         *topology // guarded by mu; result of topologyLocked, nil after a change
	// silentSince is when relay nodes were found silent, lastUpstream the last result of
	// upstreamLocked.
	silentSince  map[string]time.Time // guarded by mu; by inner address
	lastUpstream string               // guarded by mu
	usesRelays   bool                 // guarded by mu; the last tree had relay nodes
}

func newMembers(log *zap.Logger) *members {
	return &members{
		log: log, heartbeats: map[string]receivedHeartbeat{}, memberLists: map[string]*memberList{}, unreachable: map[string]time.Time{},
		loads: map[string]workload{}, details: map[string]loadDetails{}, loggedNames: map[string]bool{}, silentSince: map[string]time.Time{},
	}
}

// setSelf records this node's own state.
func (m *members) setSelf(s nodeState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self, m.cachedLive = s, nil
}

// applyHeartbeats records heartbeats of the local data centre.
func (m *members) applyHeartbeats(rows []gossip.Row, now time.Time) {
	if len(rows) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cachedLive = nil
	for _, r := range rows {
		var b heartbeat
		if err := json.Unmarshal(r.Data, &b); err != nil {
			m.log.Warn("cannot decode heartbeat", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		m.prefixes = append(m.prefixes, prefix.Decode(b.Prefixes)...)
		m.heartbeats[r.Key] = receivedHeartbeat{b.nodeState, decodeWorkload(b.Workload), decodeLoadDetails(b.Details), now}
		delete(m.unreachable, b.Inner)
	}
}

// applyMemberLists records the member lists of hubs.
func (m *members) applyMemberLists(rows []gossip.Row, now time.Time) {
	if len(rows) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cachedLive = nil
	for _, r := range rows {
		var nodes []nodeState
		if err := json.Unmarshal(r.Data, &nodes); err != nil {
			m.log.Warn("cannot decode member list", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		m.memberLists[r.Key] = &memberList{nodes: nodes, lastHeartbeat: now}
	}
}

// applyHubHeartbeats records that hubs are live.
func (m *members) applyHubHeartbeats(rows []gossip.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(rows) > 0 {
		m.lastHubHeartbeat = now
	}
	for _, r := range rows {
		if list := m.memberLists[r.Key]; list != nil {
			list.lastHeartbeat = now
		}
	}
}

// applyLoads records the load of data centres on the servers.
func (m *members) applyLoads(rows []gossip.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.loads[r.Key] = decodeWorkload(r.Data)
	}
}

// prune drops heartbeats and member lists that timed out, and logs which nodes joined
// or were lost.
func (m *members) prune(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, b := range m.heartbeats {
		if now.Sub(b.receivedAt) > heartbeatTimeout {
			delete(m.heartbeats, key)
			m.cachedLive = nil
		}
	}
	for key, r := range m.memberLists {
		if now.Sub(r.lastHeartbeat) > hubHeartbeatTimeout {
			delete(m.memberLists, key)
			m.cachedLive = nil
			delete(m.loads, key)
			delete(m.details, key)
		}
	}
	m.logChanges()
}

// logChanges logs which nodes joined or were lost. The caller holds mu.
func (m *members) logChanges() {
	current := map[string]bool{}
	for _, s := range m.liveLocked() {
		current[s.Node] = true
		if !m.loggedNames[s.Node] {
			m.log.Info("member joined", zap.String("member", s.Node), zap.String("data_centre", s.DataCentre))
		}
	}
	for name := range m.loggedNames {
		if !current[name] {
			m.log.Info("member lost", zap.String("member", name))
		}
	}
	m.loggedNames = current
}

// liveLocked returns the nodes that count as live, one for each address, sorted by
// address. The caller holds mu and does not change the list.
func (m *members) liveLocked() []nodeState {
	if m.cachedLive == nil {
		m.cachedLive, m.topology = m.merge(), nil
	}
	return m.cachedLive
}

// merge combines the local state, heartbeats and member lists. The caller holds mu.
func (m *members) merge() []nodeState {
	seen := map[string]nodeState{m.self.Inner: m.self}
	add := func(s nodeState) {
		// The Stopping flag wins, even if other nodes still list the node as ready.
		if old, ok := seen[s.Inner]; !ok || (s.Stopping && !old.Stopping && s.Inner != m.self.Inner) {
			seen[s.Inner] = s
		}
	}
	for _, b := range m.heartbeats {
		add(b.nodeState)
	}
	for _, r := range m.memberLists {
		for _, s := range r.nodes {
			add(s)
		}
	}
	out := make([]nodeState, 0, len(seen))
	for _, s := range seen {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b nodeState) int { return cmp.Compare(a.Inner, b.Inner) })
	return out
}

// live returns the live nodes sorted by address. The caller does not change the list.
func (m *members) live() []nodeState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveLocked()
}

// widenCanaries reports whether all live nodes set WidensCanary.
func (m *members) widenCanaries() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.liveLocked(), func(s nodeState) bool { return !s.WidensCanary })
}

// count returns the number of live nodes, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.liveLocked())
}

// markUnreachable records that a node could not be reached.
func (m *members) markUnreachable(inner string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[inner], m.topology = now, nil
}

// hubs returns the inner address of each data centre's hub, the node that relays the
// data centre's updates. All nodes that see the same members choose the same hubs. The
// caller does not change the map.
func (m *members) hubs(now time.Time) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topologyLocked(now).hubs
}

// hubKey is the key by which nodes are ordered as hubs.
const hubKey = "hub"

// selectHub returns the address of the hub among the nodes of one data centre.
func selectHub(list []nodeState) string {
	return routing.HighestScoring(hubCandidates(list), hubKey)
}

// hubCandidates returns the addresses of the nodes that may be the hub of their data
// centre.
func hubCandidates(list []nodeState) []string {
	largest := 0.0
	for _, s := range list {
		largest = max(largest, s.Weight)
	}
	var candidates []string
	for _, s := range list {
		if s.Weight >= minHubWeightRatio*largest {
			candidates = append(candidates, s.Inner)
		}
	}
	return candidates
}

// localMemberList returns the nodes of this hub's data centre and their load on each
// server.
func (m *members) localMemberList() ([]nodeState, workload) {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes, total := []nodeState{m.self}, workload{}
	for _, b := range m.heartbeats {
		if b.DataCentre != m.self.DataCentre {
			continue
		}
		if b.Inner != m.self.Inner {
			nodes = append(nodes, b.nodeState)
		}
		total.add(b.workload)
	}
	slices.SortFunc(nodes, func(a, b nodeState) int { return cmp.Compare(a.Inner, b.Inner) })
	return nodes, total
}

// drainPrefixes returns the prompt prefixes received in heartbeats since the last
// call.
func (m *members) drainPrefixes() []prefix.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.prefixes
	m.prefixes = nil
	return out
}

// totalWorkload returns the load of all data centres on each server.
func (m *members) totalWorkload() workload {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := workload{}
	for _, list := range m.loads {
		out.add(list)
	}
	return out
}
