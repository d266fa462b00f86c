package edge

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// loadDetails holds the details of the work of some nodes at each server. They travel in a
// field of heartbeats and in a table of their own, which the release before ignores.
type loadDetails map[prefix.Server]pool.Details

// add adds the details of other nodes.
func (d loadDetails) add(other loadDetails) {
	for server, x := range other {
		d[server] = d[server].Add(x)
	}
}

const (
	// loadDetailsBytes is the encoded size of a server's details: the server, the
	// pending prefill of long prompts, and the tokens.
	loadDetailsBytes = 4 + 1 + 1
	// detailSteps is the number of encoded values for each doubling of a figure, which
	// keeps the error below 5 %.
	detailSteps = 8
	// longPrefillUnit and tokensUnit are the smallest figures that are not encoded as 0.
	longPrefillUnit = 8 * time.Millisecond
	tokensUnit      = 64
	// notableShare is the share of a server's memory from which a hub publishes the tokens
	// that its data centre's nodes hold there. Less decides nothing.
	notableShare = 1.0 / 16
)

// encodeFigure returns a figure, in units, as one byte on a logarithmic scale.
func encodeFigure(units float64) byte {
	if units < 1 {
		return 0
	}
	return byte(min(math.Round(detailSteps*math.Log2(units))+1, math.MaxUint8))
}

// decodeFigure reverses encodeFigure.
func decodeFigure(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1) / detailSteps)
}

// encode returns the details as bytes, the same for equal details. Servers without any are
// left out.
func (d loadDetails) encode() []byte {
	var out []byte
	for _, server := range slices.SortedFunc(maps.Keys(d), cmp.Compare[prefix.Server]) {
		long := encodeFigure(float64(d[server].LongPrefill) / float64(longPrefillUnit))
		tokens := encodeFigure(d[server].Tokens / tokensUnit)
		if long == 0 && tokens == 0 {
			continue
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(server)), long, tokens)
	}
	return out
}

// decodeLoadDetails reverses encode. A trailing incomplete entry is ignored.
func decodeLoadDetails(raw []byte) loadDetails {
	out := make(loadDetails, len(raw)/loadDetailsBytes)
	for ; len(raw) >= loadDetailsBytes; raw = raw[loadDetailsBytes:] {
		out[prefix.Server(binary.BigEndian.Uint32(raw))] = pool.Details{
			LongPrefill: time.Duration(decodeFigure(raw[4]) * float64(longPrefillUnit)),
			Tokens:      decodeFigure(raw[5]) * tokensUnit,
		}
	}
	return out
}

// withoutFewTokens returns the details without the tokens that are few for their server.
// capacity returns the tokens that a server's memory holds, 0 if that is not known.
func (d loadDetails) withoutFewTokens(capacity func(prefix.Server) float64) loadDetails {
	out := make(loadDetails, len(d))
	for server, x := range d {
		if c := capacity(server); c == 0 || x.Tokens < notableShare*c {
			x.Tokens = 0
		}
		out[server] = x
	}
	return out
}

// localLoadDetails returns the details of this node's work at each server.
func (n *Node) localLoadDetails() loadDetails {
	out := loadDetails{}
	n.pool.Each(func(m *pool.Member) {
		if d := m.LocalDetails(); d != (pool.Details{}) {
			out[m.Key()] = d
		}
	})
	return out
}

// loadDetails returns the details of the work of this hub's data centre that are published.
func (n *Node) loadDetails() loadDetails {
	capacities := map[prefix.Server]float64{}
	n.pool.Each(func(m *pool.Member) { capacities[m.Key()] = n.memoryTokens(m.Service) })
	return n.members.localLoadDetails().withoutFewTokens(func(s prefix.Server) float64 { return capacities[s] })
}

// memoryTokens returns the number of tokens that the memory of a service's servers holds, 0 if
// that is not known.
func (n *Node) memoryTokens(service string) float64 {
	if s := n.table().Service(service); s != nil {
		return s.MemoryTokens
	}
	return 0
}

// applyRemoteDetails passes the details of other nodes' work to the pool.
func (n *Node) applyRemoteDetails(now time.Time) {
	total, local := n.members.totalLoadDetails(), n.localLoadDetails()
	n.pool.Each(func(m *pool.Member) { m.SetRemoteDetails(total[m.Key()].Without(local[m.Key()]), now) })
}

// localLoadDetails returns the details of the work of this hub's data centre.
func (m *members) localLoadDetails() loadDetails {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := loadDetails{}
	for _, b := range m.heartbeats {
		if b.DataCentre == m.self.DataCentre {
			total.add(b.details)
		}
	}
	return total
}

// applyLoadDetails records the details of data centres' work.
func (m *members) applyLoadDetails(rows []gossip.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.details[r.Key] = decodeLoadDetails(r.Data)
	}
}

// totalLoadDetails returns the details of all data centres' work.
func (m *members) totalLoadDetails() loadDetails {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := loadDetails{}
	for _, d := range m.details {
		out.add(d)
	}
	return out
}
