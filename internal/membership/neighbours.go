package membership

import (
	"maps"
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// bridge is a node's part in the exchange with other data centres: the links
// of its data centre are dealt out to count bridges, of which it is the one at
// rank.
type bridge struct {
	rank  int
	count int
}

// bridges returns the live nodes that exchange news with other data centres:
// a few of each, with the highest scores.
func bridges(nodes []Node) map[string]bridge {
	centres := map[string][]string{}
	for _, n := range nodes {
		if n.Live {
			centres[n.State.DataCentre] = append(centres[n.State.DataCentre], n.State.ID)
		}
	}
	out := map[string]bridge{}
	for centre, ids := range centres {
		order := routing.Rendezvous(ids, "bridge/"+centre)
		count := min(len(order), bridgesPerDataCentre)
		for rank, id := range order[:count] {
			out[id] = bridge{rank, count}
		}
	}
	return out
}

// Neighbours returns the peers with which the named node starts exchanges:
// the next of two rings of its data centre; and, if it is a bridge,
// one for each link of the data centre that falls to it. There is a link to
// each other data centre of the region and to each other region.
func (s *Snapshot) Neighbours(id string) []Peer {
	self, ok := s.Node(id)
	if !ok {
		return nil
	}
	var ring []string
	centres, regions := map[string][]string{}, map[string][]string{}
	for _, n := range s.Nodes {
		switch {
		case !n.Live && n.State.ID != id:
		case n.State.DataCentre == self.State.DataCentre:
			ring = append(ring, n.State.ID)
		case n.State.Region == self.State.Region:
			centres[n.State.DataCentre] = append(centres[n.State.DataCentre], n.State.ID)
		default:
			regions[n.State.Region] = append(regions[n.State.Region], n.State.ID)
		}
	}
	chosen := map[string]bool{}
	s.inRing(id, ring, chosen)
	if part, ok := s.bridges[id]; ok {
		for i, ids := range append(inOrder(centres), inOrder(regions)...) {
			if i%part.count == part.rank {
				chosen[routing.Highest(ids, "link/"+id)] = true
			}
		}
	}
	var out []Peer
	for _, name := range slices.Sorted(maps.Keys(chosen)) {
		state := s.Nodes[s.byID[name]].State
		out = append(out, Peer{Name: name, Inner: state.Inner, Far: state.DataCentre != self.State.DataCentre})
	}
	return out
}

// rings are two orders of a data centre's nodes; in each, every node has one
// neighbour before and one behind, so that the exchange is spread evenly.
var rings = [...]string{"ring", "second ring"}

// inRing chooses the next node of each ring.
func (s *Snapshot) inRing(id string, nodes []string, chosen map[string]bool) {
	if len(nodes) < 2 {
		return
	}
	for _, ring := range rings {
		order := routing.Rendezvous(nodes, ring)
		chosen[order[(slices.Index(order, id)+1)%len(order)]] = true
	}
}

// inOrder returns the values in the order of their keys.
func inOrder(m map[string][]string) [][]string {
	var out [][]string
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}
