package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// nodeRow is a node's row in the table, through which other nodes find it.
type nodeRow struct {
	Inner       string    `json:"inner"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

const (
	nodePrefix       = "node/"
	nodeRowsPerRead  = 500
	registerInterval = 5 * time.Minute
	// aloneRegisterInterval is the interval while no other node is live.
	aloneRegisterInterval = 10 * time.Second
	// nodeRowLifetime is how long a row stays valid without renewal.
	nodeRowLifetime = 4 * registerInterval
	// maxIncarnationTries bounds how often the local row is written at the
	// start.
	maxIncarnationTries = 3
	// maxRowsDeleted bounds the expired rows that one pass deletes.
	maxRowsDeleted = 20
)

// raiseIncarnation raises the incarnation above the one in the local row and
// writes it there. A predecessor whose clock ran ahead may have left a higher
// one. If the table does not answer, peers report the incarnation.
func (n *Node) raiseIncarnation(ctx context.Context) {
	for range maxIncarnationTries {
		stored, version, err := n.readLocalRow(ctx)
		if err != nil {
			return
		}
		n.members.RaiseAbove(time.Now(), stored.Incarnation)
		if !errors.Is(n.writeLocalRow(ctx, version), infra.ErrConflict) {
			return
		}
	}
}

// readLocalRow reads the row of this node and its version. A missing row is
// returned as an empty one.
func (n *Node) readLocalRow(ctx context.Context) (nodeRow, uint64, error) {
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

// writeLocalRow writes the address and incarnation of this node.
func (n *Node) writeLocalRow(ctx context.Context, expect uint64) error {
	self := n.members.Self()
	row, err := json.Marshal(nodeRow{Inner: self.Inner, Incarnation: self.Incarnation, At: time.Now()})
	if err != nil {
		return err
	}
	_, err = n.platform.Commit(ctx, infra.Op{Key: nodePrefix + self.ID, Value: row, Expect: expect})
	return err
}

// register renews the row of this node and reads the rows of other nodes when
// that is due.
func (n *Node) register(ctx context.Context) {
	interval := registerInterval
	if n.members.Snapshot().LiveCount() == 1 {
		interval = aloneRegisterInterval
	}
	if !n.advanceIfDue(&n.registered, interval) {
		return
	}
	_ = n.writeLocalRow(ctx, infra.AnyVersion)
	n.readNodes(ctx)
}

// readNodes reads the addresses of the nodes in the table and deletes rows that
// were not renewed in time.
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

// unregister deletes the row of this node, so that other nodes stop looking for
// it. The row of a later incarnation is kept.
func (n *Node) unregister(ctx context.Context) {
	stored, version, err := n.readLocalRow(ctx)
	if err != nil || stored.Incarnation != n.members.Incarnation() {
		return
	}
	_, _ = n.platform.Commit(ctx, infra.Op{Key: nodePrefix + n.options.Settings.ID, Delete: true, Expect: version})
}
