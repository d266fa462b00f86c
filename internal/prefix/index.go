// Package prefix knows which backend servers have which parts of prompts in
// their cache, from what was sent there. Entries are hashes, so that nodes can
// tell each other many of them.
package prefix

import (
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// life is how long after its last use a part counts as cached: an engine
	// with memory for 300,000 tokens reads 15,000 a second under load.
	life = 20 * time.Second
	// toldAgain is the age from which a use that is known is told once more.
	toldAgain = life / 2
	// entryBytes is the size of an entry on its way.
	entryBytes = 8
)

// Part identifies a part of a prompt for one model.
type Part uint32

// Server identifies one start of a backend server.
type Server uint32

// PartOf returns the identity of a part for a model.
func PartOf(model, id string) Part {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(id)
	return Part(h.Sum64())
}

// ServerOf returns the identity of a start of a server.
func ServerOf(id string, started int64) Server {
	return Server(xxhash.Sum64String(id + "\x00" + strconv.FormatInt(started, 36)))
}

// Entry is that a server has a part.
type Entry struct {
	Part   Part
	Server Server
}

// Index holds the entries that a node knows. It is safe for concurrent use.
type Index struct {
	mu    sync.Mutex
	parts map[Part]map[Server]time.Time // guarded by mu; last uses
	fresh []Entry                       // guarded by mu; not yet taken
}

// New returns an empty index.
func New() *Index { return &Index{parts: map[Part]map[Server]time.Time{}} }

// Use notes that a request of this node has a server read some parts, and
// returns those that the server was not known to have.
func (x *Index) Use(server Server, parts []Part, now time.Time) []Part {
	x.mu.Lock()
	defer x.mu.Unlock()
	var unknown []Part
	for _, p := range parts {
		age := now.Sub(x.parts[p][server])
		if age > toldAgain {
			x.fresh = append(x.fresh, Entry{p, server})
		}
		if age > life {
			unknown = append(unknown, p)
		}
		x.set(p, server, now)
	}
	return unknown
}

// set notes a use. The caller holds mu.
func (x *Index) set(p Part, s Server, now time.Time) {
	if x.parts[p] == nil {
		x.parts[p] = map[Server]time.Time{}
	}
	x.parts[p][s] = now
}

// Drop notes that a server did not read some parts after all.
func (x *Index) Drop(server Server, parts []Part) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range parts {
		delete(x.parts[p], server)
	}
}

// Merge takes what other nodes told.
func (x *Index) Merge(entries []Entry, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range entries {
		x.set(e.Part, e.Server, now)
	}
}

// Take returns the entries of this node that were not yet taken.
func (x *Index) Take() []Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.fresh
	x.fresh = nil
	return out
}

// Cached returns how many of a prompt's parts, counted from its head, each
// server has. Servers that have none are left out.
func (x *Index) Cached(parts []Part, now time.Time) map[Server]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[Server]int{}
	for i, p := range parts {
		for server, used := range x.parts[p] {
			if out[server] == i && now.Sub(used) <= life {
				out[server] = i + 1
			}
		}
	}
	return out
}

// Prune forgets parts that were not used for long.
func (x *Index) Prune(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p, servers := range x.parts {
		for s, used := range servers {
			if now.Sub(used) > life {
				delete(servers, s)
			}
		}
		if len(servers) == 0 {
			delete(x.parts, p)
		}
	}
}

// Encode returns entries as bytes.
func Encode(entries []Entry) []byte {
	out := make([]byte, 0, len(entries)*entryBytes)
	for _, e := range entries {
		out = binary.BigEndian.AppendUint32(out, uint32(e.Part))
		out = binary.BigEndian.AppendUint32(out, uint32(e.Server))
	}
	return out
}

// Decode undoes Encode; a rest that is no whole entry is passed over.
func Decode(raw []byte) []Entry {
	out := make([]Entry, 0, len(raw)/entryBytes)
	for ; len(raw) >= entryBytes; raw = raw[entryBytes:] {
		out = append(out, Entry{Part(binary.BigEndian.Uint32(raw)), Server(binary.BigEndian.Uint32(raw[4:]))})
	}
	return out
}
