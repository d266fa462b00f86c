//go:build review3

package harness3

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

// storeRow is a row as the store's protocol encodes it.
type storeRow struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    string `json:"data,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store, without the object calls.
type store struct {
	address   string
	startedAt time.Time
	mu        sync.Mutex
	rows      map[string]storeRow // guarded by mu; by table, part and key
	version   uint64              // guarded by mu
	changed   chan struct{}       // guarded by mu; closed at a change
	silent    bool                // guarded by mu; calls that arrive get no answer
	onFeed    func(table string)  // guarded by mu; called when a watch arrives
}

func startStore(address string) (*store, error) {
	s := &store{address: address, startedAt: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	table := r.URL.Query().Get("tableName")
	s.mu.Lock()
	isSilent, onFeed := s.silent, s.onFeed
	s.mu.Unlock()
	if isSilent {
		note("store: no answer to %s %s", r.URL.Path, table)
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.serveGet(w, table, r.URL.Query().Get("part"))
	case "/rows-feed":
		if onFeed != nil {
			onFeed(table)
		}
		s.serveFeed(w, r, table)
	case "/rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) nowMS() float64 { return float64(time.Since(s.startedAt).Microseconds()) / 1000 }

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveGet(w http.ResponseWriter, table, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == table && row.Part == part && !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"rows": rows, "truncated": false, "schemaVersion": s.version, "nowMs": s.nowMS()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request, table string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.rows {
			if row.Table == table && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
			reply(w, http.StatusOK, map[string]any{"rows": rows, "schemaVersion": version, "nowMs": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expected, Write, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeRow{}
	holds := true
	for _, e := range body.Expected {
		stored := s.rows[e.id()]
		if stored.Deleted {
			stored.Version = 0
		}
		if stored.Version != e.Version {
			holds = false
		}
		if stored.Version != 0 {
			current = append(current, stored)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "schemaVersion": s.version, "nowMs": s.nowMS()})
		return
	}
	s.version++
	for _, row := range body.Write {
		row.Version, row.Deleted = s.version, false
		s.rows[row.id()] = row
	}
	for _, row := range body.Remove {
		s.rows[row.id()] = storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"schemaVersion": s.version, "nowMs": s.nowMS()})
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores a value as JSON, as the operator or a backend server does, and returns when
// it was stored.
func (s *store) write(table, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := storeRow{Table: table, Key: key, Data: base64.StdEncoding.EncodeToString(raw), Version: s.version}
	s.rows[row.id()] = row
	s.notify()
	return time.Now()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := storeRow{Table: table, Key: key, Version: s.version, Deleted: true}
	s.rows[row.id()] = row
	s.notify()
}

// read returns the data of a row, empty if there is none.
func (s *store) read(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, _ := base64.StdEncoding.DecodeString(s.rows[storeRow{Table: table, Key: key}.id()].Data)
	return string(raw)
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *store) setOnFeed(f func(table string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFeed = f
}
