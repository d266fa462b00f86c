// Package gossip replicates rows of the platform's store, and soft state of the nodes,
// from node to node. Each row has a revision and the newest wins, so rows may arrive in
// any order, from any node, any number of times.
package gossip

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Row is one value under a table and key.
type Row struct {
	Table string
	Key   string
	// Era and Version are the revision of the row in the store. Rows that are not stored
	// have no era.
	Era     uint64
	Version uint64
	// Rank is the number that the writer gave to the row's content, 0 if there is none. A
	// row of a higher rank wins whatever its revision: the copy from which a store was
	// restored may hold content that was replaced long ago.
	Rank uint64
	// Deleted rows are kept as tombstones for a while, so that an older copy cannot revive
	// them. They are Lost if nobody deleted them, but the store was restored from a copy
	// that lacks them.
	Deleted bool
	Lost    bool
	Data    []byte
	// Packed data is compressed. Only rows in transit are packed.
	Packed bool
	packed *packedData // nil for small rows
}

// Revision returns the row's revision.
func (r Row) Revision() Revision { return Revision{r.Era, r.Version} }

func (r Row) precedence() precedence { return precedence{r.Rank, r.Revision()} }

// ErrHistoryGone is returned by a Store whose history no longer reaches back to the
// requested version. Read the whole table instead.
var ErrHistoryGone = errors.New("history is gone: read the whole table")

// ErrRestored is returned by a Store that was restored from a copy since the revision of
// the call. Read the whole table, and decide again.
var ErrRestored = errors.New("the store was restored from a copy: read the whole table")

// Store is a reader's view of the platform's store.
type Store interface {
	// Read returns all rows of a table, and the revision they are as of.
	Read(ctx context.Context, table string) ([]Row, Revision, error)
	// Watch returns the rows changed after a revision as soon as there is one, or none
	// after wait, and the revision reached.
	Watch(ctx context.Context, table string, after Revision, wait time.Duration) ([]Row, Revision, error)
	// Write stores a row if its revision is still the expected one; version 0 expects no
	// row. It returns false if the condition did not hold, and ErrRestored if the store is
	// not, or no longer, in the expected era.
	Write(ctx context.Context, table, key string, expected Revision, data []byte) (bool, error)
	// Remove deletes a row whatever its version.
	Remove(ctx context.Context, table, key string) error
	// Clock returns the store's steady clock as of its last answer, and whether there was
	// one.
	Clock() (time.Duration, bool)
}

type rowID struct{ table, key string }

// hash identifies a row in a digest.
func (i rowID) hash() uint64 { return xxhash.Sum64String(i.table + "\x00" + i.key) }

// UpwardPrefix is the prefix of the names of tables whose rows are sent from a node to its
// hub only.
const UpwardPrefix = "up/"

func (i rowID) isUpward() bool { return strings.HasPrefix(i.table, UpwardPrefix) }

// SoftPrefix is the prefix of the names of tables whose rows are not relayed to a node that
// receives them from their origin itself. They are published often and may arrive a
// little late; rows of other tables are relayed by every node.
const SoftPrefix = "soft/"

func (i rowID) isSoft() bool { return strings.HasPrefix(i.table, SoftPrefix) }

type entry struct {
	Row
	position uint64    // position in this node's log
	origin   uint64    // epoch of the process that sent it; 0 for the store or this node
	storedAt time.Time // zero for rows of other than upward tables
}

// Map is a node's copy of all rows. It is safe for concurrent use.
type Map struct {
	mu       sync.Mutex
	rows     map[rowID]entry     // guarded by mu
	position uint64              // guarded by mu; of the newest change
	cursors  map[string]Revision // guarded by mu; up to which a table is complete
	changed  chan struct{}       // guarded by mu; closed at a change
	onRows   func([]Row)
	// undelivered holds the new rows that were not passed to onRows yet, in order.
	undelivered  []Row // guarded by mu
	isDelivering bool  // guarded by mu; a goroutine passes rows to onRows
	firstTables  map[string]bool
	// recent holds the newest changes in the order of their positions, some of which
	// were replaced by later ones.
	recent []loggedChange // guarded by mu
}

