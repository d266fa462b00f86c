package membership

import (
	"maps"
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// relay is the position of a relay node among the relay nodes of its data centre, which
// divide the links of the data centre among themselves. rank counts from 0.
type relay struct {
	rank  int
	count int
}

// selectRelays returns the relay nodes: the live nodes of each data centre with the
// highest scores.
func selectRelays(nodes []Node) map[string]relay {
	centres := map[string][]string{}
	for _, n := range nodes {
		if n.IsLive {
			centres[n.State.DataCentre] = append(centres[n.State.DataCentre], n.State.ID)
		}
	}
	out := map[string]relay{}
	for centre, ids := range centres {
		ranked := routing.Rendezvous(ids, "bridge/"+centre)
		count := min(len(ranked), relaysPerDataCentre)
		for rank, id := range ranked[:count] {
			out[id] = relay{rank, count}
		}
	}
	return out
}

// GossipPeers returns the gossip peers with which the named node starts exchanges: its
// successors in two rings of its data centre, and, if it is a relay node, one node for
// each of its links. A data centre has a link to each other data centre of its region and
// to each other region.
func (s *Snapshot) GossipPeers(id string) []Peer {
	self, ok := s.Node(id)
	if !ok {
		return nil
	}
	var ring []string
	centres, regions := map[string][]string{}, map[string][]string{}
	for _, n := range s.Nodes {
		switch {
		case !n.IsLive && n.State.ID != id:
		case n.State.DataCentre == self.State.DataCentre:
			ring = append(ring, n.State.ID)
		case n.State.Region == self.State.Region:
			centres[n.State.DataCentre] = append(centres[n.State.DataCentre], n.State.ID)
		default:
			regions[n.State.Region] = append(regions[n.State.Region], n.State.ID)
		}
	}
	chosen := map[string]bool{}
	s.addRingSuccessors(id, ring, chosen)
	if ownRelay, ok := s.relays[id]; ok {
		for i, ids := range append(valuesByKey(centres), valuesByKey(regions)...) {
			if i%ownRelay.count == ownRelay.rank {
				chosen[routing.HighestScoring(ids, "link/"+id)] = true
			}
		}
	}
	var out []Peer
	for _, name := range slices.Sorted(maps.Keys(chosen)) {
		state := s.Nodes[s.nodeIndex[name]].State
		out = append(out, Peer{Name: name, Inner: state.Inner, IsRemote: state.DataCentre != self.State.DataCentre})
	}
	return out
}

// ringKeys are the keys of two orders of a data centre's nodes. In each, every node
// has one predecessor and one successor, so that the load of the exchange is spread
// evenly.
var ringKeys = [...]string{"ring", "second ring"}

// addRingSuccessors adds the successor in each ring to chosen.
func (s *Snapshot) addRingSuccessors(id string, nodes []string, chosen map[string]bool) {
	if len(nodes) < 2 {
		return
	}
	for _, ringKey := range ringKeys {
		ranked := routing.Rendezvous(nodes, ringKey)
		chosen[ranked[(slices.Index(ranked, id)+1)%len(ranked)]] = true
	}
}

// valuesByKey returns the values sorted by their keys.
func valuesByKey(m map[string][]string) [][]string {
	var out [][]string
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}
