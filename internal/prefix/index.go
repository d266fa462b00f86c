// Package prefix is an index of the prompt parts that backend servers have in
// their prefix caches, derived from the requests sent to them. Entries hold
// hashes, so that nodes can exchange many of them.
package prefix

import (
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// entryTTL is how long after its last use a part counts as cached. An
	// engine with memory for 300,000 tokens reads 15,000 tokens a second under
	// load, so its memory turns over in 20 seconds.
	entryTTL = 20 * time.Second
	// republishAge is the age from which a repeated use of a part is published
	// again.
	republishAge = entryTTL / 2
	// EntryBytes is the encoded size of an entry.
	EntryBytes = 8
)

// Part is the hash of a part of a prompt for one model.
type Part uint32

// Server is the hash of one incarnation of a backend server.
type Server uint32

// HashPart returns the hash of a part for a model.
func HashPart(model, id string) Part {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(id)
	return Part(h.Sum64())
}

// HashServer returns the hash of an incarnation of a server.
func HashServer(id string, started int64) Server {
	return Server(xxhash.Sum64String(id + "\x00" + strconv.FormatInt(started, 36)))
}

// Entry states that a server has a part cached.
type Entry struct {
	Part   Part
	Server Server
}

// Index holds the entries of this node and those received from others. It is
// safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	parts   map[Part]map[Server]time.Time // guarded by mu; last uses
	pending []Entry                       // guarded by mu; not yet published
}

// New returns an empty index.
func New() *Index { return &Index{parts: map[Part]map[Server]time.Time{}} }

// RecordUse records that a request of this node makes a server read some parts.
// It returns the parts that were not known to be cached there.
func (x *Index) RecordUse(server Server, parts []Part, now time.Time) []Part {
	x.mu.Lock()
	defer x.mu.Unlock()
	var added []Part
	for _, p := range parts {
		age := now.Sub(x.parts[p][server])
		if age > republishAge {
			x.pending = append(x.pending, Entry{p, server})
		}
		if age > entryTTL {
			added = append(added, p)
		}
		x.setUsed(p, server, now)
	}
	return added
}

// setUsed records a use. The caller holds mu.
func (x *Index) setUsed(p Part, s Server, now time.Time) {
	if x.parts[p] == nil {
		x.parts[p] = map[Server]time.Time{}
	}
	x.parts[p][s] = now
}

// Remove removes parts that a server did not read after all.
func (x *Index) Remove(server Server, parts []Part) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range parts {
		delete(x.parts[p], server)
	}
}

// Merge adds entries received from other nodes.
func (x *Index) Merge(entries []Entry, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range entries {
		x.setUsed(e.Part, e.Server, now)
	}
}

// ConsumePending returns the entries of this node that were not yet published and clears
// them.
func (x *Index) ConsumePending() []Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.pending
	x.pending = nil
	return out
}

// Cached returns how many leading parts of a prompt each server has cached.
// Servers that have none are left out.
func (x *Index) Cached(parts []Part, now time.Time) map[Server]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[Server]int{}
	for i, p := range parts {
		for server, used := range x.parts[p] {
			if out[server] == i && now.Sub(used) <= entryTTL {
				out[server] = i + 1
			}
		}
	}
	return out
}

// Prune removes expired entries.
func (x *Index) Prune(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p, servers := range x.parts {
		for s, used := range servers {
			if now.Sub(used) > entryTTL {
				delete(servers, s)
			}
		}
		if len(servers) == 0 {
			delete(x.parts, p)
		}
	}
}

// Encode returns the binary form of entries.
func Encode(entries []Entry) []byte {
	out := make([]byte, 0, len(entries)*EntryBytes)
	for _, e := range entries {
		out = binary.BigEndian.AppendUint32(out, uint32(e.Part))
		out = binary.BigEndian.AppendUint32(out, uint32(e.Server))
	}
	return out
}

// Decode reverses Encode. Trailing bytes that form no whole entry are ignored.
func Decode(raw []byte) []Entry {
	out := make([]Entry, 0, len(raw)/EntryBytes)
	for ; len(raw) >= EntryBytes; raw = raw[EntryBytes:] {
		out = append(out, Entry{Part(binary.BigEndian.Uint32(raw)), Server(binary.BigEndian.Uint32(raw[4:]))})
	}
	return out
}
