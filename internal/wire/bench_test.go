package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// benchHandler answers the measured calls at once.
type benchHandler struct{ Handler }

func (benchHandler) Exchange(_ ExchangeArgs, reply *ExchangeReply) error {
	*reply = sampleNews(20)
	return nil
}
func (benchHandler) Acquire(_ AcquireArgs, reply *AcquireReply) error {
	reply.Granted = true
	return nil
}
func (benchHandler) Release(ReleaseArgs, *ReleaseReply) error       { return nil }
func (benchHandler) HoldBills(HoldBillsArgs, *HoldBillsReply) error { return nil }

// sampleNews returns a gossip message of usual size with the given number of
// heartbeats.
func sampleNews(heartbeats int) News {
	n := News{From: "entry-123", Incarnation: 1_790_000_000_000_000_000, Base: 1_000_000, Next: 1_000_100, Have: Position{Incarnation: 1_790_000_000_000_000_000, Index: 1_000_000}, Revision: 1000}
	for i := range heartbeats {
		n.Beats = append(n.Beats, Beat{Node: uint64(i) * 0x9e3779b97f4a7c15, Count: 100_000})
	}
	return n
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serveLoopback serves benchHandler on the loopback interface until the benchmark
// ends. It returns the server's address, peers to call it with, and a count of
// their bytes.
func serveLoopback(b *testing.B) (address string, peers *Peers, bytes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, err := NewServer(l, secret, benchHandler{})
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	b.Cleanup(func() { s.Close() })
	bytes = &atomic.Int64{}
	peers = NewPeers(secret, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := DialTCP(ctx, address)
		return countingConn{conn, bytes}, err
	})
	b.Cleanup(peers.Close)
	return l.Addr().String(), peers, bytes
}

// BenchmarkCalls measures the time and bytes of one call and its answer over the
// loopback interface, including the work of both ends.
func BenchmarkCalls(b *testing.B) {
	id := "0123456789abcdef0123456789abcdef"
	bill := Bill{Request: id, Organisation: "virtanen-lahti", Target: config.Target{Model: "kuski", Version: "v1"}, PromptTokens: 400, Tokens: 337, CostMicros: 1000, At: time.Now()}
	for _, c := range []struct {
		method      string
		args, reply any
	}{
		{"Exchange", sampleNews(20), &News{}},
		{"Acquire", AcquireArgs{Grant: id, Node: "entry-123", Incarnation: 1_790_000_000_000_000_000, Replica: "engine-17", Target: bill.Target, Organisation: bill.Organisation, Caller: "caller-1", Rank: 1, Tokens: 337, Wait: time.Minute, Fingerprint: 1 << 60}, &AcquireReply{}},
		{"Release", ReleaseArgs{Grant: id, Replica: "engine-17", Tokens: 337, FirstToken: time.Second, TokenInterval: 40 * time.Millisecond}, &ReleaseReply{}},
		{"HoldBills", HoldBillsArgs{From: Process{Node: "entry-123", Incarnation: 1_790_000_000_000_000_000}, First: 1000, Bills: []Bill{bill}, StoredBelow: 900}, &HoldBillsReply{}},
	} {
		b.Run(c.method, func(b *testing.B) {
			address, peers, bytes := serveLoopback(b)
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
