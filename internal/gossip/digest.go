package gossip

import "time"

// maxUpwardAge is how old an upward row may be that is sent with a digest. It is the time
// after which a node without heartbeats counts as lost: a new hub must not count it again.
const maxUpwardAge = 2 * time.Second

// Digest summarises the rows of a map by the hashes of their tables and keys.
type Digest struct {
	Versions map[uint64]uint64
	// Eras and Ranks hold those that are not 0: rows outside the store have none.
	Eras  map[uint64]uint64
	Ranks map[uint64]uint64
}

func (d Digest) precedenceOf(hash uint64) precedence {
	return precedence{d.Ranks[hash], Revision{d.Eras[hash], d.Versions[hash]}}
}

// digest returns the precedence of all rows by their hash, and the log position that
// they are as of.
func (m *Map) digest() (Digest, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Digest{make(map[uint64]uint64, len(m.rows)), map[uint64]uint64{}, map[uint64]uint64{}}
	for id, e := range m.rows {
		if id.isUpward() {
			continue
		}
		hash := id.hash()
		d.Versions[hash] = e.Version
		if e.Era != 0 {
			d.Eras[hash] = e.Era
		}
		if e.Rank != 0 {
			d.Ranks[hash] = e.Rank
		}
	}
	return d, m.position
}

// compare returns the rows that this map has beyond a digest, and the hashes of the
// rows of which the digest has a newer copy.
func (m *Map) compare(d Digest) (change, []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := change{position: m.position, cursors: m.copyCursors(), changed: m.changed}
	missing := make(map[uint64]bool, len(d.Versions))
	for hash := range d.Versions {
		missing[hash] = true
	}
	var wanted []uint64
	var entries []entry
	for id, e := range m.rows {
		if id.isUpward() {
			continue
		}
		hash := id.hash()
		isListed := missing[hash]
		delete(missing, hash)
		order := e.precedence().compare(d.precedenceOf(hash))
		switch {
		case !isListed || order > 0:
			entries = append(entries, e)
		case order < 0:
			wanted = append(wanted, hash)
		}
	}
	for hash := range missing {
		wanted = append(wanted, hash)
	}
	m.cut(&c, entries)
	return c, wanted
}

// recentUpward returns the rows of upward tables that are not older than maxUpwardAge, except
// those that the receiver sent.
func (m *Map) recentUpward(receiver uint64, now time.Time) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Row
	for id, e := range m.rows {
		if id.isUpward() && (e.origin == 0 || e.origin != receiver) && now.Sub(e.storedAt) <= maxUpwardAge {
			out = append(out, e.Row)
		}
	}
	return out
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
