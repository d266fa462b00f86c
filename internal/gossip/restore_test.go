package gossip

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// simStore is a store that is restored from copies of itself.
type simStore struct {
	era, version uint64
	rows         map[string]Row
	copies       []map[string]Row
	versions     []uint64
}

func (s *simStore) write(r Row) {
	s.version++
	r.Table, r.Era, r.Version = "t", s.era, s.version
	s.rows[r.Key] = r
	s.keepCopy()
}

func (s *simStore) remove(key string) {
	s.version++
	delete(s.rows, key)
	s.keepCopy()
}

func (s *simStore) keepCopy() {
	s.copies, s.versions = append(s.copies, maps.Clone(s.rows)), append(s.versions, s.version)
}

// restore brings back a copy.
func (s *simStore) restore(i int) {
	s.era++
	s.rows, s.version = maps.Clone(s.copies[i]), s.versions[i]
	s.copies, s.versions = s.copies[:i+1], s.versions[:i+1]
}

// read returns the whole table as a node reads it.
func (s *simStore) read() ([]Row, Revision) {
	var rows []Row
	for _, r := range s.rows {
		r.Era = s.era
		rows = append(rows, r)
	}
	return rows, Revision{s.era, s.version}
}

// Guards against nodes that fall back to an older configuration, keep removed rows or miss
// new ones after the store was restored from copies: nodes read at any time, answers
// arrive late, nodes exchange in any order and restart.
func TestRestoredStoreIsFollowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type answer struct {
			rows []Row
			at   Revision
		}
		s := &simStore{era: 1, rows: map[string]Row{}}
		config := uint64(1)
		s.write(Row{Key: "config", Rank: config})
		var late []answer
		nodes := []*Map{NewMap(nil), NewMap(nil), NewMap(nil)}
		newest := make([]uint64, len(nodes))
		exchange := func(a, b *Map) {
			d, _ := a.digest()
			c, wanted := b.compare(d)
			a.mergeFrom(2, c.rows, c.cursors)
			b.mergeFrom(1, a.pick(wanted), nil)
		}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				config++
				s.write(Row{Key: "config", Rank: config})
			case 1:
				s.write(Row{Key: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key")})
			case 2:
				s.remove(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"))
			case 3:
				s.restore(rapid.IntRange(0, len(s.copies)-1).Draw(rt, "copy"))
			case 4:
				nodes[i].Replace("t", first(s.read()), second(s.read()))
			case 5:
				rows, at := s.read()
				late = append(late, answer{rows, at})
			case 6:
				if len(late) > 0 {
					nodes[i].Replace("t", slices.Clone(late[0].rows), late[0].at)
					late = late[1:]
				}
			case 7:
				if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
					nodes[i], newest[i] = NewMap(nil), 0
				} else {
					exchange(nodes[i], nodes[(i+1)%len(nodes)])
				}
			}
			for k, m := range nodes {
				r, _ := m.Get("t", "config")
				if r.Rank < newest[k] {
					rt.Fatalf("node %d went back from configuration %d to %d", k, newest[k], r.Rank)
				}
				newest[k] = r.Rank
			}
		}
		// The operator writes again what was lost; one node reads, the others hear of it.
		s.write(Row{Key: "config", Rank: config})
		nodes[0].Replace("t", first(s.read()), second(s.read()))
		for range 2 {
			for i := range nodes {
				exchange(nodes[i], nodes[(i+1)%len(nodes)])
			}
		}
		want := fmt.Sprint(slices.Sorted(maps.Keys(s.rows)))
		for k, m := range nodes {
			var keys []string
			for _, r := range m.List("t") {
				keys = append(keys, r.Key)
			}
			slices.Sort(keys)
			if r, _ := m.Get("t", "config"); r.Rank != config || fmt.Sprint(keys) != want {
				rt.Fatalf("node %d has configuration %d and %v, the store %d and %s", k, r.Rank, keys, config, want)
			}
			if m.Cursor("t") != (Revision{s.era, s.version}) {
				rt.Fatalf("node %d is at %v", k, m.Cursor("t"))
			}
		}
	})
}

func first(rows []Row, _ Revision) []Row   { return rows }
func second(_ []Row, at Revision) Revision { return at }

// A row that nobody removed, but that the restored store lacks, is told from a removed one.
func TestLostRowsAreToldFromRemovedOnes(t *testing.T) {
	is := is.New(t)
	var seen []Row
	m := NewMap(func(rows []Row) { seen = append(seen, rows...) })
	m.Replace("t", []Row{{Table: "t", Key: "a", Era: 1, Version: 3}, {Table: "t", Key: "b", Era: 1, Version: 4}}, Revision{1, 4})
	m.Replace("t", []Row{{Table: "t", Key: "b", Era: 1, Version: 4}}, Revision{1, 5})
	is.Equal(seen[len(seen)-1], Row{Table: "t", Key: "a", Era: 1, Version: 5, Deleted: true})
	m.Replace("t", nil, Revision{2, 2})
	is.Equal(seen[len(seen)-1], Row{Table: "t", Key: "b", Era: 2, Version: 2, Deleted: true, Lost: true})
	is.Equal(m.Expected("t", "b"), Revision{2, 0})
	m.Advance("t", []Row{{Table: "t", Key: "c", Era: 1, Version: 9}}, Revision{1, 9})
	_, ok := m.Get("t", "c")
	is.True(!ok) // the watch began before the restore
	m.Replace("t", []Row{{Table: "t", Key: "d", Era: 1, Version: 9}}, Revision{1, 9})
	_, ok = m.Get("t", "d")
	is.True(!ok) // so did the read
}

// A node whose state is from before the restore, or whose release knows no eras, must not
// make others believe that theirs is current, or none of them reads the store.
func TestStateOfAnEarlierEraIsNotCurrent(t *testing.T) {
	is := is.New(t)
	observed := 0
	m := NewMap(nil)
	e := NewExchange(1, m, func() time.Duration { return 0 }, func(time.Duration) { observed++ })
	m.Replace("t", nil, Revision{2, 4})
	e.merge(7, nil, decodeCursors(map[string]uint64{"t": 9}, nil), 0)
	is.Equal(observed, 0)
	e.merge(7, nil, nil, 0) // a question with a digest has no cursors
	is.Equal(observed, 0)
	e.merge(7, nil, decodeCursors(map[string]uint64{"t": 4}, map[string]uint64{"t": 2}), 0)
	is.Equal(observed, 1)
}
