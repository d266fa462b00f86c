package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// nextNode is a session's home as seen by its pins: next is the node that
// takes the copies, nil if it does not answer.
type nextNode struct {
	name wire.Process
	next *Pins
	lost bool // the copy arrives and its answer does not
}

func (n *nextNode) Decide(context.Context, string, wire.PinArgs) (config.Target, bool) {
	return config.Target{}, false
}

func (n *nextNode) Ahead(_ context.Context, _ string, args wire.PinArgs) (config.Target, bool) {
	if n.next == nil {
		return config.Target{}, false
	}
	args.From = n.name
	t := n.next.Hold(args)
	return t, !n.lost
}

func (n *nextNode) Copy(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	if n.next == nil {
		return config.Target{}, false
	}
	return n.next.Hold(args), true
}

func (n *nextNode) Tell(_ string, args wire.PinArgs) {
	if n.next != nil {
		n.next.Remember(args)
	}
}

var v1, v2, v3 = config.Target{Model: "m", Version: "v1"}, config.Target{Model: "m", Version: "v2"}, config.Target{Model: "m", Version: "v3"}

// pair is a home and the node after it over one table.
type pair struct {
	table      *flakyTable
	home, next *Pins
	bills      *Bills
	link       *nextNode
}

func newPair() *pair {
	p := &pair{table: &flakyTable{Table: standin.NewTable()}}
	p.link = &nextNode{name: wire.Process{Node: "home", Incarnation: 1}}
	p.home, p.next = NewPins(p.table, p.link), NewPins(p.table, nil)
	p.link.next = p.next
	p.bills = NewBills(p.table, nil, p.home)
	return p
}

func pinOf(i int) PinID { return PinID{Organisation: "o", Session: fmt.Sprint(i), Asked: "auto"} }

// decide pins some sessions to v1.
func (p *pair) decide(is *is.I, n int) {
	for i := range n {
		is.Equal(p.home.Decide(context.Background(), pinOf(i), config.Target{}, v1, v2), v1)
	}
}

// has checks which version the table has of a session.
func (p *pair) has(is *is.I, i int, want config.Target) {
	is.Helper()
	p.table.away = false
	fresh := NewPins(p.table, nil)
	is.Equal(fresh.Decide(context.Background(), pinOf(i), config.Target{}, v3, v3), want)
}

// Pins wait for a transaction of bills and take one together.
func TestPinsShareATransactionWithBills(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.decide(is, 30)
	p.bills.Add(context.Background(), wire.Bill{Request: "r"})
	_, before := p.table.Counts()
	is.Equal(before, 0)
	is.NoErr(p.bills.Flush(context.Background()))
	_, after := p.table.Counts()
	is.Equal(after, 1)
	is.Equal(p.home.Waiting(), 0)
	is.Equal(p.next.Waiting(), 0) // the copies are told
	for i := range 30 {
		p.has(is, i, v1)
	}
}

// A batch whose reply was lost is read back, not written again.
func TestLostReplyOfABatchOfPins(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.decide(is, 5)
	p.bills.Add(context.Background(), wire.Bill{Request: "r"})
	p.table.draw = func() fate { return fateLostAfter }
	is.True(p.bills.Flush(context.Background()) != nil)
	row, err := p.table.Get(context.Background(), pinOf(0).row())
	is.NoErr(err)
	p.table.draw = nil
	is.NoErr(p.bills.Flush(context.Background()))
	is.Equal(p.home.Waiting(), 0)
	is.Equal(p.bills.Pending(), 0)
	again, err := p.table.Get(context.Background(), pinOf(0).row())
	is.NoErr(err)
	is.Equal(again.Version, row.Version)
}

// Of a batch in which one pin conflicts, the others and the bills are stored,
// and the table's version of that one wins.
func TestConflictOfOnePinInABatch(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.decide(is, 5)
	p.bills.Add(context.Background(), wire.Bill{Request: "r"})
	is.Equal(NewPins(p.table, nil).Decide(context.Background(), pinOf(3), config.Target{}, v2, v2), v2)
	is.NoErr(p.bills.Flush(context.Background()))
	is.Equal(p.home.Waiting(), 0)
	is.Equal(p.bills.Pending(), 0)
	is.Equal(p.home.Known(pinOf(3)), v2)
	for i := range 5 {
		p.has(is, i, map[bool]config.Target{true: v2, false: v1}[i == 3])
	}
}

