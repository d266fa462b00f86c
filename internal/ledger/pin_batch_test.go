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

// successorPeers connects a session's home to next, the node that receives the
// copies. next is nil if it does not answer.
type successorPeers struct {
	name        wire.Process
	next        *Pins
	isReplyLost bool // the next node receives the copy but its answer is lost
}

func (s *successorPeers) Decide(context.Context, string, wire.PinArgs) (config.Target, bool) {
	return config.Target{}, false
}

func (s *successorPeers) CopyBeforeStore(_ context.Context, _ string, args wire.PinArgs) (config.Target, bool) {
	if s.next == nil {
		return config.Target{}, false
	}
	args.From = s.name
	t := s.next.CacheUnstored(args)
	return t, !s.isReplyLost
}

func (s *successorPeers) CopyUnstored(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	if s.next == nil {
		return config.Target{}, false
	}
	return s.next.CacheUnstored(args), true
}

func (s *successorPeers) NotifyStored(_ string, args wire.PinArgs) {
	if s.next != nil {
		s.next.CacheStored(args)
	}
}

var v1, v2, v3 = config.Target{Model: "m", Version: "v1"}, config.Target{Model: "m", Version: "v2"}, config.Target{Model: "m", Version: "v3"}

// pinPair is a session's home and its next node with a common table.
type pinPair struct {
	table      *flakyTable
	home, next *Pins
	bills      *Bills
	peers      *successorPeers
}

func newPinPair() *pinPair {
	p := &pinPair{table: &flakyTable{Table: standin.NewTable()}}
	p.peers = &successorPeers{name: wire.Process{Node: "home", Incarnation: 1}}
	p.home, p.next = NewPins(p.table, p.peers), NewPins(p.table, nil)
	p.peers.next = p.next
	p.bills = NewBills(p.table, nil, p.home)
	return p
}

func testPinID(i int) PinID {
	return PinID{Organisation: "o", Session: fmt.Sprint(i), RequestedModel: "auto"}
}

// decide pins n sessions to v1.
func (p *pinPair) decide(is *is.I, n int) {
	for i := range n {
		is.Equal(p.home.Decide(context.Background(), testPinID(i), config.Target{}, v1, v2), v1)
	}
}

// checkStored checks which version the table has for a session.
func (p *pinPair) checkStored(is *is.I, i int, want config.Target) {
	is.Helper()
	p.table.isUnavailable = false
	fresh := NewPins(p.table, nil)
	is.Equal(fresh.Decide(context.Background(), testPinID(i), config.Target{}, v3, v3), want)
}

// Pins wait for a transaction of bills and must share one, so that they cost no
// further write.
func TestPinsShareATransactionWithBills(t *testing.T) {
	is := is.New(t)
	p := newPinPair()
	p.decide(is, 30)
	p.bills.Add(context.Background(), wire.Bill{Request: "r"})
	_, before := p.table.Counts()
	is.Equal(before, 0)
	is.NoErr(p.bills.Flush(context.Background()))
	_, after := p.table.Counts()
	is.Equal(after, 1)
	is.Equal(p.home.UnstoredCount(), 0)
	is.Equal(p.next.UnstoredCount(), 0) // the next node was notified
	for i := range 30 {
		p.checkStored(is, i, v1)
	}
}

// A batch is committed but the reply is lost. Its rows must be read back, not
// written again.
func TestLostReplyOfABatchOfPins(t *testing.T) {
	is := is.New(t)
	p := newPinPair()
	p.decide(is, 5)
	p.bills.Add(context.Background(), wire.Bill{Request: "r"})
	p.table.draw = func() writeFault { return faultLostReply }
	is.True(p.bills.Flush(context.Background()) != nil)
	row, err := p.table.Get(context.Background(), testPinID(0).rowKey())
	is.NoErr(err)
	p.table.draw = nil
	is.NoErr(p.bills.Flush(context.Background()))
	is.Equal(p.home.UnstoredCount(), 0)
	is.Equal(p.bills.Pending(), 0)
	again, err := p.table.Get(context.Background(), testPinID(0).rowKey())
	is.NoErr(err)
	is.Equal(again.Version, row.Version)
}

// One pin of a batch conflicts with the table. The other pins and the bills must
// be stored, and the table's version of that pin must win.
func TestConflictOfOnePinInABatch(t *testing.T) {
	is := is.New(t)
	p := newPinPair()
	p.decide(is, 5)
	p.bills.Add(context.Background(), wire.Bill{Request: "r"})
	is.Equal(NewPins(p.table, nil).Decide(context.Background(), testPinID(3), config.Target{}, v2, v2), v2)
	is.NoErr(p.bills.Flush(context.Background()))
	is.Equal(p.home.UnstoredCount(), 0)
	is.Equal(p.bills.Pending(), 0)
	is.Equal(p.home.Cached(testPinID(3)), v2)
	for i := range 5 {
		p.checkStored(is, i, map[bool]config.Target{true: v2, false: v1}[i == 3])
	}
}

