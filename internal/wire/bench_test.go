package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// answerAll answers the calls whose cost is measured.
type answerAll struct{ Handler }

func (answerAll) Exchange(_ ExchangeArgs, reply *ExchangeReply) error {
	*reply = someNews(20)
	return nil
}
func (answerAll) Acquire(_ AcquireArgs, reply *AcquireReply) error {
	reply.Granted = true
	return nil
}
func (answerAll) Release(ReleaseArgs, *ReleaseReply) error       { return nil }
func (answerAll) HoldBills(HoldBillsArgs, *HoldBillsReply) error { return nil }

// someNews is an ordinary message between two nodes.
func someNews(beats int) News {
	n := News{From: "entry-123", Incarnation: 1_790_000_000_000_000_000, Base: 1_000_000, Next: 1_000_100, Have: Position{Incarnation: 1_790_000_000_000_000_000, Index: 1_000_000}, Revision: 1000}
	for i := range beats {
		n.Beats = append(n.Beats, Beat{Node: uint64(i) * 0x9e3779b97f4a7c15, Count: 100_000})
	}
	return n
}

// counter counts what passes a connection.
type counter struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// loopback serves answerAll on loopback until the benchmark ends, and returns
// its address, peers to call it with, and a count of their bytes.
func loopback(b *testing.B) (address string, peers *Peers, bytes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, err := NewServer(l, secret, answerAll{})
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	b.Cleanup(func() { s.Close() })
	bytes = &atomic.Int64{}
	peers = NewPeers(secret, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := TCP(ctx, address)
		return counter{conn, bytes}, err
	})
	b.Cleanup(peers.Close)
	return l.Addr().String(), peers, bytes
}

// BenchmarkCalls measures time and bytes of one call and its answer over
// loopback, both ends together.
func BenchmarkCalls(b *testing.B) {
	id := "0123456789abcdef0123456789abcdef"
	bill := Bill{Request: id, Organisation: "virtanen-lahti", Target: config.Target{Model: "kuski", Version: "v1"}, PromptTokens: 400, Tokens: 337, CostMicros: 1000, At: time.Now()}
	for _, c := range []struct {
		method      string
		args, reply any
	}{
		{"Exchange", someNews(20), &News{}},
		{"Acquire", AcquireArgs{Grant: id, Node: "entry-123", Incarnation: 1_790_000_000_000_000_000, Replica: "engine-17", Target: bill.Target, Organisation: bill.Organisation, Caller: "caller-1", Rank: 1, Tokens: 337, Wait: time.Minute, Fingerprint: 1 << 60}, &AcquireReply{}},
		{"Release", ReleaseArgs{Grant: id, Replica: "engine-17", Tokens: 337, FirstToken: time.Second, TokenInterval: 40 * time.Millisecond}, &ReleaseReply{}},
		{"HoldBills", HoldBillsArgs{From: Process{Node: "entry-123", Incarnation: 1_790_000_000_000_000_000}, First: 1000, Bills: []Bill{bill}, StoredBelow: 900}, &HoldBillsReply{}},
	} {
		b.Run(c.method, func(b *testing.B) {
			address, peers, bytes := loopback(b)
			ctx := context.Background()
			for range 10 {
				_ = peers.Call(ctx, address, c.method, c.args, c.reply)
			}
			bytes.Store(0)
			for b.Loop() {
				if err := peers.Call(ctx, address, c.method, c.args, c.reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/call")
		})
	}
}
