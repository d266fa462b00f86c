package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/platform"
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
	// sweepShards is how many parts the rows of one kind have, each with one
	// owner: the first two hex digits of a row's place.
	sweepShards = 256
	// placeDigits is the length of a place in hex digits.
	placeDigits = 8
)

// Lives are how long rows are kept at least, by kind; 0 keeps them for ever.
type Lives struct {
	Claims time.Duration
	Bills  time.Duration
	Pins   time.Duration
}

// rowKey joins a row's key: its place, which spreads rows evenly so that each
// part of them has an owner, and its name.
func rowKey(prefix string, parts ...string) string {
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	name := strings.Join(parts, "/")
	sum := sha256.Sum256([]byte(name))
	return prefix + hex.EncodeToString(sum[:placeDigits/2]) + "/" + name
}

// Sweeper removes rows that are past their life. Each look is at a place drawn
// anew, so that nothing has to be kept of where the last one ended.
type Sweeper struct {
	table platform.Table
	lives Lives
	owns  func() func(shard string) bool
	now   func() time.Time
}

// NewSweeper returns a sweeper; owns returns what tells whether this node is
// now the owner of a part of the rows.
func NewSweeper(table platform.Table, lives Lives, owns func() func(shard string) bool) *Sweeper {
	return &Sweeper{table: table, lives: lives, owns: owns, now: time.Now}
}

// Sweep looks at some rows of one part that this node owns, and removes the old
// ones. Its calls of the table come after all others.
func (s *Sweeper) Sweep(ctx context.Context) {
	kind := []struct {
		prefix string
		life   time.Duration
	}{{claimPrefix, s.lives.Claims}, {billPrefix, s.lives.Bills}, {pinPrefix, s.lives.Pins}}[rand.IntN(3)]
	if kind.life <= 0 {
		return
	}
	owns := s.owns()
	for _, n := range rand.Perm(sweepShards) {
		shard := fmt.Sprintf("%s%02x", kind.prefix, n)
		if owns(shard) {
			s.sweepShard(platform.Background(ctx), shard, bornBefore(s.now(), kind.life))
			return
		}
	}
}

// bornBefore returns before when a row must have been made to be removed now.
// Its maker's clock may be ahead, and a claim may be sent some time after it
// was made.
func bornBefore(now time.Time, life time.Duration) time.Time {
	return now.Add(-life - ClockMargin - maxClaimAge)
}

// sweepShard removes rows of a part that were made before the given time, from
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

// remove tells whether it could remove the rows.
func (s *Sweeper) remove(ctx context.Context, old []platform.Op) bool {
	if len(old) == 0 {
		return true
	}
	_, err := s.table.Commit(ctx, old...)
	return err == nil
}

// oldRows returns the removal of the rows made before the given time, each on
// the condition that it is as it was read. Rows without a time stay.
func oldRows(rows []platform.Row, before time.Time) []platform.Op {
	var ops []platform.Op
	for _, row := range rows {
		var made struct {
			At time.Time `json:"at"`
		}
		if json.Unmarshal(row.Value, &made) != nil || made.At.IsZero() || !made.At.Before(before) {
			continue
		}
		ops = append(ops, platform.Op{Key: row.Key, Delete: true, Expect: row.Version})
	}
	return ops
}
