package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// rosterInterval is how often the roster and the share of the limits are updated.
	rosterInterval = 300 * time.Millisecond
	// presenceInterval is how often an owner of replicas with limits writes to the table
	// which nodes it sees live, while it misses others, and reads what others wrote.
	presenceInterval = 2 * time.Second
	presencePrefix   = "presence/"
	presenceRows     = 500 // most rows of one read
)

// limits holds what bounds this node's share of the limits of backend servers.
type limits struct {
	roster *permit.Roster
	// currentAt is when this node last wrote and read presence, with a monotonic clock
	// reading, as the time of day may jump.
	currentAt atomic.Pointer[time.Time]
	versions  map[string]uint64 // of the rows read; used by exchangePresence only
}

func newLimits(node string) *limits {
	return &limits{roster: permit.NewRoster(node, time.Now()), versions: map[string]uint64{}}
}

// updateRoster passes the live nodes to the roster, and this partition's share of the limits
// to the owner.
func (n *Node) updateRoster(context.Context) {
	var live []permit.Node
	for _, other := range n.members.Snapshot().Nodes {
		if other.IsLive {
			live = append(live, permit.Node{Address: other.State.ID, IsStopping: other.State.Leaving})
		}
	}
	now := time.Now()
	currentAt := n.limits.currentAt.Load()
	isStoreCurrent := currentAt != nil && now.Sub(*currentAt) < 2*presenceInterval
	n.limits.roster.Update(live, isStoreCurrent, now)
	share, _ := n.limits.roster.PartitionShare(now)
	n.owner.SetLimitShare(share)
}

// exchangePresence tells, through the table, partitions of the fleet that
// the others still run.
func (n *Node) exchangePresence(ctx context.Context) {
	if n.limits.roster.Missing() == 0 || !n.owner.HasLimits() {
		return
	}
	if err := n.writePresence(ctx); err != nil {
		n.options.Log.Info("presence not written", telemetry.ErrorField(err))
		return
	}
	rows, err := n.platform.List(ctx, presencePrefix, "", presenceRows)
	if err != nil {
		n.options.Log.Info("presence not read", telemetry.ErrorField(err))
		return
	}
	now := time.Now()
	for _, row := range rows {
		if n.limits.versions[row.Key] == row.Version {
			continue
		}
		n.limits.versions[row.Key] = row.Version
		var nodes []string
		if err := json.Unmarshal(row.Value, &nodes); err != nil {
			n.options.Log.Warn("cannot decode presence", zap.String("key", row.Key), telemetry.ErrorField(err))
			continue
		}
		n.limits.roster.ObservePresence(nodes, now)
	}
	n.limits.currentAt.Store(&now)
}

// writePresence writes which nodes this one sees live.
func (n *Node) writePresence(ctx context.Context) error {
	value, err := json.Marshal(n.limits.roster.Live())
	if err != nil {
		return errors.Wrap(err, "encode presence")
	}
	key := presencePrefix + n.options.Settings.ID
	row, err := n.platform.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return err
	}
	_, err = n.platform.Commit(ctx, infra.Op{Key: key, Value: value, Expect: row.Version})
	return err
}
