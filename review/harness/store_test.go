//go:build review

package harness

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row as the store encodes it.
type storeRow struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    string `json:"data,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store without faults.
type store struct {
	address string
	started time.Time
	mu      sync.Mutex
	rows    map[string]storeRow
	version uint64
	changed chan struct{}
}

func startStore() *store {
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{}), started: time.Now(), version: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) nowMS() int64 { return 1 + time.Since(s.started).Milliseconds() }

// list returns the rows of a table that are newer than a version. The caller holds mu.
func (s *store) list(table string, after uint64, withDeleted bool) []storeRow {
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == table && row.Version > after && (withDeleted || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	rows := slices.DeleteFunc(s.list(q.Get("tableName"), 0, false), func(x storeRow) bool { return x.Key < q.Get("from") })
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	reply(w, map[string]any{"rows": rows, "truncated": false, "schemaVersion": s.version, "nowMs": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		rows, version, changed := s.list(q.Get("tableName"), after, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || isOver {
			slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
			reply(w, map[string]any{"rows": rows, "schemaVersion": version, "nowMs": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expected, Write, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		current := s.rows[e.Table+"/"+e.Key]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, row := range body.Write {
		row.Version = s.version
		s.rows[row.Table+"/"+row.Key] = row
	}
	for _, row := range body.Remove {
		s.rows[row.Table+"/"+row.Key] = storeRow{Table: row.Table, Key: row.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	reply(w, map[string]any{"schemaVersion": s.version, "nowMs": s.nowMS()})
}

// notify wakes the feeds. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores a value as the operator and the backend servers do; the return is the ack.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storeRow{Table: table, Key: key, Data: base64.StdEncoding.EncodeToString(raw), Version: s.version}
	s.notify()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storeRow{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notify()
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
