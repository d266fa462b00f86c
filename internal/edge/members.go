package edge

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
	"github.com/cowslipfall/cowslipfall/internal/routing"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// Soft tables are passed between nodes only.
const (
	tableBeats    = news.Upward + "beats" // each node's state, to its hub
	tableRosters  = news.Soft + "rosters" // each hub's list of its data centre
	tablePulses   = news.Soft + "pulses"  // that a hub lives
	tableLoads    = news.Soft + "loads"   // what a data centre has at each server
	tableReads    = news.Soft + "reads"   // prompts that servers were given to read
	tableSessions = news.Soft + "sessions"
	tableEvidence = news.Soft + "evidence"
	tableSuspects = news.Soft + "suspects"
	tableLeaving  = news.Soft + "leaving" // servers that said in an answer that they leave
)

const (
	// tableSystem is the system's own table in the store.
	tableSystem = "system"
	// prefixMember begins the keys of the rows by which nodes find each other,
	// prefixStart those that tell when roll-outs began.
	prefixMember = "member/"
	prefixStart  = "rollout/"
)

const (
	// beatInterval is how often a node tells its hub its state, and a hub the
	// other data centres that it lives.
	beatInterval = 200 * time.Millisecond
	// deadAfter is how long after its last heartbeat a node counts as gone.
	deadAfter = 2 * time.Second
	// hubDeadAfter is the same for a hub, whose pulses pass through two others.
	hubDeadAfter = 3 * time.Second
	// reachFailure is how long a node that could not be reached is passed over.
	reachFailure = 3 * time.Second
	// hubWeight is the part of the largest node's weight that a hub needs: a
	// hub's link carries the news of its whole data centre.
	hubWeight = 0.5
)

// nodeState is what a node tells of itself.
type nodeState struct {
	Node       string `json:"node"`
	Inner      string `json:"inner"`
	Callers    string `json:"callers"`
	DataCentre string `json:"dc"`
	// Ready nodes take callers, Stopping ones are about to leave.
	Ready    bool `json:"ready,omitempty"`
	Stopping bool `json:"stopping,omitempty"`
	// Weight is the share of callers that the node can carry.
	Weight float64 `json:"weight"`
}

// beat is a node's heartbeat to its hub.
type beat struct {
	nodeState
	// Work is what the node has at each server, encoded.
	Work []byte `json:"work,omitempty"`
	// Reads are the parts of prompts that the node gave to servers since its
	// last heartbeat, encoded.
	Reads []byte `json:"reads,omitempty"`
}

// roster is one hub's list.
type roster struct {
	nodes []nodeState
	heard time.Time // by the own clock, of the last pulse
}

// heardBeat is a heartbeat with its time by the own clock.
type heardBeat struct {
	nodeState
	work workload
	at   time.Time
}

// members knows the living nodes. It is safe for concurrent use.
type members struct {
	log     *zap.Logger
	mu      sync.Mutex
	self    nodeState            // guarded by mu
	beats   map[string]heardBeat // guarded by mu; by node key
	rosters map[string]*roster   // guarded by mu; by hub key
	down    map[string]time.Time // guarded by mu; by inner address
	loads   map[string]workload  // guarded by mu; by hub key
	known   map[string]bool      // guarded by mu; names that were logged as joined
	reads   []prefix.Entry       // guarded by mu; told in heartbeats, not yet taken
	current []nodeState          // guarded by mu; what living returns, nil after a change
}

func newMembers(log *zap.Logger) *members {
	return &members{
		log: log, beats: map[string]heardBeat{}, rosters: map[string]*roster{}, down: map[string]time.Time{},
		loads: map[string]workload{}, known: map[string]bool{},
	}
}

// setSelf notes this node's own state.
func (m *members) setSelf(s nodeState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self, m.current = s, nil
}

