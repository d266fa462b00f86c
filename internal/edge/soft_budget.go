package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

const (
	// loadBudget and prefixBudget bound the bytes per second that the hub of a large data
	// centre sends in load and prefix rows to all nodes that it serves. A VM of the
	// platform's smallest kind has a link of 1,250,000 bytes per second, and relay nodes
	// serve about as many nodes as the hub does.
	loadBudget   = 120e3
	prefixBudget = 80e3
	// maxLoadInterval is the longest time between two load rows of a data centre. Loads
	// that do not fit the budget at this interval are left out, the smallest first.
	maxLoadInterval = 2500 * time.Millisecond
)

// softBudget derives from the size of a data centre's tree how often its hub publishes
// loads and how many prompt prefixes. In a data centre without relay nodes it publishes
// all of them with each heartbeat.
type softBudget struct {
	isBounded bool
	// copies is how often a row of one hub is sent by a hub, times the number of hubs
	// whose rows it sends.
	copies float64
}

func newSoftBudget(t tree, dataCentres int) softBudget {
	dcs := max(dataCentres, 1)
	return softBudget{isBounded: len(t.relays) > 0, copies: float64(max((t.fanout+dcs-1)*dcs, 1))}
}

// loadInterval returns the time between two load rows of a size in bytes.
func (b softBudget) loadInterval(size int) time.Duration {
	if !b.isBounded {
		return heartbeatInterval
	}
	interval := time.Duration(float64(size) * b.copies / loadBudget * float64(time.Second))
	return min(max(interval, heartbeatInterval), maxLoadInterval)
}

// fit returns the part of a workload that fits the budget at the longest interval: the
// servers with most load.
func (b softBudget) fit(w workload, size int) workload {
	limit := loadBudget * maxLoadInterval.Seconds() / b.copies
	if !b.isBounded || float64(size) <= limit {
		return w
	}
	servers := make([]prefix.Server, 0, len(w))
	for s := range w {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(x, y prefix.Server) int {
		return cmp.Or(cmp.Compare(w[y].pendingPrefill, w[x].pendingPrefill), cmp.Compare(w[y].running, w[x].running), cmp.Compare(x, y))
	})
	kept := int(float64(len(servers)) * limit / float64(size))
	out := make(workload, kept)
	for _, s := range servers[:kept] {
		out[s] = w[s]
	}
	return out
}

// newest returns the newest prefix entries that fit the budget for a time. The entries of
// a request at a server follow each other and are of no use without the first, so those
// of a request that fits in part are left out.
func (b softBudget) newest(entries []prefix.Entry, elapsed time.Duration) []prefix.Entry {
	if !b.isBounded {
		return entries
	}
	limit := int(prefixBudget * min(elapsed, time.Second).Seconds() / b.copies / prefix.EntryBytes)
	if len(entries) <= limit {
		return entries
	}
	cut := len(entries) - limit
	for cut > 0 && cut < len(entries) && entries[cut].Server == entries[cut-1].Server {
		cut++
	}
	return entries[cut:]
}

// publishLoads publishes the load of this hub's data centre, with its details, when it is
// due. The caller holds heartbeatMu.
func (n *Node) publishLoads(total workload, now time.Time) {
	b := n.softBudget(now)
	raw, details := total.encode(), n.loadDetails().encode()
	if !b.isBounded {
		n.published.loadInterval = heartbeatInterval
	} else {
		if now.Sub(n.published.loadsAt) < n.published.loadInterval-heartbeatInterval/2 {
			return
		}
		size := gossip.PackedSize(raw)
		n.published.loadInterval = b.loadInterval(size + gossip.PackedSize(details))
		raw = b.fit(total, size).encode()
	}
	n.published.loadsAt = now
	n.published.loads = n.publishRaw(tableLoads, raw, n.published.loads)
	n.published.details = n.publishRaw(tableLoadDetails, details, n.published.details)
}

// softBudget returns the budget of this hub.
func (n *Node) softBudget(now time.Time) softBudget {
	return newSoftBudget(n.members.tree(now), len(n.members.hubs(now)))
}

// loadInterval returns the seconds between two load rows of this node, 0 if it is no hub.
func (n *Node) loadInterval() float64 {
	n.heartbeatMu.Lock()
	defer n.heartbeatMu.Unlock()
	if !n.isHub() {
		return 0
	}
	return max(n.published.loadInterval, heartbeatInterval).Seconds()
}
