package edge

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
)

// dataCentreOf returns the nodes of a data centre, two of which have large links.
func dataCentreOf(count int) []nodeState {
	var out []nodeState
	for i := range count {
		weight := 1.4
		if i < 2 {
			weight = 12.6
		}
		out = append(out, readyNode(fmt.Sprintf("10.0.0.%03d:1", i), "a", weight))
	}
	return out
}

// Guards against nodes that send to a number of nodes that grows with the data centre,
// against circles, and against a change for data centres of up to 40 nodes.
func TestNodesSendToFewOthers(t *testing.T) {
	for _, count := range []int{2, 40, 41, 100, 400} {
		is := is.New(t)
		nodes := dataCentreOf(count)
		tr := newTree(nodes, selectHub(nodes), false)
		children := map[string]int{}
		for _, s := range nodes {
			if s.Inner == tr.hub {
				continue
			}
			up := tr.upstream(s.Inner)
			children[up]++
			is.True(up == tr.hub || tr.upstream(up) == tr.hub) // two levels at most
			is.True(s.Weight < 2 || up == tr.hub)              // the next hub notices the loss of this one
		}
		most := 0
		for _, n := range children {
			most = max(most, n)
		}
		t.Logf("%d nodes: the hub sends to %d, the busiest node to %d", count, children[tr.hub], most)
		if count <= maxStarNodes {
			is.Equal(children[tr.hub], count-1)
			continue
		}
		is.Equal(children[tr.hub], tr.fanout)
		is.True(float64(most) <= 2*math.Sqrt(float64(count)))
	}
}

// Guards against nodes that lose all updates with a relay node: a node that could not
// reach it asks another, and one that hears of no hub through it asks the hub.
func TestLostRelayNodeIsReplaced(t *testing.T) {
	is := is.New(t)
	nodes := dataCentreOf(100)
	now := startTime.Add(time.Hour)
	n := &Node{members: newMembers(zap.NewNop())}
	hub := selectHub(nodes)
	for _, s := range nodes {
		if up := newTree(nodes, hub, false).upstream(s.Inner); up != hub && s.Inner != hub {
			n.innerAddress = s.Inner
			n.members.setSelf(s)
		}
	}
	n.members.applyMemberLists([]gossip.Row{{Key: "h", Data: encode(t, nodes)}}, now)
	n.members.applyHubHeartbeats([]gossip.Row{{Key: "h"}}, now)
	first := n.localUpstream(now)
	n.settings.Store(&Settings{DataCentre: "a"})
	addresses, passesUp := n.upstreams(now)
	is.True(first != hub && passesUp)
	is.Equal(addresses, []string{first})
	n.members.markUnreachable(first, now)
	second := n.localUpstream(now)
	addresses, passesUp = n.upstreams(now)
	is.True(second != first && second != hub && passesUp)
	is.Equal(addresses, []string{second})
	now = now.Add(maxSilence + silenceSpread)
	is.Equal(n.localUpstream(now), hub)
	is.True(maxSilence+silenceSpread <= heartbeatTimeout/2) // heartbeats arrive in time
	// Guards against a node that returns to a relay node without a hub as soon as the hub
	// has answered, and counts as lost in turn.
	n.members.applyHubHeartbeats([]gossip.Row{{Key: "h"}}, now)
	third := n.localUpstream(now)
	is.True(third != second && third != hub)
	later := now.Add(silentBackoff - time.Second)
	n.members.applyHubHeartbeats([]gossip.Row{{Key: "h"}}, later)
	is.True(n.localUpstream(later) != second)
}

// Guards against one restarting node that makes all nodes change their connections.
func TestRestartKeepsRelayNodes(t *testing.T) {
	is := is.New(t)
	m := newMembers(zap.NewNop())
	now := startTime
	m.setSelf(dataCentreOf(1)[0])
	for _, c := range []struct {
		nodes    int
		isRelays bool
	}{{40, false}, {41, true}, {40, true}, {36, true}, {35, false}, {40, false}} {
		now = now.Add(time.Second)
		m.applyMemberLists([]gossip.Row{{Key: "h", Data: encode(t, dataCentreOf(c.nodes))}}, now)
		is.Equal(len(m.tree(now).relays) > 0, c.isRelays)
	}
}

// Guards against a hub whose loss the next hubs do not notice, since nodes of equal weight
// receive through relay nodes.
func TestNextHubsReceiveFromHub(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{41, 100, 400} {
		var nodes []nodeState
		for i := range count {
			nodes = append(nodes, readyNode(fmt.Sprintf("10.0.0.%03d:1", i), "a", 1))
		}
		hub := selectHub(nodes)
		tr, left := newTree(nodes, hub, false), nodes
		for range nextHubs {
			lost := selectHub(left)
			left = slices.DeleteFunc(slices.Clone(left), func(s nodeState) bool { return s.Inner == lost })
			is.Equal(tr.upstream(selectHub(left)), hub)
		}
		is.True(float64(tr.fanout) <= 2*math.Sqrt(float64(count)))
	}
}

// Guards against updates that are lost or late on their way through relay nodes, in a
// whole data centre whose nodes start one after the other.
func TestUpdatesReachAllNodesOfLargeDataCentre(t *testing.T) {
	is := is.New(t)
	_, addresses := startRanServers(t, 1)
	nodes, _ := startFleet(t, 50, addresses, func(i int, o *Options) {
		o.Settings.DataCentre, o.Settings.Processor, o.Settings.Bandwidth = "a", 0.2, 10
		if i < 2 {
			o.Settings.Processor, o.Settings.Bandwidth = 0.8, 200
		}
	})
	awaitMembers(t, nodes)
	time.Sleep(2 * hubHeartbeatTimeout)
	now, throughRelays := time.Now(), 0
	for _, n := range nodes {
		is.Equal(n.members.count(), len(nodes)) // heartbeats reach the hub
		if n.localUpstream(now) != n.members.tree(now).hub {
			throughRelays++
		}
	}
	is.True(throughRelays > len(nodes)/2)
	began := time.Now()
	nodes[49].rows.Apply([]gossip.Row{{Table: tableDraining, Key: "x", Version: nodes[49].nextVersion(), Data: []byte(`{}`)}})
	for reached := 0; reached < len(nodes); time.Sleep(5 * time.Millisecond) {
		is.True(time.Since(began) < time.Second)
		reached = 0
		for _, n := range nodes {
			if _, ok := n.rows.Get(tableDraining, "x"); ok {
				reached++
			}
		}
	}
	t.Logf("a notice reached all nodes after %v, %d through relay nodes", time.Since(began), throughRelays)
}
