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

// Bounds and times of the removal of old rows.
const (
	// SweepInterval is how often each node looks at some rows.
	SweepInterval = 8 * time.Second
	// sweepPage is the most rows of one look, and of one transaction;
	// sweepPages is how many looks follow each other where much is old.
	sweepPage  = 100
	sweepPages = 8
	// ClockMargin is how far the clocks of two nodes may be apart.
	ClockMargin = time.Hour
	// maxClaimAge is how long after it was made a claim may still be sent.
	maxClaimAge = time.Hour
	// sweepShards is how many parts the bills have, each with one owner: the
	// first two hex digits of the request's identity.
	sweepShards = 256
	// sweepShares is how many looks there are for one at claims and one at
	// pins; the others are for bills.
	sweepShares = 10
	// sweepPrefix begins the keys of rows that tell how far claims and pins
	// were looked at.
	sweepPrefix = "sweep/"
)

// Lives are how long rows are kept at least, by kind; 0 keeps them for ever.
type Lives struct {
	Claims time.Duration
	Bills  time.Duration
	Pins   time.Duration
}

// Sweeper removes rows that are past their life. Bills are spread evenly by
// their keys: each part has an owner, who looks at a place drawn anew, so that
// nothing has to be kept of where the last look ended. Claims and pins are
// not: a row of the table tells how far they were looked at, and moves on in
// the transaction that removes the old ones.
type Sweeper struct {
	table infra.Table
	lives Lives
	owns  func() func(shard string) bool
	now   func() time.Time
}

// NewSweeper returns a sweeper; owns returns what tells whether this node is
// now the owner of a part of the rows.
func NewSweeper(table infra.Table, lives Lives, owns func() func(shard string) bool) *Sweeper {
	return &Sweeper{table: table, lives: lives, owns: owns, now: time.Now}
}

// Sweep looks at some rows, and removes the old ones. Its calls of the table
// come after all others.
func (s *Sweeper) Sweep(ctx context.Context) {
	ctx = infra.Background(ctx)
	switch rand.IntN(sweepShares) {
	case 0:
		s.walk(ctx, claimPrefix, s.lives.Claims)
	case 1:
		s.walk(ctx, pinPrefix, s.lives.Pins)
	default:
		s.sweepBills(ctx)
	}
}

// sweepBills looks at bills of one part that this node owns.
func (s *Sweeper) sweepBills(ctx context.Context) {
	if s.lives.Bills <= 0 {
		return
	}
	owns := s.owns()
	for _, n := range rand.Perm(sweepShards) {
		shard := fmt.Sprintf("%s%02x", billPrefix, n)
		if owns(shard) {
			s.sweepShard(ctx, shard, bornBefore(s.now(), s.lives.Bills))
			return
		}
	}
}

// walk looks at the rows after those that were looked at last, by any node. Of
// two that look at once, the second's transaction conflicts.
func (s *Sweeper) walk(ctx context.Context, prefix string, life time.Duration) {
	if life <= 0 {
		return
	}
	key := sweepPrefix + strings.TrimSuffix(prefix, "/")
	at, err := s.table.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return
	}
	after := string(at.Value)
	rows, err := s.table.List(ctx, prefix, after, sweepPage)
	if err != nil {
		return
	}
	next := ""
	if len(rows) == sweepPage {
		next = rows[len(rows)-1].Key
	}
	ops := oldRows(rows, bornBefore(s.now(), life))
	if next != after {
		ops = append(ops, infra.Op{Key: key, Value: []byte(next), Expect: at.Version})
	}
	s.remove(ctx, ops)
}

// bornBefore returns before when a row must have been made to be removed now.
// Its maker's clock may be ahead, and a claim may be sent some time after it
// was made.
func bornBefore(now time.Time, life time.Duration) time.Time {
	return now.Add(-life - ClockMargin - maxClaimAge)
}

// sweepShard removes bills of a part that were made before the given time, from
// a drawn place on, and from the part's beginning where its end was reached.
func (s *Sweeper) sweepShard(ctx context.Context, shard string, before time.Time) {
	after := fmt.Sprintf("%s%06x", shard, rand.IntN(1<<24))
	wrapped := false
	for range sweepPages {
		rows, err := s.table.List(ctx, shard, after, sweepPage)
		old := oldRows(rows, before)
		if err != nil || !s.remove(ctx, old) {
			return
		}
		switch full := len(rows) == sweepPage; {
		case full && len(old) > sweepPage/2:
			after = rows[len(rows)-1].Key
		case full || wrapped:
			return
		default:
			after = ""
			wrapped = true
		}
	}
}

// remove tells whether the rows could be removed.
func (s *Sweeper) remove(ctx context.Context, old []infra.Op) bool {
	if len(old) == 0 {
		return true
	}
	_, err := s.table.Commit(ctx, old...)
	return err == nil
}

// oldRows returns the removal of the rows made before the given time, each on
// the condition that it is as it was read. Rows without a time stay.
func oldRows(rows []infra.Row, before time.Time) []infra.Op {
	var ops []infra.Op
	for _, row := range rows {
		var made struct {
			At time.Time `json:"at"`
		}
		if json.Unmarshal(row.Value, &made) != nil || made.At.IsZero() || !made.At.Before(before) {
			continue
		}
		ops = append(ops, infra.Op{Key: row.Key, Delete: true, Expect: row.Version})
	}
	return ops
}
