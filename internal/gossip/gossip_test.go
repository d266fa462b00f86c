package gossip

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func row(key string, version uint64) Row {
	return Row{Table: "t", Key: key, Version: version, Data: []byte{byte(version)}}
}

// at returns a revision of a store that was never restored.
func at(version uint64) Revision { return Revision{Version: version} }

// Rows may arrive in any order and any number of times. The newest of each key must
// win, tombstones included.
func TestNewestRowWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewMap(nil)
		newest := map[string]Row{}
		for range rapid.IntRange(1, 60).Draw(rt, "rows") {
			r := row(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"), uint64(rapid.IntRange(1, 20).Draw(rt, "version")))
			r.Deleted = r.Version%5 == 0
			m.Apply([]Row{r})
			if r.Version > newest[r.Key].Version {
				newest[r.Key] = r
			}
		}
		for key, want := range newest {
			got, ok := m.Get("t", key)
			if ok == want.Deleted || got.Version != want.Version {
				rt.Fatalf("%s: have version %d, there %v, want %d, deleted %v", key, got.Version, ok, want.Version, want.Deleted)
			}
		}
	})
}

// A read of the whole table must delete the rows that it lacks, but none that is newer
// than the read.
func TestReplaceDeletesMissingRows(t *testing.T) {
	is := is.New(t)
	m := NewMap(nil)
	m.Apply([]Row{row("old", 3), row("newer", 12)})
	m.Replace("t", []Row{row("there", 9)}, at(10))
	_, ok := m.Get("t", "old")
	is.True(!ok)
	_, ok = m.Get("t", "newer")
	is.True(ok)
	is.Equal(m.Cursor("t"), at(10))
	m.Apply([]Row{row("old", 3)})
	_, ok = m.Get("t", "old")
	is.True(!ok) // a late copy does not revive it
}

// node is an exchange that listens on loopback.
type node struct {
	rows     *Map
	exchange *Exchange
	address  string
}

func newNode(t *testing.T, epoch uint64) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	n := &node{rows: NewMap(nil), address: l.Addr().String()}
	n.exchange = NewExchange(epoch, n.rows, func() time.Duration { return 0 }, func(time.Duration) {})
	go func() { _ = n.exchange.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return n
}

// The first question on a connection must bring both sides to the same rows. The next
// ones carry only changes, both ways.
func TestExchangeSyncsBothSides(t *testing.T) {
	is := is.New(t)
	a, b := newNode(t, 1), newNode(t, 2)
	a.rows.Apply([]Row{row("x", 5), row("mine", 1)})
	b.rows.Apply([]Row{row("x", 7), row("theirs", 1)})
	p := NewPeer(b.address)
	is.NoErr(a.exchange.Ask(t.Context(), p))
	got, _ := a.rows.Get("t", "x")
	is.Equal(got.Version, uint64(7))
	_, ok := a.rows.Get("t", "theirs")
	is.True(ok)
	is.NoErr(a.exchange.Ask(t.Context(), p)) // sends what the answer asked for
	_, ok = b.rows.Get("t", "mine")
	is.True(ok)
	b.rows.Apply([]Row{row("x", 9)})
	is.NoErr(a.exchange.Ask(t.Context(), p))
	got, _ = a.rows.Get("t", "x")
	is.Equal(got.Version, uint64(9))
}

// Rows of upward tables must reach the hub and go no further.
func TestUpwardRowsStayAtTheHub(t *testing.T) {
	is := is.New(t)
	member, hub, other := newNode(t, 1), newNode(t, 2), newNode(t, 3)
	member.rows.Apply([]Row{{Table: UpwardPrefix + "x", Key: "k", Version: 1}})
	up := NewPeer(hub.address)
	up.IsHub = true
	is.NoErr(member.exchange.Ask(t.Context(), up))
	member.rows.Apply([]Row{{Table: UpwardPrefix + "x", Key: "k", Version: 2}})
	is.NoErr(member.exchange.Ask(t.Context(), up))
	_, ok := hub.rows.Get(UpwardPrefix+"x", "k")
	is.True(ok)
	is.NoErr(other.exchange.Ask(t.Context(), NewPeer(hub.address)))
	_, ok = other.rows.Get(UpwardPrefix+"x", "k")
	is.True(!ok)
}

// Guards against nodes that count as lost while they, or the relay node that passes on their
// heartbeats, compare digests, and against nodes that were lost before a new hub began.
func TestDigestsCarryRecentUpwardRows(t *testing.T) {
	is := is.New(t)
	member, hub := newNode(t, 1), newNode(t, 2)
	member.rows.Apply([]Row{{Table: UpwardPrefix + "x", Key: "lost", Version: 1}})
	id := rowID{UpwardPrefix + "x", "lost"}
	lost := member.rows.rows[id]
	lost.storedAt = time.Now().Add(-2 * maxUpwardAge)
	member.rows.rows[id] = lost
	up := NewPeer(hub.address)
	up.IsHub = true
	for version := range uint64(3) {
		member.rows.Apply([]Row{{Table: UpwardPrefix + "x", Key: "k", Version: version + 1}})
		up.needsDigest = true
		is.NoErr(member.exchange.Ask(t.Context(), up))
		got, _ := hub.rows.Get(UpwardPrefix+"x", "k")
		is.Equal(got.Version, version+1)
	}
	_, ok := hub.rows.Get(UpwardPrefix+"x", "lost")
	is.True(!ok)
}

