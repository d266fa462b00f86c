package edge

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// Guards against requests to a server that announced to another node that it drains:
// its entry in the store still lists it. The entry may arrive before the announcement
// or after it. The next start of the server is used again.
func TestDrainingServerIsPublished(t *testing.T) {
	is := is.New(t)
	rows := gossip.NewMap(nil)
	sender := drainNotices{pool: pool.New(), rows: rows, nextVersion: versionCounter(), log: zap.NewNop()}
	server := pool.Server{ID: "x", Service: "s", Started: 5}
	sender.publish(server)
	published := rows.List(tableDraining)
	is.Equal(len(published), 1)
	for _, isListedFirst := range []bool{true, false} {
		p := pool.New()
		other := drainNotices{pool: p, log: zap.NewNop()}
		if isListedFirst {
			p.Update([]pool.Server{server}, startTime)
		}
		other.apply(append(published, gossip.Row{Key: "bad", Data: []byte("{")}), startTime)
		p.Update([]pool.Server{server}, startTime)
		is.True(!p.Member("x").IsPresent())
		next := server
		next.Started = 6
		p.Update([]pool.Server{next}, startTime)
		is.True(p.Member("x").IsPresent())
	}
}
