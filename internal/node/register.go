package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
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
	// succeedTries bounds how often the own row is entered at the start.
	succeedTries = 3
	// maxRowsDeleted bounds the expired rows that one pass removes.
	maxRowsDeleted = 20
)

// succeed takes a higher start number than the one in the own row, which a
// predecessor with a clock ahead may have left, and enters it there. Where the
// table does not answer, peers name the number.
func (n *Node) succeed(ctx context.Context) {
	for range succeedTries {
		stored, version, err := n.ownRow(ctx)
		if err != nil {
			return
		}
		n.members.RaiseAbove(time.Now(), stored.Incarnation)
		if !errors.Is(n.writeRow(ctx, version), infra.ErrConflict) {
			return
		}
	}
}

// ownRow reads the own row; a missing one is empty.
func (n *Node) ownRow(ctx context.Context) (nodeRow, uint64, error) {
	var stored nodeRow
	row, err := n.platform.Get(ctx, nodePrefix+n.options.Settings.ID)
	if errors.Is(err, infra.ErrNotFound) {
		return stored, 0, nil
	}
	if err != nil {
		return stored, 0, err
	}
	return stored, row.Version, json.Unmarshal(row.Value, &stored)
}

// writeRow enters the own address and start number.
func (n *Node) writeRow(ctx context.Context, expect uint64) error {
	self := n.members.Self()
	row, err := json.Marshal(nodeRow{Inner: self.Inner, Incarnation: self.Incarnation, At: time.Now()})
	if err != nil {
		return err
	}
	_, err = n.platform.Commit(ctx, infra.Op{Key: nodePrefix + self.ID, Value: row, Expect: expect})
	return err
}

// register renews the own row and reads those of the others, when it is time.
func (n *Node) register(ctx context.Context) {
	interval := registerInterval
	if n.members.Snapshot().LiveCount() == 1 {
		interval = registerLonely
	}
	if !n.due(&n.registered, interval) {
		return
	}
	_ = n.writeRow(ctx, infra.AnyVersion)
	n.readNodes(ctx)
}

// readNodes takes the addresses of the nodes in the table, and removes rows
// that nobody renews.
func (n *Node) readNodes(ctx context.Context) {
	seeds := map[string]string{}
	var expired []infra.Op
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
			expired = append(expired, infra.Op{Key: r.Key, Delete: true, Expect: r.Version})
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

// unregister removes the own row, so that nobody looks for the node. The row
// of a successor stays.
func (n *Node) unregister(ctx context.Context) {
	stored, version, err := n.ownRow(ctx)
	if err != nil || stored.Incarnation != n.members.Incarnation() {
		return
	}
	_, _ = n.platform.Commit(ctx, infra.Op{Key: nodePrefix + n.options.Settings.ID, Delete: true, Expect: version})
}