// A large row must travel compressed and arrive unchanged.
func TestLargeRowsArePacked(t *testing.T) {
	is := is.New(t)
	data := make([]byte, 100<<10)
	packed := pack([]Row{{Table: "t", Key: "k", Version: 1, Data: data}})
	is.True(packed[0].Packed)
	is.True(len(packed[0].Data) < len(data)/6)
	rows, err := unpack(packed)
	is.NoErr(err)
	is.Equal(rows[0].Data, data)
	_, err = unpack([]Row{{Packed: true, Data: []byte("nonsense")}})
	is.True(err != nil)
	tooLong, err := deflate(make([]byte, maxUnpackedSize+1))
	is.NoErr(err)
	_, err = inflate(tooLong)
	is.True(err != nil) // it is not cut off
}

// Guards against rows that are skipped for good since the position moved past an answer that
// could not be read.
func TestUnreadableAnswerIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	hub, n := newNode(t, 1), newNode(t, 2)
	p := NewPeer(hub.address)
	is.NoErr(n.exchange.Ask(t.Context(), p))
	hub.rows.Apply([]Row{{Table: "t", Key: "k", Version: 1, Data: []byte("nonsense"), Packed: true}})
	position := p.position
	is.True(n.exchange.Ask(t.Context(), p) != nil)
	is.Equal(p.position, position)
	is.Equal(p.client, nil)
	hub.rows.Apply([]Row{row("k", 2)})
	is.NoErr(n.exchange.Ask(t.Context(), p))
	_, ok := n.rows.Get("t", "k")
	is.True(ok)
}

// A process that has read a whole table knows which rows were deleted, though it never
// saw them. A process that was partitioned or frozen meanwhile must not revive a
// removed server or a withdrawn key, and must learn that they are gone.
func TestDeletedRowsAreNotRevived(t *testing.T) {
	for _, asks := range []string{"stale", "restarted"} {
		t.Run(asks+" asks", func(t *testing.T) {
			is := is.New(t)
			stale, restarted := newNode(t, 1), newNode(t, 2)
			stale.rows.Replace("t", []Row{row("gone", 3), row("kept", 4), row("changed", 5)}, at(6))
			restarted.rows.Replace("t", []Row{row("kept", 4), row("changed", 9)}, at(10))
			from, to := stale, restarted
			if asks == "restarted" {
				from, to = restarted, stale
			}
			p := NewPeer(to.address)
			defer p.Close()
			for range 4 {
				is.NoErr(from.exchange.Ask(t.Context(), p))
				_, ok := restarted.rows.Get("t", "gone")
				is.True(!ok)
			}
			for _, n := range []*node{stale, restarted} {
				_, ok := n.rows.Get("t", "gone")
				is.True(!ok)
				_, ok = n.rows.Get("t", "kept")
				is.True(ok)
				r, _ := n.rows.Get("t", "changed")
				is.Equal(r.Version, uint64(9))
				is.Equal(n.rows.Cursor("t"), at(10))
			}
		})
	}
}

// A row that is created again after its deletion has a newer version, and must be
// accepted.
func TestRecreatedRowIsAccepted(t *testing.T) {
	is := is.New(t)
	m := NewMap(nil)
	m.Replace("t", nil, at(10))
	m.mergeFrom(7, []Row{row("a", 3)}, nil)
	_, ok := m.Get("t", "a")
	is.True(!ok)
	m.mergeFrom(7, []Row{row("a", 11)}, nil)
	_, ok = m.Get("t", "a")
	is.True(ok)
	m.mergeFrom(7, []Row{{Table: SoftPrefix + "x", Key: "a", Version: 1}}, nil)
	_, ok = m.Get(SoftPrefix+"x", "a")
	is.True(ok) // tables that are never read whole have no such bound
}

// A row that was removed, created again and removed again must not be revived by a process
// that missed the last removal.
func TestRowRemovedTwiceIsNotRevived(t *testing.T) {
	is := is.New(t)
	m := NewMap(nil)
	m.Replace("t", []Row{row("a", 3)}, at(5))
	m.Replace("t", nil, at(10))
	m.Replace("t", nil, at(20)) // created at 12 and removed at 15
	m.mergeFrom(7, []Row{row("a", 12)}, nil)
	_, ok := m.Get("t", "a")
	is.True(!ok)
}

// New rows reach their user one after the other and in the order in which they were stored,
// also if it stores rows itself.
func TestRowsAreDeliveredInOrder(t *testing.T) {
	is := is.New(t)
	var m *Map
	var seen []uint64
	m = NewMap(func(rows []Row) {
		for _, r := range rows {
			seen = append(seen, r.Version)
			if r.Version < 5 {
				m.Apply([]Row{row("a", r.Version+1)})
			}
		}
	})
	m.Apply([]Row{row("a", 1)})
	is.Equal(seen, []uint64{1, 2, 3, 4, 5})
	var senders sync.WaitGroup
	seen = nil
	for i := range 50 {
		senders.Go(func() { m.Apply([]Row{row("a", uint64(10+i))}) })
	}
	senders.Wait()
	m.Apply([]Row{row("a", 100)})
	is.True(slices.IsSorted(seen))
	is.Equal(seen[len(seen)-1], uint64(100))
}
