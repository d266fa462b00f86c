package ledger

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const benchSecret = "0123456789abcdef"

// keeper keeps copies of bills at the other end of a connection; it answers no
// other call.
type keeper struct {
	wire.Handler
	bills *Bills
}

func (k keeper) HoldBills(args wire.HoldBillsArgs, reply *wire.HoldBillsReply) error {
	reply.Holder = wire.Process{Node: "keeper", Incarnation: 1}
	return k.bills.Hold(args)
}

// remote hands copies to a keeper.
type remote struct {
	peers   *wire.Peers
	address string
}

func (r remote) Hold(ctx context.Context, args wire.HoldBillsArgs) wire.Process {
	args.From = wire.Process{Node: "entry-1", Incarnation: 1}
	reply := &wire.HoldBillsReply{}
	if r.peers.Call(ctx, r.address, "HoldBills", args, reply) != nil {
		return wire.Process{}
	}
	return reply.Holder
}

func (r remote) Settle(ctx context.Context, _ wire.Process, args wire.HoldBillsArgs) bool {
	return r.peers.Call(ctx, r.address, "HoldBills", args, &wire.HoldBillsReply{}) == nil
}

func (r remote) Live(wire.Process) bool { return true }

// BenchmarkAdd measures what an answer waits for its bill, without a second
// node and with its copy there, over loopback; the way between data centres
// comes on top.
func BenchmarkAdd(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, err := wire.NewServer(l, benchSecret, keeper{bills: NewBills(nil, nil, nil)})
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	defer s.Close()
	peers := wire.NewPeers(benchSecret, wire.TCP)
	defer peers.Close()
	for _, c := range []struct {
		name   string
		copies Copies
	}{{"without", nil}, {"with", remote{peers, l.Addr().String()}}} {
		b.Run(c.name, func(b *testing.B) {
			bills := NewBills(standin.NewTable(), c.copies, nil)
			ctx := context.Background()
			n := 0
			for b.Loop() {
				n++
				bills.Add(ctx, wire.Bill{
					Request: fmt.Sprintf("%032d", n), Organisation: "virtanen-lahti", Target: config.Target{Model: "kuski", Version: "v1"},
					PromptTokens: 400, Tokens: 337, CostMicros: 1000, At: time.Now(),
				})
				if n%billBatch == 0 {
					_ = bills.Flush(ctx)
				}
			}
		})
	}
}
