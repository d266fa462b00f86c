// Package gossip replicates rows of the platform's store, and soft state of the nodes,
// from node to node. Each row has a version and the newest wins, so rows may arrive in
// any order, from any node, any number of times.
package gossip

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Row is one value under a table and key.
type Row struct {
	Table   string
	Key     string
	Version uint64
	// Deleted rows are kept as tombstones for a while, so that an older copy cannot revive
	// them.
	Deleted bool
	Data    []byte
	// Packed data is compressed. Only rows in transit are packed.
	Packed bool
}

// ErrHistoryGone is returned by a Store whose history no longer reaches back to the
// requested version. Read the whole table instead.
var ErrHistoryGone = errors.New("history is gone: read the whole table")

// Store is a reader's view of the platform's store.
type Store interface {
	// Read returns all rows of a table, and the version they are as of.
	Read(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch returns the rows changed after a version as soon as there is one, or none
	// after wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Write stores a row if its version is still the expected one; 0 expects no row. It
	// returns false if the condition did not hold.
	Write(ctx context.Context, table, key string, expected uint64, data []byte) (bool, error)
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
	position uint64 // position in this node's log
	origin   uint64 // epoch of the process that sent it; 0 for the store or this node
}

// Map is a node's copy of all rows. It is safe for concurrent use.
type Map struct {
	mu       sync.Mutex
	rows     map[rowID]entry   // guarded by mu
	position uint64            // guarded by mu; of the newest change
	cursors  map[string]uint64 // guarded by mu; version up to which a table is complete
	changed  chan struct{}     // guarded by mu; closed at a change
	onRows   func([]Row)
	// undelivered holds the new rows that were not passed to onRows yet, in order.
	undelivered  []Row // guarded by mu
	isDelivering bool  // guarded by mu; a goroutine passes rows to onRows
}

// NewMap returns an empty map. onRows is called with the new rows in the order in which
// they were stored, by one goroutine at a time and without locks held. A call that stores
// rows returns once they were passed on, unless another goroutine is about to do so.
func NewMap(onRows func([]Row)) *Map {
	return &Map{rows: map[rowID]entry{}, cursors: map[string]uint64{}, changed: make(chan struct{}), onRows: onRows}
}

// Apply merges rows and keeps those that are newer than the present ones.
func (m *Map) Apply(rows []Row) { m.mergeFrom(0, rows, nil) }

// mergeFrom merges rows that a process sent, with its epoch as their origin, and the
// cursors of a process that has whole tables.
func (m *Map) mergeFrom(origin uint64, rows []Row, cursors map[string]uint64) {
	m.mu.Lock()
	m.apply(origin, rows)
	for table, version := range cursors {
		m.cursors[table] = max(m.cursors[table], version)
	}
	m.mu.Unlock()
	m.notify()
}

// apply stores the rows that are newer than the present ones. The caller holds mu.
func (m *Map) apply(origin uint64, rows []Row) {
	var newer []Row
	for _, r := range rows {
		id, rowOrigin := rowID{r.Table, r.Key}, origin
		old, ok := m.rows[id]
		if ok && old.Version >= r.Version {
			continue
		}
		if cursor := m.cursors[r.Table]; (!ok || old.Deleted) && origin != 0 && !r.Deleted && r.Version <= cursor {
			// The table was complete up to the cursor without the row, so the row was deleted and
			// its sender does not know yet.
			r, rowOrigin = Row{Table: r.Table, Key: r.Key, Version: cursor, Deleted: true}, 0
		}
		m.position++
		m.rows[id] = entry{r, m.position, rowOrigin}
		newer = append(newer, r)
	}
	if len(newer) > 0 {
		m.undelivered = append(m.undelivered, newer...)
		close(m.changed)
		m.changed = make(chan struct{})
	}
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

// Replace merges a whole table as of a version, and marks the rows that the table lacks
// as deleted.
func (m *Map) Replace(table string, rows []Row, version uint64) {
	m.mu.Lock()
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	for id, e := range m.rows {
		if id.table == table && !listed[id.key] && !e.Deleted && e.Version < version {
			rows = append(rows, Row{Table: table, Key: id.key, Version: version, Deleted: true})
		}
	}
	m.apply(0, rows)
	m.cursors[table] = max(m.cursors[table], version)
	m.mu.Unlock()
	m.notify()
}

// Advance merges the rows of a watch that reached version.
func (m *Map) Advance(table string, rows []Row, version uint64) {
	m.mu.Lock()
	m.apply(0, rows)
	m.cursors[table] = max(m.cursors[table], version)
	m.mu.Unlock()
	m.notify()
}

// Cursor returns the version up to which a table is complete; 0 if it was never read.
func (m *Map) Cursor(table string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cursors[table]
}

// Get returns a row that is not deleted.
func (m *Map) Get(table, key string) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.rows[rowID{table, key}]
	return e.Row, ok && !e.Deleted
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
	cursors  map[string]uint64
	changed  <-chan struct{} // closed at the next change
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
	for id, e := range m.rows {
		hasRow := e.origin != 0 && (e.origin == receiver || (id.isSoft() && slices.Contains(receivesFrom, e.origin)))
		if e.position > position && !hasRow && (includeUpward || !id.isUpward()) {
			c.rows = append(c.rows, e.Row)
		}
	}
	return c
}

// copyCursors copies the cursors. The caller holds mu.
func (m *Map) copyCursors() map[string]uint64 {
	out := make(map[string]uint64, len(m.cursors))
	for table, version := range m.cursors {
		out[table] = version
	}
	return out
}

// digest returns the versions of all rows by their hash, and the log position that
// they are as of.
func (m *Map) digest() (map[uint64]uint64, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[uint64]uint64, len(m.rows))
	for id, e := range m.rows {
		if !id.isUpward() {
			out[id.hash()] = e.Version
		}
	}
	return out, m.position
}

// compare returns the rows that this map has beyond a digest, and the hashes of the
// rows of which the digest has a newer version.
func (m *Map) compare(digest map[uint64]uint64) (change, []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := change{position: m.position, cursors: m.copyCursors(), changed: m.changed}
	missing := make(map[uint64]bool, len(digest))
	for hash := range digest {
		missing[hash] = true
	}
	var wanted []uint64
	for id, e := range m.rows {
		if id.isUpward() {
			continue
		}
		hash := id.hash()
		theirs, isListed := digest[hash]
		delete(missing, hash)
		switch {
		case !isListed || e.Version > theirs:
			c.rows = append(c.rows, e.Row)
		case e.Version < theirs:
			wanted = append(wanted, hash)
		}
	}
	for hash := range missing {
		wanted = append(wanted, hash)
	}
	return c, wanted
}

// pick returns the rows with the given hashes.
func (m *Map) pick(hashes []uint64) []Row {
	if len(hashes) == 0 {
		return nil
	}
	wanted := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		wanted[h] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Row
	for id, e := range m.rows {
		if wanted[id.hash()] {
			out = append(out, e.Row)
		}
	}
	return out
}

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