// applyBeats notes heartbeats of the own data centre.
func (m *members) applyBeats(rows []news.Row, now time.Time) {
	if len(rows) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = nil
	for _, r := range rows {
		var b beat
		if err := json.Unmarshal(r.Data, &b); err != nil {
			m.log.Warn("heartbeat is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		m.reads = append(m.reads, prefix.Decode(b.Reads)...)
		m.beats[r.Key] = heardBeat{b.nodeState, decodeWork(b.Work), now}
		delete(m.down, b.Inner)
	}
}

// applyRosters notes the lists of hubs.
func (m *members) applyRosters(rows []news.Row, now time.Time) {
	if len(rows) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = nil
	for _, r := range rows {
		var nodes []nodeState
		if err := json.Unmarshal(r.Data, &nodes); err != nil {
			m.log.Warn("roster is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		m.rosters[r.Key] = &roster{nodes: nodes, heard: now}
	}
}

// applyPulses notes that hubs live.
func (m *members) applyPulses(rows []news.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		if x := m.rosters[r.Key]; x != nil {
			x.heard = now
		}
	}
}

// applyLoads notes what data centres have at the servers.
func (m *members) applyLoads(rows []news.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.loads[r.Key] = decodeWork(r.Data)
	}
}

// prune drops heartbeats and rosters that fell silent, and logs who came and
// went.
func (m *members) prune(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, b := range m.beats {
		if now.Sub(b.at) > deadAfter {
			delete(m.beats, key)
			m.current = nil
		}
	}
	for key, r := range m.rosters {
		if now.Sub(r.heard) > hubDeadAfter {
			delete(m.rosters, key)
			m.current = nil
			delete(m.loads, key)
		}
	}
	m.logChanges()
}

// logChanges logs which nodes came and went. The caller holds mu.
func (m *members) logChanges() {
	current := map[string]bool{}
	for _, s := range m.living() {
		current[s.Node] = true
		if !m.known[s.Node] {
			m.log.Info("member joined", zap.String("member", s.Node), zap.String("data_centre", s.DataCentre))
		}
	}
	for name := range m.known {
		if !current[name] {
			m.log.Info("member lost", zap.String("member", name))
		}
	}
	m.known = current
}

// living returns the nodes that count as alive, one for each address, in the
// order of their addresses. The caller holds mu and does not change the list.
func (m *members) living() []nodeState {
	if m.current == nil {
		m.current = m.merge()
	}
	return m.current
}

// merge joins the own state, heartbeats and rosters. The caller holds mu.
func (m *members) merge() []nodeState {
	seen := map[string]nodeState{m.self.Inner: m.self}
	add := func(s nodeState) {
		// A stopping node's word stands, whoever else still lists it as ready.
		if old, ok := seen[s.Inner]; !ok || (s.Stopping && !old.Stopping && s.Inner != m.self.Inner) {
			seen[s.Inner] = s
		}
	}
	for _, b := range m.beats {
		add(b.nodeState)
	}
	for _, r := range m.rosters {
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

// alive returns the living nodes in the order of their addresses. The caller
// does not change the list.
func (m *members) alive() []nodeState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.living()
}

// count returns the number of living nodes, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.living())
}

// failed notes that a node could not be reached.
func (m *members) failed(inner string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[inner] = now
}

// hubs returns the inner address of each data centre's hub: the node through
// which its news pass, alike on all nodes that see the same members.
func (m *members) hubs(now time.Time) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes := map[string][]nodeState{}
	for _, s := range m.living() {
		if !s.Stopping && now.Sub(m.down[s.Inner]) > reachFailure {
			nodes[s.DataCentre] = append(nodes[s.DataCentre], s)
		}
	}
	out := map[string]string{}
	for dc, list := range nodes {
		out[dc] = hubOf(list)
	}
	return out
}

// hubOf returns the hub among the nodes of one data centre.
func hubOf(list []nodeState) string {
	largest := 0.0
	for _, s := range list {
		largest = max(largest, s.Weight)
	}
	var names []string
	for _, s := range list {
		if s.Weight >= hubWeight*largest {
			names = append(names, s.Inner)
		}
	}
	return routing.Highest(names, "hub")
}

// ownRoster returns the nodes of this hub's data centre, and what they have at
// each server.
func (m *members) ownRoster() ([]nodeState, workload) {
	m.mu.Lock()
	defer m.mu.Unlock()
	nodes, total := []nodeState{m.self}, workload{}
	for _, b := range m.beats {
		if b.DataCentre != m.self.DataCentre {
			continue
		}
		if b.Inner != m.self.Inner {
			nodes = append(nodes, b.nodeState)
		}
		total.add(b.work)
	}
	slices.SortFunc(nodes, func(a, b nodeState) int { return cmp.Compare(a.Inner, b.Inner) })
	return nodes, total
}

// takeReads returns what heartbeats told of prompts since it was called last.
func (m *members) takeReads() []prefix.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.reads
	m.reads = nil
	return out
}

// work returns what all data centres have at each server.
func (m *members) work() workload {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := workload{}
	for _, list := range m.loads {
		out.add(list)
	}
	return out
}
