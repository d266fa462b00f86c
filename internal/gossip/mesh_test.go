package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// mesh connects three nodes and returns a function that lets one ask another and
// counts the rows that travel. The tests let each node ask those after it, as hubs of
// data centres do.
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
		before := nodes[from].rows.position + nodes[to].rows.position
		is.New(t).NoErr(nodes[from].exchange.Ask(t.Context(), peers[key]))
		return int(nodes[from].rows.position + nodes[to].rows.position - before)
	}
}

func softRow(key string, version uint64) Row {
	return Row{Table: SoftPrefix + "t", Key: key, Version: version}
}

// Guards against duplicate transfers: rows of one hub must reach another once. A third
// hub does not relay them while both are in contact.
func TestRowsCrossEachLinkOnce(t *testing.T) {
	is := is.New(t)
	nodes, ask := mesh(t)
	for _, link := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		ask(link[0], link[1])
	}
	nodes[0].rows.Apply([]Row{softRow("x", 5)})
	is.Equal(ask(0, 1), 1)
	q, _ := nodes[1].exchange.newQuestion(&Peer{epoch: 3, receivesFrom: nodes[2].exchange.contacts.expireAndList(time.Now())})
	is.Equal(len(q.Rows), 0) // the second leaves the row to the first
	is.Equal(ask(0, 2), 1)
	nodes[1].rows.Apply([]Row{softRow("y", 6)})
	is.Equal(ask(1, 2), 1) // it sends its own row
}

// A row was left to a node that then became unreachable. It must arrive through the
// others.
func TestRowsOfUnreachableNodeArriveThroughOthers(t *testing.T) {
	is := is.New(t)
	nodes, ask := mesh(t)
	for _, link := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		ask(link[0], link[1])
	}
	nodes[0].rows.Apply([]Row{softRow("x", 5)})
	ask(0, 1)
	ask(1, 2) // leaves x out, since the first is in contact with the third
	_, ok := nodes[2].rows.Get(SoftPrefix+"t", "x")
	is.True(!ok)
	nodes[0].rows.Apply([]Row{row("config", 7)})
	ask(0, 1)
	ask(1, 2)
	_, ok = nodes[2].rows.Get("t", "config")
	is.True(ok)                                                                   // the store's rows are relayed by every node
	nodes[2].exchange.contacts.record(1, true, time.Now().Add(-2*contactTimeout)) // the contact with the first timed out
	for range 3 {
		ask(1, 2)
	}
	got, ok := nodes[2].rows.Get(SoftPrefix+"t", "x")
	is.True(ok)
	is.Equal(got.Version, uint64(5))
}

// A node that first exchanged with another node than its hub must get from the hub
// what that node sent, once it no longer asks that node.
func TestRowsLeftToFormerContactArrive(t *testing.T) {
	is := is.New(t)
	first, hub, member := newNode(t, 1), newNode(t, 2), newNode(t, 3)
	is.NoErr(member.exchange.Ask(t.Context(), NewPeer(first.address)))
	between, up := NewPeer(first.address), NewPeer(hub.address)
	up.IsHub = true
	is.NoErr(hub.exchange.Ask(t.Context(), between))
	is.NoErr(member.exchange.Ask(t.Context(), up))
	first.rows.Apply([]Row{softRow("x", 5)})
	is.NoErr(hub.exchange.Ask(t.Context(), between))
	is.NoErr(member.exchange.Ask(t.Context(), up)) // leaves x to the first
	member.exchange.contacts.record(1, true, time.Now().Add(-2*contactTimeout))
	for range 3 {
		is.NoErr(member.exchange.Ask(t.Context(), up))
	}
	_, ok := member.rows.Get(SoftPrefix+"t", "x")
	is.True(ok)
}
