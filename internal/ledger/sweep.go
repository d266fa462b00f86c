package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Limits and intervals for removing old rows.
const (
	// SweepInterval is how often each node checks some rows.
	SweepInterval = 8 * time.Second
	// sweepPageSize is the maximum number of rows in one listing and in one
	// transaction. maxSweepPages is the maximum number of consecutive listings
	// while many rows are old.
	sweepPageSize = 100
	maxSweepPages = 8
	// ClockMargin is the maximum difference between the clocks of two nodes.
	ClockMargin = time.Hour
	// maxClaimAge is the maximum age of a claim when its call is sent.
	maxClaimAge = time.Hour
	// sweepShards is the number of shards of the bills, each with one owner. A
	// shard is given by the first two hex digits of the request's identity.
	sweepShards = 256
	// sweepTurns is the number of sweeps of which, on average, one checks claims
	// and one checks pins. The others check bills.
	sweepTurns = 10
	// sweepPrefix is the key prefix of the rows that hold the position of the sweep
	// through claims and pins.
	sweepPrefix = "sweep/"
)

// Lifetimes holds the minimum time that rows are kept, by kind. 0 keeps them
// forever.
type Lifetimes struct {
	Claims time.Duration
	Bills  time.Duration
	Pins   time.Duration
}

// Sweeper removes rows that are past their lifetime. The keys of bills are
// evenly distributed: each shard has an owner, which starts each sweep at a
// random position, so that no position has to be stored. The keys of claims and
// pins are not: a row of the table holds the position of the sweep, which
// advances in the transaction that removes the old rows.
type Sweeper struct {
	table     infra.Table
	lifetimes Lifetimes
	owns      func() func(shard string) bool
	now       func() time.Time
}

// NewSweeper returns a sweeper. owns returns a function that reports whether
// this node is now the owner of a shard.
func NewSweeper(table infra.Table, lifetimes Lifetimes, owns func() func(shard string) bool) *Sweeper {
	return &Sweeper{table: table, lifetimes: lifetimes, owns: owns, now: time.Now}
}

// Sweep checks some rows and removes the old ones. Its calls to the table have
// background priority, behind all others.
func (s *Sweeper) Sweep(ctx context.Context) {
	ctx = infra.WithLowestPriority(ctx)
	switch rand.IntN(sweepTurns) {
	case 0:
		s.sweepFromPosition(ctx, claimPrefix, s.lifetimes.Claims)
	case 1:
		s.sweepFromPosition(ctx, pinPrefix, s.lifetimes.Pins)
	default:
		s.sweepBills(ctx)
	}
}

// sweepBills checks bills of one random shard that this node owns.
func (s *Sweeper) sweepBills(ctx context.Context) {
	if s.lifetimes.Bills <= 0 {
		return
	}
	owns := s.owns()
	for _, n := range rand.Perm(sweepShards) {
		shard := fmt.Sprintf("%s%02x", billPrefix, n)
		if owns(shard) {
			s.sweepShard(ctx, shard, removalCutoff(s.now(), s.lifetimes.Bills))
			return
		}
	}
}

// sweepFromPosition checks the rows after the stored position, which all nodes
// share. If two nodes sweep at the same time, the transaction of the second one
// conflicts.
func (s *Sweeper) sweepFromPosition(ctx context.Context, prefix string, lifetime time.Duration) {
	if lifetime <= 0 {
		return
	}
	key := sweepPrefix + strings.TrimSuffix(prefix, "/")
	position, err := s.table.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return
	}
	after := string(position.Value)
	rows, err := s.table.List(ctx, prefix, after, sweepPageSize)
	if err != nil {
		return
	}
	next := ""
	if len(rows) == sweepPageSize {
		next = rows[len(rows)-1].Key
	}
	ops := removalOps(rows, removalCutoff(s.now(), lifetime))
	if next != after {
		ops = append(ops, infra.Op{Key: key, Value: []byte(next), Expect: position.Version})
	}
	s.remove(ctx, ops)
}

// removalCutoff returns the time before which a row must have been created to be
// removed now. It allows for a creator's clock that is ahead and for a claim
// that is sent some time after its creation.
func removalCutoff(now time.Time, lifetime time.Duration) time.Time {
	return now.Add(-lifetime - ClockMargin - maxClaimAge)
}

// sweepShard removes bills of a shard that were created before the given time.
// It starts at a random position and continues at the beginning of the shard
// after its end.
func (s *Sweeper) sweepShard(ctx context.Context, shard string, before time.Time) {
	after := fmt.Sprintf("%s%06x", shard, rand.IntN(1<<24))
	hasWrapped := false
	for range maxSweepPages {
		rows, err := s.table.List(ctx, shard, after, sweepPageSize)
		removals := removalOps(rows, before)
		if err != nil || !s.remove(ctx, removals) {
			return
		}
		switch isFull := len(rows) == sweepPageSize; {
		case isFull && len(removals) > sweepPageSize/2:
			after = rows[len(rows)-1].Key
		case isFull || hasWrapped:
			return
		default:
			after = ""
			hasWrapped = true
		}
	}
}

// remove deletes the rows and reports whether that succeeded.
func (s *Sweeper) remove(ctx context.Context, removals []infra.Op) bool {
	if len(removals) == 0 {
		return true
	}
	_, err := s.table.Commit(ctx, removals...)
	return err == nil
}

// removalOps returns the operations that remove the rows created before the
// given time, each on the condition that the row is unchanged. Rows without a
// time are kept.
func removalOps(rows []infra.Row, before time.Time) []infra.Op {
	var ops []infra.Op
	for _, row := range rows {
		var created struct {
			At time.Time `json:"at"`
		}
		if json.Unmarshal(row.Value, &created) != nil || created.At.IsZero() || !created.At.Before(before) {
			continue
		}
		ops = append(ops, infra.Op{Key: row.Key, Delete: true, Expect: row.Version})
	}
	return ops
}
