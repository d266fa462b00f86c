package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/platform"
)

// nodeRow is what the table holds of a node, for others to find it.
type nodeRow struct {
	Inner       string    `json:"inner"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

const (
	nodePrefix       = "node/"
	nodeRowsPerRead  = 500
	registerInterval = 5 * time.Minute
	// registerLonely is the interval while no other node is in sight.
	registerLonely = 10 * time.Second
	// nodeRowLifetime is how long a row without renewal stands.
	nodeRowLifetime = 4 * registerInterval
	// maxRowsDeleted bounds the expired rows that one pass removes.
	maxRowsDeleted = 20
)

// register renews the own row and reads those of the others, when it is time.
func (n *Node) register(ctx context.Context) {
	interval := registerInterval
	if n.members.Snapshot().Live() == 1 {
		interval = registerLonely
	}
	if !n.due(&n.registered, interval) {
		return
	}
	row, err := json.Marshal(nodeRow{Inner: n.members.Self().Inner, Incarnation: n.incarnation, At: time.Now()})
	if err != nil {
		return
	}
	_, _ = n.platform.Commit(ctx, platform.Op{Key: nodePrefix + n.options.Settings.ID, Value: row, Expect: platform.AnyVersion})
	n.readNodes(ctx)
}

// readNodes takes the addresses of the nodes in the table, and removes rows
// that nobody renews.
func (n *Node) readNodes(ctx context.Context) {
	seeds := map[string]string{}
	var expired []platform.Op
	after := ""
	for {
		rows, err := n.platform.List(ctx, nodePrefix, after, nodeRowsPerRead)
		if err != nil {
			return
		}
		for _, r := range rows {
			var other nodeRow
			after = r.Key
			if json.Unmarshal(r.Value, &other) == nil && time.Since(other.At) < nodeRowLifetime {
				seeds[r.Key[len(nodePrefix):]] = other.Inner
				continue
			}
			expired = append(expired, platform.Op{Key: r.Key, Delete: true, Expect: r.Version})
		}
		if len(rows) < nodeRowsPerRead {
			break
		}
	}
	if len(expired) > 0 {
		_, _ = n.platform.Commit(ctx, expired[:min(len(expired), maxRowsDeleted)]...)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// unregister removes the own row, so that nobody looks for the node.
func (n *Node) unregister(ctx context.Context) {
	_, _ = n.platform.Commit(ctx, platform.Op{Key: nodePrefix + n.options.Settings.ID, Delete: true, Expect: platform.AnyVersion})
}
