package edge

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Guards against a node that takes requests with the first part of the list of servers, and
// sends all of them to that part.
func TestNodeWithPartOfServersIsNotReady(t *testing.T) {
	is := is.New(t)
	tables := testSchema{}.Tables()
	n := &Node{options: Options{Log: zap.NewNop(), Schema: testSchema{}}, rows: gossip.NewMap(nil), pool: pool.New(), config: &config{}}
	n.config.table.Store(&route.Table{})
	n.pool.Update([]pool.Server{{ID: "x"}}, startTime)
	is.True(!n.isReady())
	n.rows.Replace(tables.Operator, nil, gossip.Revision{Version: 3})
	is.True(!n.isReady())
	n.rows.Replace(tables.Servers, nil, gossip.Revision{Version: 3})
	is.True(n.isReady())
}
