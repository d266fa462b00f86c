package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

const (
	// LeasePrefix is the prefix of the table keys of leases.
	LeasePrefix = "lease/orders/"
	// LeaseTime is how long a lease is valid after its last renewal.
	LeaseTime = 30 * time.Second
	// renewAfter is the age at which a lease is renewed.
	renewAfter = LeaseTime / 3
)

// ErrNotHeld is returned while another node holds the lease or may hold it.
var ErrNotHeld = errors.New("another node holds the lease for orders or may hold it: wait until it expires")

// leaseRow is the table row of a lease.
type leaseRow struct {
	// Number is the fencing number; it increases with each new holder.
	Number uint64 `json:"number"`
	// Node and Incarnation identify the holder.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Lease is one node's view of the lease for one pool. A node takes the lease
// over only after it saw the row unchanged for LeaseTime on its own clock, so
// that clocks need not agree. It is not safe for concurrent use.
type Lease struct {
	table infra.Table
	key   string
	self  leaseRow

	isHeld      bool
	renewedAt   time.Time // start of the call that last renewed the lease
	seenVersion uint64    // version of the row last seen
	seenAt      time.Time // when that version was first seen
}

// NewLease returns the lease of a pool for one process.
func NewLease(table infra.Table, pool, node string, incarnation uint64) *Lease {
	return &Lease{table: table, key: LeasePrefix + pool, self: leaseRow{Node: node, Incarnation: incarnation}}
}

// Number returns the fencing number, and whether the lease is held at now. It
// must be called again just before each order.
func (l *Lease) Number(now time.Time) (uint64, bool) {
	return l.self.Number, l.isHeld && now.Sub(l.renewedAt) < LeaseTime
}

// Acquire acquires or renews the lease. It returns ErrNotHeld while another
// node may hold the lease, or the table's error.
func (l *Lease) Acquire(ctx context.Context) error {
	now := time.Now()
	if _, ok := l.Number(now); ok && now.Sub(l.renewedAt) < renewAfter {
		return nil
	}
	row, stored, err := l.read(ctx)
	if err != nil {
		return err
	}
	isOwn := row.Version != 0 && stored.Node == l.self.Node && stored.Incarnation == l.self.Incarnation
	if !isOwn && l.trackFreshness(row.Version, now) {
		l.isHeld = false
		return ErrNotHeld
	}
	next := l.self
	next.Number = stored.Number
	if !isOwn {
		next.Number++
	}
	return l.write(ctx, row.Version, next, now)
}

// trackFreshness records the version of the row and reports whether the row
// changed within LeaseTime. It is called while another node holds the lease.
func (l *Lease) trackFreshness(version uint64, now time.Time) bool {
	if version == 0 {
		return false
	}
	if version != l.seenVersion {
		l.seenVersion = version
		l.seenAt = now
	}
	return now.Sub(l.seenAt) < LeaseTime
}

func (l *Lease) read(ctx context.Context) (infra.Row, leaseRow, error) {
	row, err := l.table.Get(ctx, l.key)
	if errors.Is(err, infra.ErrNotFound) {
		return infra.Row{}, leaseRow{}, nil
	}
	if err != nil {
		return row, leaseRow{}, err
	}
	var stored leaseRow
	return row, stored, errors.Wrap(json.Unmarshal(row.Value, &stored), "decode lease")
}

func (l *Lease) write(ctx context.Context, version uint64, next leaseRow, start time.Time) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	if _, err := l.table.Commit(ctx, infra.Op{Key: l.key, Value: value, Expect: version}); err != nil {
		if errors.Is(err, infra.ErrConflict) {
			l.isHeld = false
			return ErrNotHeld
		}
		return err
	}
	l.self = next
	l.isHeld = true
	l.renewedAt = start
	return nil
}

// Drop gives the lease up after an engine reported a newer holder.
func (l *Lease) Drop() { l.isHeld = false }
