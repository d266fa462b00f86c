//go:build review2

package standin2

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store, with an empty part.
type row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    string `json:"data,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: rows, conditional transactions and watches.
// It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[[2]string]row
	version uint64
	changed chan struct{}
	started time.Time
	address string
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[[2]string]row{}, changed: make(chan struct{}), started: time.Now(), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Data: base64.StdEncoding.EncodeToString(raw)})
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
}

// set stores a row at the current version. The caller holds mu.
func (s *store) set(r row) {
	r.Version = s.version
	s.rows[[2]string{r.Table, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table after a version, in order of their keys or versions.
func (s *store) list(table string, after uint64, withDeleted bool) []row {
	out := []row{}
	for id, r := range s.rows {
		if id[0] == table && r.Version > after && (withDeleted || !r.Deleted) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if withDeleted {
			return out[i].Version < out[j].Version
		}
		return out[i].Key < out[j].Key
	})
	return out
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := map[string]any{"schemaVersion": version, "nowMs": time.Since(s.started).Milliseconds(), "truncated": false}
	if rows != nil {
		body["rows"] = rows
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for _, x := range s.list(q.Get("tableName"), 0, false) {
		if x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	if rows == nil {
		rows = []row{}
	}
	s.reply(w, http.StatusOK, rows, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, changed := s.list(q.Get("tableName"), after, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.reply(w, http.StatusOK, []row{}, version)
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Write, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, list := range [][]row{t.Write, t.Remove} {
		for _, x := range list {
			if x.Table == "op" || x.Table == "servers" {
				s.mu.Unlock()
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	current, holds := []row{}, true
	for _, x := range t.Expected {
		now := s.rows[[2]string{x.Table, x.Key}]
		if now.Deleted {
			now.Version = 0
		}
		if now.Version != 0 {
			current = append(current, now)
		}
		holds = holds && now.Version == x.Version
	}
	if !holds {
		version := s.version
		s.mu.Unlock()
		s.reply(w, http.StatusPreconditionFailed, current, version)
		return
	}
	s.version++
	for _, x := range t.Write {
		x.Deleted = false
		s.set(x)
	}
	for _, x := range t.Remove {
		if old := s.rows[[2]string{x.Table, x.Key}]; old.Version != 0 && !old.Deleted {
			s.set(row{Table: x.Table, Key: x.Key, Deleted: true})
		}
	}
	version := s.version
	s.mu.Unlock()
	s.reply(w, http.StatusOK, nil, version)
}
