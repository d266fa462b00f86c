// Package news passes rows of the platform's table, and soft state of the
// nodes, from node to node. Each row bears a version; the newest wins, so that
// rows may arrive in any order, from any node, any number of times.
package news

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
	// Deleted rows stay for a while, so that an older copy cannot bring them
	// back.
	Deleted bool
	Data    []byte
	// Packed data is compressed; only rows on their way are.
	Packed bool
}

// ErrHistory is returned by a Store whose history no longer reaches back to
// the version asked for. Read the whole table instead.
var ErrHistory = errors.New("history is gone: read the whole table")

// Store is the platform's table as a reader sees it.
type Store interface {
	// Read returns all rows of a table, and the version they are as of.
	Read(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch returns rows changed after a version as soon as there is one, or
	// none after wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Write stores a row if its version is still the expected one; 0 means
	// that there is none. It returns false if the condition did not hold.
	Write(ctx context.Context, table, key string, expected uint64, data []byte) (bool, error)
	// Remove drops a row whatever its version.
	Remove(ctx context.Context, table, key string) error
	// Clock returns the store's steady clock by its last answer, and whether there
	// was one.
	Clock() (time.Duration, bool)
}

type id struct{ table, key string }

// hash identifies a row in a digest.
func (i id) hash() uint64 { return xxhash.Sum64String(i.table + "\x00" + i.key) }

// Upward begins the names of tables whose rows pass from a node to its hub
// only.
const Upward = "up/"

func (i id) upward() bool { return strings.HasPrefix(i.table, Upward) }

// Soft begins the names of tables whose rows are left to the node that told them
// where the reader hears it itself. They are told often, and may come a little
// late; the others take every way.
const Soft = "soft/"

func (i id) soft() bool { return strings.HasPrefix(i.table, Soft) }

type entry struct {
	Row
	place uint64 // position in the log of this node
	from  uint64 // epoch of the process that told it; 0 for the store or this node
}

// Map is a node's copy of all rows. It is safe for concurrent use.
type Map struct {
	mu      sync.Mutex
	rows    map[id]entry      // guarded by mu
	place   uint64            // guarded by mu; of the newest change
	cursors map[string]uint64 // guarded by mu; version up to which a table is known
	changed chan struct{}     // guarded by mu; closed at a change
	onRows  func([]Row)
}

// NewMap returns an empty map. onRows is called with each batch of rows that
// were new, outside of locks.
func NewMap(onRows func([]Row)) *Map {
	return &Map{rows: map[id]entry{}, cursors: map[string]uint64{}, changed: make(chan struct{}), onRows: onRows}
}

// Apply takes rows and keeps those that are newer than what is known.
func (m *Map) Apply(rows []Row) { m.mergeFrom(0, rows, nil) }

// mergeFrom takes rows that a process told, by its epoch, and the cursors of one
// that holds its tables as a whole.
func (m *Map) mergeFrom(from uint64, rows []Row, cursors map[string]uint64) {
	m.mu.Lock()
	fresh := m.apply(from, rows)
	for table, version := range cursors {
		m.cursors[table] = max(m.cursors[table], version)
	}
	m.mu.Unlock()
	m.tell(fresh)
}

// apply keeps newer rows and returns them. The caller holds mu.
func (m *Map) apply(from uint64, rows []Row) []Row {
	var fresh []Row
	for _, r := range rows {
		at, teller := id{r.Table, r.Key}, from
		old, ok := m.rows[at]
		if ok && old.Version >= r.Version {
			continue
		}
		if known := m.cursors[r.Table]; !ok && from != 0 && !r.Deleted && r.Version <= known {
			// The table was known up to here without the row: it is gone, and
			// its teller has not heard.
			r, teller = Row{Table: r.Table, Key: r.Key, Version: known, Deleted: true}, 0
		}
		m.place++
		m.rows[at] = entry{r, m.place, teller}
		fresh = append(fresh, r)
	}
	if len(fresh) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return fresh
}

func (m *Map) tell(fresh []Row) {
	if len(fresh) > 0 && m.onRows != nil {
		m.onRows(fresh)
	}
}

// Replace takes a whole table as of a version: rows that it lacks were
// deleted.
func (m *Map) Replace(table string, rows []Row, version uint64) {
	m.mu.Lock()
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	for at, e := range m.rows {
		if at.table == table && !listed[at.key] && !e.Deleted && e.Version < version {
			rows = append(rows, Row{Table: table, Key: at.key, Version: version, Deleted: true})
		}
	}
	fresh := m.apply(0, rows)
	m.cursors[table] = max(m.cursors[table], version)
	m.mu.Unlock()
	m.tell(fresh)
}

// Advance takes the rows of a watch that reached version.
func (m *Map) Advance(table string, rows []Row, version uint64) {
	m.mu.Lock()
	fresh := m.apply(0, rows)
	m.cursors[table] = max(m.cursors[table], version)
	m.mu.Unlock()
	m.tell(fresh)
}

// Cursor returns the version up to which a table is known; 0 if it is not.
func (m *Map) Cursor(table string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cursors[table]
}

// Get returns a row that is not deleted.
func (m *Map) Get(table, key string) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.rows[id{table, key}]
	return e.Row, ok && !e.Deleted
}

