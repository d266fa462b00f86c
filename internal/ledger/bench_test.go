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

// backupServer keeps backups of bills at the other end of a connection. It
// answers no other call.
type backupServer struct {
	wire.Handler
	bills *Bills
}

func (s backupServer) HoldBills(args wire.HoldBillsArgs, reply *wire.HoldBillsReply) error {
	reply.Holder = wire.Process{Node: "keeper", Incarnation: 1}
	return s.bills.KeepBackups(args)
}

// backupClient sends backups to a backupServer.
type backupClient struct {
	peers   *wire.Peers
	address string
}

func (c backupClient) Backup(ctx context.Context, args wire.HoldBillsArgs) wire.Process {
	args.From = wire.Process{Node: "entry-1", Incarnation: 1}
	reply := &wire.HoldBillsReply{}
	if c.peers.Call(ctx, c.address, "HoldBills", args, reply) != nil {
		return wire.Process{}
	}
	return reply.Holder
}

func (c backupClient) ReportStored(ctx context.Context, _ wire.Process, args wire.HoldBillsArgs) bool {
	return c.peers.Call(ctx, c.address, "HoldBills", args, &wire.HoldBillsReply{}) == nil
}

func (c backupClient) IsLive(wire.Process) bool { return true }

// BenchmarkAdd measures how long an answer waits for its bill, without a second
// node and with a backup there, over loopback. The network delay between data
// centres is not included.
func BenchmarkAdd(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, err := wire.NewServer(l, benchSecret, backupServer{bills: NewBills(nil, nil, nil)})
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	defer s.Close()
	peers := wire.NewPeers(benchSecret, wire.DialTCP)
	defer peers.Close()
	for _, c := range []struct {
		name        string
		backupPeers BackupPeers
	}{{"without", nil}, {"with", backupClient{peers, l.Addr().String()}}} {
		b.Run(c.name, func(b *testing.B) {
			bills := NewBills(standin.NewTable(), c.backupPeers, nil)
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
