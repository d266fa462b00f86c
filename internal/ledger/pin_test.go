package ledger

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// crossedTable lets another writer in just before the first write.
type crossedTable struct {
	*standin.Table
	cross func()
}

func (c *crossedTable) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	if cross := c.cross; cross != nil {
		c.cross = nil
		cross()
	}
	return c.Table.Commit(ctx, ops...)
}

// Of two nodes that pin a session at the same moment, the second takes the
// first one's version.
func TestPinsOfTwoNodesAgree(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	id := PinID{Organisation: "o", Session: "s", Asked: "auto"}
	one, two := config.Target{Model: "m", Version: "v1"}, config.Target{Model: "m", Version: "v2"}
	table := &crossedTable{Table: standin.NewTable()}
	a, b := NewPins(table, nil), NewPins(table.Table, nil)
	table.cross = func() { is.Equal(b.Decide(ctx, id, config.Target{}, two, two), two) }
	is.Equal(a.Decide(ctx, id, config.Target{}, one, one), two)
	is.Equal(a.Known(id), two)
	table.cross = func() { is.Equal(b.Decide(ctx, id, two, config.Target{Model: "m", Version: "v3"}, one).Version, "v3") }
	is.Equal(a.Decide(ctx, id, two, one, one).Version, "v3")
}
