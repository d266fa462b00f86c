package edge

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// Soft tables are passed between nodes only.
const (
	tableNodes    = "soft/nodes"
	tableSessions = "soft/sessions"
	tableEvidence = "soft/evidence"
	tableSuspects = "soft/suspects"
)

// tableMembers is the system's table in the store: where nodes find each other.
const tableMembers = "members"

const (
	// beatInterval is how often a node tells its state.
	beatInterval = 500 * time.Millisecond
	// deadAfter is how long after its last heartbeat a node counts as gone: the
	// way over two hubs takes up to three batches.
	deadAfter = 2500 * time.Millisecond
	// forgetAfter is when the row of a node that is gone is dropped.
	forgetAfter = time.Minute
)

// nodeState is what a node tells of itself.
type nodeState struct {
	Node       string `json:"node"`
	Inner      string `json:"inner"`
	Callers    string `json:"callers"`
	DataCentre string `json:"dc"`
	// Ready nodes take callers, Stopping ones are about to leave.
	Ready    bool    `json:"ready"`
	Stopping bool    `json:"stopping"`
	Weight   float64 `json:"weight"`
	// Running counts requests of this node by server.
	Running map[string]int `json:"running,omitempty"`
}

// member is another node as this one sees it.
type member struct {
	nodeState
	heard time.Time // by the own clock, of the last new heartbeat
}

// members knows the living nodes. It is safe for concurrent use.
type members struct {
	self string // key of the own row
	log  *zap.Logger
	mu   sync.Mutex
	list map[string]*member // guarded by mu; by row key
	down map[string]time.Time
}

func newMembers(self string, log *zap.Logger) *members {
	return &members{self: self, log: log, list: map[string]*member{}, down: map[string]time.Time{}}
}

// take notes heartbeats.
func (m *members) take(rows []news.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(m.list, r.Key)
			continue
		}
		var s nodeState
		if err := json.Unmarshal(r.Data, &s); err != nil {
			m.log.Warn("heartbeat is unreadable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		if m.list[r.Key] == nil && r.Key != m.self {
			m.log.Info("member joined", zap.String("member", s.Node), zap.String("data_centre", s.DataCentre))
		}
		m.list[r.Key] = &member{nodeState: s, heard: now}
		delete(m.down, s.Inner)
	}
}

// prune drops nodes that fell silent.
func (m *members) prune(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, x := range m.list {
		if key != m.self && now.Sub(x.heard) > deadAfter {
			m.log.Info("member lost", zap.String("member", x.Node), zap.Int64("silent_ms", now.Sub(x.heard).Milliseconds()))
			delete(m.list, key)
		}
	}
}

// failed notes that a node could not be reached.
func (m *members) failed(inner string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[inner] = now
}

// alive returns the living nodes in the order of their names.
func (m *members) alive() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]member, 0, len(m.list))
	for _, x := range m.list {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b member) int { return cmp.Or(cmp.Compare(a.Inner, b.Inner), a.heard.Compare(b.heard)) })
	return out
}

// count returns the number of living nodes, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.list), 1)
}

// reachFailure is how long a node that could not be reached is passed over.
const reachFailure = 3 * time.Second

// hub returns the inner address of a data centre's hub: the node through which
// its news pass, alike on all nodes that see the same members.
func (m *members) hub(dataCentre string, now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var nodes []string
	for _, x := range m.list {
		if x.DataCentre == dataCentre && !x.Stopping && now.Sub(m.down[x.Inner]) > reachFailure {
			nodes = append(nodes, x.Inner)
		}
	}
	return routing.Highest(nodes, "hub")
}

// dataCentres returns those with a living node, sorted.
func (m *members) dataCentres() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, x := range m.list {
		if !slices.Contains(out, x.DataCentre) {
			out = append(out, x.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// running returns how many requests other nodes have at each server.
func (m *members) running() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int{}
	for key, x := range m.list {
		if key == m.self {
			continue
		}
		for server, n := range x.Running {
			out[server] += n
		}
	}
	return out
}