// List returns the rows of a table that are not deleted, in no order.
func (m *Map) List(table string) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Row
	for at, e := range m.rows {
		if at.table == table && !e.Deleted {
			out = append(out, e.Row)
		}
	}
	return out
}

// change is what a map has for another node.
type change struct {
	rows    []Row
	place   uint64 // reached in the log
	cursors map[string]uint64
	next    <-chan struct{} // closed at the next change
}

// since returns what changed after a place of this map's log, but for what the
// reader told itself, and soft rows of the processes that it hears. Rows of
// upward tables are left out unless up is set.
func (m *Map) since(place, reader uint64, hears []uint64, up bool) change {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := change{place: m.place, cursors: m.cursorsNow(), next: m.changed}
	if place >= m.place {
		return c
	}
	for at, e := range m.rows {
		isKnown := e.from != 0 && (e.from == reader || (at.soft() && slices.Contains(hears, e.from)))
		if e.place > place && !isKnown && (up || !at.upward()) {
			c.rows = append(c.rows, e.Row)
		}
	}
	return c
}

// cursorsNow copies the cursors. The caller holds mu.
func (m *Map) cursorsNow() map[string]uint64 {
	out := make(map[string]uint64, len(m.cursors))
	for table, version := range m.cursors {
		out[table] = version
	}
	return out
}

// digest returns the versions of all rows by their hash, and the place that
// they are as of.
func (m *Map) digest() (map[uint64]uint64, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[uint64]uint64, len(m.rows))
	for at, e := range m.rows {
		if !at.upward() {
			out[at.hash()] = e.Version
		}
	}
	return out, m.place
}

// compare returns what this map has beyond a digest, and the hashes of the
// rows of which the digest has a newer version.
func (m *Map) compare(digest map[uint64]uint64) (change, []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := change{place: m.place, cursors: m.cursorsNow(), next: m.changed}
	left := make(map[uint64]bool, len(digest))
	for hash := range digest {
		left[hash] = true
	}
	var want []uint64
	for at, e := range m.rows {
		if at.upward() {
			continue
		}
		hash := at.hash()
		theirs, known := digest[hash]
		delete(left, hash)
		switch {
		case !known || e.Version > theirs:
			c.rows = append(c.rows, e.Row)
		case e.Version < theirs:
			want = append(want, hash)
		}
	}
	for hash := range left {
		want = append(want, hash)
	}
	return c, want
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
	for at, e := range m.rows {
		if wanted[at.hash()] {
			out = append(out, e.Row)
		}
	}
	return out
}

// Forget drops the rows of a soft table that were not renewed since a version,
// without telling others.
func (m *Map) Forget(table string, keep func(Row) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for at, e := range m.rows {
		if at.table == table && !keep(e.Row) {
			delete(m.rows, at)
		}
	}
}