// The node with the copies stores the pins of a home that died, and only then.
func TestHomeDiesBeforeTheBatch(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.decide(is, 5)
	bills := NewBills(p.table, nil, p.next)
	bills.Adopt(func(wire.Process) bool { return true })
	is.NoErr(bills.Flush(context.Background()))
	is.Equal(p.next.Waiting(), 5)
	is.Equal(p.next.Decide(context.Background(), pinOf(0), config.Target{}, v2, v2), v1)
	bills.Adopt(func(wire.Process) bool { return false })
	is.True(bills.due(time.Now()))
	is.NoErr(bills.Flush(context.Background()))
	is.Equal(p.next.Waiting(), 0)
	for i := range 5 {
		p.has(is, i, v1)
	}
	is.NoErr(p.bills.Flush(context.Background())) // the home only paused
	is.Equal(p.home.Waiting(), 0)
}

// Without the next node a pin is stored before the answer, also if that node
// took the copy and its answer was lost.
func TestPinIsStoredFirstWithoutTheNextNode(t *testing.T) {
	for _, lost := range []bool{false, true} {
		is := is.New(t)
		p := newPair()
		p.link.lost = lost
		if !lost {
			p.link.next = nil
		}
		p.decide(is, 1)
		is.Equal(p.home.Waiting(), 0)
		p.has(is, 0, v1)
	}
}

// A session moved twice before its batch is stored as it is in the end, and a
// late word of the first version does not bring it back.
func TestPinMovedBeforeItsBatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPair()
	p.decide(is, 1)
	is.Equal(p.home.Decide(ctx, pinOf(0), v1, v2, v2), v2)
	p.home.Remember(wire.PinArgs{Pin: pinOf(0).row(), Target: v1, Stored: true})
	is.Equal(p.home.Known(pinOf(0)), v2)
	is.Equal(p.home.Decide(ctx, pinOf(0), v1, v3, v3), v2)
	is.NoErr(p.bills.Flush(ctx))
	is.Equal(p.home.Waiting(), 0)
	p.has(is, 0, v2)
	is.Equal(p.home.Decide(ctx, pinOf(0), v2, v3, v3), v3)
	is.NoErr(p.bills.Flush(ctx))
	p.has(is, 0, v3)
}

// A session moved while the write of its first version had an unknown end
// stays moved.
func TestPinMovedAfterALostReply(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPair()
	p.decide(is, 1)
	p.table.draw = func() fate { return fateLostAfter }
	is.True(p.bills.Flush(ctx) != nil)
	p.table.draw = nil
	is.Equal(p.home.Hold(wire.PinArgs{Pin: pinOf(0).row(), Session: "0", Old: v1, Target: v2}), v2)
	is.NoErr(p.bills.Flush(ctx))
	is.Equal(p.home.Known(pinOf(0)), v2)
	p.has(is, 0, v2)
}

// askBack lets something happen before the other home is asked.
type askBack struct {
	nextNode
	before func(args wire.PinArgs)
}

func (a *askBack) Ahead(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	if before := a.before; before != nil {
		a.before = nil
		before(args)
	}
	return a.nextNode.Ahead(ctx, session, args)
}

// Two nodes that both take themselves for a session's home, and ask each
// other at the same moment, agree: one after the other, or crosswise.
func TestTwoHomesAgree(t *testing.T) {
	for _, crosswise := range []bool{false, true} {
		is := is.New(t)
		ctx := context.Background()
		table := standin.NewTable()
		one, two := &askBack{}, &askBack{}
		a, b := NewPins(table, one), NewPins(table, two)
		one.next, two.next = b, a
		var got, other config.Target
		one.before = func(args wire.PinArgs) {
			if crosswise {
				two.before = func(wire.PinArgs) { b.Hold(args) }
			}
			other = b.Decide(ctx, pinOf(0), config.Target{}, v2, v2)
		}
		got = a.Decide(ctx, pinOf(0), config.Target{}, v1, v1)
		is.Equal(got, other)
		is.Equal(a.Known(pinOf(0)), b.Known(pinOf(0)))
		for range 2 {
			for _, p := range []*Pins{a, b} {
				bills := NewBills(table, nil, p)
				bills.Adopt(func(wire.Process) bool { return false })
				is.NoErr(bills.Flush(ctx))
			}
		}
		is.Equal(NewPins(table, nil).Decide(ctx, pinOf(0), config.Target{}, v3, v3), got)
	}
}