// NewMap returns an empty map. onRows is called with the new rows in the order in which
// they were stored, by one goroutine at a time and without locks held. A call that stores
// rows returns once they were passed on, unless another goroutine is about to do so.
func NewMap(onRows func([]Row)) *Map {
	return &Map{rows: map[rowID]entry{}, cursors: map[string]Revision{}, changed: make(chan struct{}), onRows: onRows, firstTables: map[string]bool{}}
}

// Apply merges rows and keeps those that are newer than the present ones.
func (m *Map) Apply(rows []Row) { m.mergeFrom(0, rows, nil) }

// mergeFrom merges rows that a process sent, with its epoch as their origin, and the
// cursors of a process that has whole tables.
func (m *Map) mergeFrom(origin uint64, rows []Row, cursors map[string]Revision) {
	m.mu.Lock()
	m.apply(origin, rows)
	for table, cursor := range cursors {
		m.advance(table, cursor)
	}
	m.mu.Unlock()
	m.notify()
}

// advance moves a table's cursor forward. The caller holds mu.
func (m *Map) advance(table string, cursor Revision) {
	if m.cursors[table].Before(cursor) {
		m.cursors[table] = cursor
	}
}

// apply stores the rows that are newer than the present ones. The caller holds mu.
func (m *Map) apply(origin uint64, rows []Row) {
	var newer []Row
	for _, r := range rows {
		id, rowOrigin := rowID{r.Table, r.Key}, origin
		old, ok := m.rows[id]
		if ok && old.precedence().compare(r.precedence()) >= 0 {
			continue
		}
		if cursor := m.cursors[r.Table]; (!ok || old.Deleted) && origin != 0 && !r.Deleted && r.Rank == 0 && !cursor.Before(r.Revision()) {
			// The table was complete up to the cursor without the row, so the row is gone and its
			// sender does not know yet.
			r, rowOrigin = tombstone(id, r.Revision(), cursor), 0
		}
		if len(r.Data) >= minPackSize && r.packed == nil {
			r.packed = &packedData{}
		}
		m.position++
		e := entry{Row: r, position: m.position, origin: rowOrigin}
		if id.isUpward() {
			e.storedAt = time.Now()
		}
		m.rows[id] = e
		m.logChange(id)
		newer = append(newer, r)
	}
	if len(newer) > 0 {
		m.undelivered = append(m.undelivered, newer...)
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// tombstone returns the row that replaces one of an older revision in a table that lacks it.
func tombstone(id rowID, old, cursor Revision) Row {
	return Row{Table: id.table, Key: id.key, Era: cursor.Era, Version: cursor.Version, Deleted: true, Lost: old.Era < cursor.Era}
}

// notify passes new rows to onRows. The caller does not hold mu.
func (m *Map) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDelivering {
		return
	}
	m.isDelivering = true
	defer func() { m.isDelivering = false }()
	for len(m.undelivered) > 0 {
		m.deliver()
	}
}

// deliver passes the undelivered rows to onRows. The caller holds mu, which is released
// meanwhile.
func (m *Map) deliver() {
	rows := m.undelivered
	m.undelivered = nil
	m.mu.Unlock()
	defer m.mu.Lock()
	if m.onRows != nil {
		m.onRows(rows)
	}
}

// Replace merges a whole table as of a revision, and marks the rows that the table lacks
// as deleted. A table as of an era that is over is ignored.
func (m *Map) Replace(table string, rows []Row, at Revision) {
	m.mu.Lock()
	if at.Era < m.cursors[table].Era {
		m.mu.Unlock()
		return
	}
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	for id, e := range m.rows {
		if id.table == table && !listed[id.key] && !e.Deleted && e.Revision().Before(at) {
			rows = append(rows, tombstone(id, e.Revision(), at))
		}
	}
	m.apply(0, rows)
	m.advance(table, at)
	m.mu.Unlock()
	m.notify()
}

// Advance merges the rows of a watch that reached a revision. They are ignored if the
// table is of another era: changes say nothing of the rows that were lost.
func (m *Map) Advance(table string, rows []Row, at Revision) {
	m.mu.Lock()
	if at.Era != m.cursors[table].Era {
		m.mu.Unlock()
		return
	}
	m.apply(0, rows)
	m.advance(table, at)
	m.mu.Unlock()
	m.notify()
}

// Cursor returns the revision up to which a table is complete; zero if it was never read.
func (m *Map) Cursor(table string) Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cursors[table]
}

