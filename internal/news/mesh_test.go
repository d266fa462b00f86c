package news

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// mesh connects three nodes, each asking those after it, as hubs of data centres
// do, and counts the rows that travel.
func mesh(t *testing.T) (nodes [3]*node, ask func(from, to int) int) {
	t.Helper()
	peers := map[[2]int]*Peer{}
	for i := range nodes {
		nodes[i] = newNode(t, uint64(i+1))
	}
	return nodes, func(from, to int) int {
		key := [2]int{from, to}
		if peers[key] == nil {
			peers[key] = NewPeer(nodes[to].address)
		}
		before := nodes[from].rows.place + nodes[to].rows.place
		is.New(t).NoErr(nodes[from].e.Ask(t.Context(), peers[key]))
		return int(nodes[from].rows.place + nodes[to].rows.place - before)
	}
}

func softRow(key string, version uint64) Row {
	return Row{Table: Soft + "t", Key: key, Version: version}
}

// News of one hub reach another once: a third does not pass them on while both
// are in contact.
func TestNewsCrossEachLinkOnce(t *testing.T) {
	is := is.New(t)
	nodes, ask := mesh(t)
	for _, link := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		ask(link[0], link[1])
	}
	nodes[0].rows.Apply([]Row{softRow("x", 5)})
	is.Equal(ask(0, 1), 1)
	q, _ := nodes[1].e.question(&Peer{epoch: 3, hears: nodes[2].e.heard.list(time.Now())})
	is.Equal(len(q.Rows), 0) // the second leaves it to the first
	is.Equal(ask(0, 2), 1)
	nodes[1].rows.Apply([]Row{softRow("y", 6)})
	is.Equal(ask(1, 2), 1) // its own it tells
}

// A row that was left to a node which then falls silent arrives by way of the
// others.
func TestNewsOfASilentNodeArriveByOthers(t *testing.T) {
	is := is.New(t)
	nodes, ask := mesh(t)
	for _, link := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		ask(link[0], link[1])
	}
	nodes[0].rows.Apply([]Row{softRow("x", 5)})
	ask(0, 1)
	ask(1, 2) // leaves x out, since the first is in contact with the third
	_, ok := nodes[2].rows.Get(Soft+"t", "x")
	is.True(!ok)
	nodes[0].rows.Apply([]Row{row("config", 7)})
	ask(0, 1)
	ask(1, 2)
	_, ok = nodes[2].rows.Get("t", "config")
	is.True(ok)                                                    // the store's rows take every way
	nodes[2].e.heard.note(1, true, time.Now().Add(-2*contactLife)) // the first is gone
	for range 3 {
		ask(1, 2)
	}
	got, ok := nodes[2].rows.Get(Soft+"t", "x")
	is.True(ok)
	is.Equal(got.Version, uint64(5))
}

// A node that first met another than its hub gets from the hub what that one
// told, once it no longer asks it.
func TestNewsLeftToAFormerContactArrive(t *testing.T) {
	is := is.New(t)
	first, hub, member := newNode(t, 1), newNode(t, 2), newNode(t, 3)
	is.NoErr(member.e.Ask(t.Context(), NewPeer(first.address)))
	between, up := NewPeer(first.address), NewPeer(hub.address)
	up.Up = true
	is.NoErr(hub.e.Ask(t.Context(), between))
	is.NoErr(member.e.Ask(t.Context(), up))
	first.rows.Apply([]Row{softRow("x", 5)})
	is.NoErr(hub.e.Ask(t.Context(), between))
	is.NoErr(member.e.Ask(t.Context(), up)) // leaves x to the first
	member.e.heard.note(1, true, time.Now().Add(-2*contactLife))
	for range 3 {
		is.NoErr(member.e.Ask(t.Context(), up))
	}
	_, ok := member.rows.Get(Soft+"t", "x")
	is.True(ok)
}
