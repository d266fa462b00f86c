package ledger

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// racingTable lets another writer commit just before the first write.
type racingTable struct {
	*standin.Table
	beforeCommit func()
}

func (r *racingTable) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	if beforeCommit := r.beforeCommit; beforeCommit != nil {
		r.beforeCommit = nil
		beforeCommit()
	}
	return r.Table.Commit(ctx, ops...)
}

// If two nodes pin a session at the same time, the second one must use the
// version of the first.
func TestPinsOfTwoNodesAgree(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	id := PinID{Organisation: "o", Session: "s", RequestedModel: "auto"}
	one, two := config.Target{Model: "m", Version: "v1"}, config.Target{Model: "m", Version: "v2"}
	table := &racingTable{Table: standin.NewTable()}
	a, b := NewPins(table, nil), NewPins(table.Table, nil)
	table.beforeCommit = func() { is.Equal(b.Decide(ctx, id, config.Target{}, two, two), two) }
	is.Equal(a.Decide(ctx, id, config.Target{}, one, one), two)
	is.Equal(a.Cached(id), two)
	table.beforeCommit = func() { is.Equal(b.Decide(ctx, id, two, config.Target{Model: "m", Version: "v3"}, one).Version, "v3") }
	is.Equal(a.Decide(ctx, id, two, one, one).Version, "v3")
}
