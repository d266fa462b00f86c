package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/fleet"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// A lease has one holder at a time. One that expired while its holder was
// paused is taken over with a higher number, and the old holder sees the expiry
// by its own clock.
func TestLeaseOfPausedHolderIsTakenOver(t *testing.T) {
	is := is.New(t)
	var early, late error
	var first, second uint64
	var held, heldAfterExpiry bool
	synctest.Test(t, func(*testing.T) {
		ctx := context.Background()
		table := standin.NewTable()
		a, b := fleet.NewLease(table, "pool", "a", 1), fleet.NewLease(table, "pool", "b", 1)
		_ = a.Acquire(ctx)
		first, held = a.Number(time.Now())
		early = b.Acquire(ctx)
		time.Sleep(fleet.LeaseTime)
		late = b.Acquire(ctx)
		second, _ = b.Number(time.Now())
		_, heldAfterExpiry = a.Number(time.Now())
	})
	is.True(held)
	is.True(errors.Is(early, fleet.ErrNotHeld))
	is.NoErr(late)
	is.True(!heldAfterExpiry)
	is.True(second > first)
}

// A renewal whose reply was lost leaves the lease with its holder, under the
// same number.
func TestLeaseSurvivesALostReply(t *testing.T) {
	is := is.New(t)
	var err error
	var first, second uint64
	synctest.Test(t, func(*testing.T) {
		ctx := context.Background()
		table := standin.NewTable()
		a := fleet.NewLease(table, "pool", "a", 1)
		table.Faults.Set(standin.FaultState{LoseReplies: 1})
		_ = a.Acquire(ctx)
		_, _ = a.Number(time.Now())
		err = a.Acquire(ctx)
		first, _ = a.Number(time.Now())
		time.Sleep(fleet.LeaseTime / 2)
		_ = a.Acquire(ctx)
		second, _ = a.Number(time.Now())
	})
	is.NoErr(err)
	is.Equal(first, uint64(1))
	is.Equal(second, first)
}
