package membership

import (
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/routing"
)

const (
	// AddressTTL is how long a caller may cache the directory's answer.
	AddressTTL = 10 * time.Second
	// minShard is the minimum number of nodes in an organisation's shard.
	minShard = 4
)

// Address is one entry of the directory's answer.
type Address struct {
	// Address is the node's address for callers.
	Address string `json:"address"`
	// Weight is the node's share of the organisation's new sessions.
	Weight float64 `json:"weight"`
}

// Directory returns the nodes that a caller of an organisation should use, the
// session's home node first. Each organisation has its own small shard of the nodes,
// so that a flood from one organisation reaches few nodes of another.
func (s *Snapshot) Directory(organisation, session string) []Address {
	addresses := map[string]string{}
	var ids []string
	for _, n := range s.Nodes {
		if n.IsLive && !n.State.Leaving {
			ids = append(ids, n.State.ID)
			addresses[n.State.ID] = n.State.Address
		}
	}
	shard := routing.Rendezvous(ids, "organisation/"+organisation)
	size := min(len(shard), max(minShard, int(math.Sqrt(float64(len(shard))))))
	ranked := routing.Rendezvous(shard[:size], "session/"+session)
	out := make([]Address, 0, len(ranked))
	for _, id := range ranked {
		out = append(out, Address{Address: addresses[id], Weight: 1 / float64(len(ranked))})
	}
	return out
}