// hasTables reports whether any table of the store is complete.
func (m *Map) hasTables() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.cursors) > 0
}

// Era returns the newest era of the store that is known.
func (m *Map) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := uint64(0)
	for _, cursor := range m.cursors {
		era = max(era, cursor.Era)
	}
	return era
}

// Get returns a row that is not deleted.
func (m *Map) Get(table, key string) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.rows[rowID{table, key}]
	return e.Row, ok && !e.Deleted
}

// Expected returns the revision that a conditional write of a row has to expect.
func (m *Map) Expected(table, key string) Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.rows[rowID{table, key}]
	if !ok || e.Deleted {
		return Revision{Era: m.cursors[table].Era}
	}
	return e.Revision()
}

// List returns the rows of a table that are not deleted, unordered.
func (m *Map) List(table string) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Row
	for id, e := range m.rows {
		if id.table == table && !e.Deleted {
			out = append(out, e.Row)
		}
	}
	return out
}

// change is the part of a map that another node lacks.
type change struct {
	rows     []Row
	position uint64 // position reached in the log
	cursors  map[string]Revision
	changed  <-chan struct{} // closed at the next change
	// isPartial is set if there are further rows beyond position.
	isPartial bool
}

// since returns the rows that changed after a position of this map's log, except those
// that the receiver sent itself, and soft rows of the processes that it receives from.
// Rows of upward tables are left out unless includeUpward is set.
func (m *Map) since(position, receiver uint64, receivesFrom []uint64, includeUpward bool) change {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := change{position: m.position, cursors: m.copyCursors(), changed: m.changed}
	if position >= m.position {
		return c
	}
	var entries []entry
	consider := func(id rowID, e entry) {
		hasRow := e.origin != 0 && (e.origin == receiver || (id.isSoft() && slices.Contains(receivesFrom, e.origin)))
		if e.position > position && !hasRow && (includeUpward || !id.isUpward()) {
			entries = append(entries, e)
		}
	}
	if changes, ok := m.recentSince(position); ok {
		for _, x := range changes {
			if e, ok := m.rows[x.id]; ok && e.position == x.position {
				consider(x.id, e)
			}
		}
	} else {
		for id, e := range m.rows {
			consider(id, e)
		}
	}
	m.cut(&c, entries)
	return c
}

// isCurrent reports whether a process's cursors show that it knows of the last restore, as
// far as this map does: it has a table, and none of an earlier era than this map's.
func (m *Map) isCurrent(cursors map[string]Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for table, cursor := range m.cursors {
		if theirs, ok := cursors[table]; cursor.Era > 0 && len(cursors) == 0 || ok && theirs.Era < cursor.Era {
			return false
		}
	}
	return true
}

// copyCursors copies the cursors. The caller holds mu.
func (m *Map) copyCursors() map[string]Revision { return maps.Clone(m.cursors) }

// Forget drops the rows of a soft table for which keep returns false, without a
// tombstone for other nodes.
func (m *Map) Forget(table string, keep func(Row) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, e := range m.rows {
		if id.table == table && !keep(e.Row) {
			delete(m.rows, id)
		}
	}
}