// The next node must store the pins of a home that crashed before its batch, but
// only after the home is unreachable.
func TestNextNodeStoresPinsOfFailedHome(t *testing.T) {
	is := is.New(t)
	p := newPinPair()
	p.decide(is, 5)
	bills := NewBills(p.table, nil, p.next)
	bills.TakeOver(func(wire.Process) bool { return true })
	is.NoErr(bills.Flush(context.Background()))
	is.Equal(p.next.UnstoredCount(), 5)
	is.Equal(p.next.Decide(context.Background(), testPinID(0), config.Target{}, v2, v2), v1)
	bills.TakeOver(func(wire.Process) bool { return false })
	is.True(bills.isFlushDue(time.Now()))
	is.NoErr(bills.Flush(context.Background()))
	is.Equal(p.next.UnstoredCount(), 0)
	for i := range 5 {
		p.checkStored(is, i, v1)
	}
	is.NoErr(p.bills.Flush(context.Background())) // the home was only paused
	is.Equal(p.home.UnstoredCount(), 0)
}

// Without the next node a pin must be stored before it is answered. This
// includes a next node that received the copy but whose answer was lost.
func TestPinIsStoredFirstWithoutTheNextNode(t *testing.T) {
	for _, lost := range []bool{false, true} {
		is := is.New(t)
		p := newPinPair()
		p.peers.isReplyLost = lost
		if !lost {
			p.peers.next = nil
		}
		p.decide(is, 1)
		is.Equal(p.home.UnstoredCount(), 0)
		p.checkStored(is, 0, v1)
	}
}

// A session is moved before its batch is stored. The last version must be
// stored, and a late message about the first version must not bring it back.
func TestPinMovedBeforeItsBatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPinPair()
	p.decide(is, 1)
	is.Equal(p.home.Decide(ctx, testPinID(0), v1, v2, v2), v2)
	p.home.CacheStored(wire.PinArgs{Pin: testPinID(0).rowKey(), Target: v1, Stored: true})
	is.Equal(p.home.Cached(testPinID(0)), v2)
	is.Equal(p.home.Decide(ctx, testPinID(0), v1, v3, v3), v2)
	is.NoErr(p.bills.Flush(ctx))
	is.Equal(p.home.UnstoredCount(), 0)
	p.checkStored(is, 0, v2)
	is.Equal(p.home.Decide(ctx, testPinID(0), v2, v3, v3), v3)
	is.NoErr(p.bills.Flush(ctx))
	p.checkStored(is, 0, v3)
}

// A session is moved while the result of writing its first version is unknown.
// The move must be kept.
func TestPinMovedAfterALostReply(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newPinPair()
	p.decide(is, 1)
	p.table.draw = func() writeFault { return faultLostReply }
	is.True(p.bills.Flush(ctx) != nil)
	p.table.draw = nil
	is.Equal(p.home.CacheUnstored(wire.PinArgs{Pin: testPinID(0).rowKey(), Session: "0", Old: v1, Target: v2}), v2)
	is.NoErr(p.bills.Flush(ctx))
	is.Equal(p.home.Cached(testPinID(0)), v2)
	p.checkStored(is, 0, v2)
}

// callbackPeers runs a callback before it asks the other home.
type callbackPeers struct {
	successorPeers
	beforeAsk func(args wire.PinArgs)
}

func (c *callbackPeers) CopyBeforeStore(ctx context.Context, session string, args wire.PinArgs) (config.Target, bool) {
	if before := c.beforeAsk; before != nil {
		c.beforeAsk = nil
		before(args)
	}
	return c.successorPeers.CopyBeforeStore(ctx, session, args)
}

// Two nodes both act as a session's home and ask each other at the same time,
// one after the other or crosswise. They must agree on one version.
func TestTwoHomesAgree(t *testing.T) {
	for _, isCrosswise := range []bool{false, true} {
		is := is.New(t)
		ctx := context.Background()
		table := standin.NewTable()
		one, two := &callbackPeers{}, &callbackPeers{}
		a, b := NewPins(table, one), NewPins(table, two)
		one.next, two.next = b, a
		var got, other config.Target
		one.beforeAsk = func(args wire.PinArgs) {
			if isCrosswise {
				two.beforeAsk = func(wire.PinArgs) { b.CacheUnstored(args) }
			}
			other = b.Decide(ctx, testPinID(0), config.Target{}, v2, v2)
		}
		got = a.Decide(ctx, testPinID(0), config.Target{}, v1, v1)
		is.Equal(got, other)
		is.Equal(a.Cached(testPinID(0)), b.Cached(testPinID(0)))
		for range 2 {
			for _, p := range []*Pins{a, b} {
				bills := NewBills(table, nil, p)
				bills.TakeOver(func(wire.Process) bool { return false })
				is.NoErr(bills.Flush(ctx))
			}
		}
		is.Equal(NewPins(table, nil).Decide(ctx, testPinID(0), config.Target{}, v3, v3), got)
	}
}
