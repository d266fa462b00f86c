package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Table simulates the platform's transactional table in memory. It is safe for
// concurrent use.
type Table struct {
	// Faults are the faults that the table injects into calls.
	Faults      *Faults
	mu          sync.Mutex
	rows        map[string]infra.Row // guarded by mu
	lastVersion uint64               // guarded by mu
	reads       int                  // guarded by mu
	writes      int                  // guarded by mu
}

var _ infra.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Faults: NewFaults(), rows: map[string]infra.Row{}} }

// Counts returns the numbers of reads and of transactions so far, conflicting
// transactions included.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// beforeCall applies the faults to a call, and returns infra.ErrUnavailable if
// the call is to fail.
func (t *Table) beforeCall(ctx context.Context) error {
	if err := t.Faults.BeforeCall(ctx); err != nil {
		return errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	return nil
}

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := t.beforeCall(ctx); err != nil {
		return infra.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return infra.Row{}, infra.ErrNotFound
	}
	return row, nil
}

// List implements infra.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := t.beforeCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := []infra.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	if err := t.beforeCall(ctx); err != nil {
		return nil, err
	}
	versions, err := t.apply(ops)
	if err == nil && t.Faults.ConsumeLostReply() {
		return nil, errors.Wrap(infra.ErrUnavailable, "the reply was lost")
	}
	return versions, err
}

// apply executes a transaction and returns the new version of each row. It
// returns infra.ErrConflict if a row does not have the expected version.
func (t *Table) apply(ops []infra.Op) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, op := range ops {
		if op.Expect != infra.AnyVersion && t.rows[op.Key].Version != op.Expect {
			return nil, infra.ErrConflict
		}
	}
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		if op.Delete {
			delete(t.rows, op.Key)
			continue
		}
		t.lastVersion++
		t.rows[op.Key] = infra.Row{Key: op.Key, Value: op.Value, Version: t.lastVersion}
		versions[i] = t.lastVersion
	}
	return versions, nil
}
