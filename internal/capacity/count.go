package capacity

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// segmentBytes is what TCP and IP add to a segment, and the size of an
// acknowledgement.
const segmentBytes = 52

// traffic counts what a node sends and receives.
type traffic struct {
	bytes    atomic.Int64
	segments atomic.Int64
}

// wireBytes returns the bytes with headers and acknowledgements.
func (t *traffic) wireBytes() float64 {
	return float64(t.bytes.Load()) + 2*segmentBytes*float64(t.segments.Load())
}

// countedConn counts what passes a connection for the node that opened it.
type countedConn struct {
	net.Conn
	near, far *traffic
}

func (c *countedConn) count(n int) {
	for _, t := range []*traffic{c.near, c.far} {
		t.bytes.Add(int64(n))
		t.segments.Add(1)
	}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.count(n)
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.count(n)
	}
	return n, err
}

// network counts the traffic of each node by its inner address.
type network struct {
	mu    sync.Mutex
	nodes map[string]*traffic // guarded by mu
}

func (n *network) of(address string) *traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.nodes[address]
	if t == nil {
		t = &traffic{}
		n.nodes[address] = t
	}
	return t
}

// dial returns the Dial of the node at an inner address.
func (n *network) dial(from string) wire.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.TCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, near: n.of(from), far: n.of(address)}, nil
	}
}

// store is the platform's stand-in with its calls counted by use.
type store struct {
	*standin.Platform
	mu    sync.Mutex
	calls map[string]int // guarded by mu
	bytes int            // guarded by mu
}

func (s *store) count(use string, reply any) {
	body, _ := json.Marshal(reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[use]++
	s.bytes += len(body)
}

// kind returns the first part of a key.
func kind(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}

// Get implements infra.Table.
func (s *store) Get(ctx context.Context, key string) (infra.Row, error) {
	row, err := s.Platform.Get(ctx, key)
	s.count("read "+kind(key), row)
	return row, err
}

// List implements infra.Table.
func (s *store) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	rows, err := s.Platform.List(ctx, prefix, after, limit)
	s.count("list "+kind(prefix), rows)
	return rows, err
}

// Commit implements infra.Table.
func (s *store) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	versions, err := s.Platform.Commit(ctx, ops...)
	s.count("write "+kind(ops[0].Key), ops)
	return versions, err
}

// GetObject implements infra.ObjectStore.
func (s *store) GetObject(ctx context.Context, name string) ([]byte, error) {
	body, err := s.Platform.GetObject(ctx, name)
	s.count("object", body)
	return body, err
}

// VMs implements infra.VMList.
func (s *store) VMs(ctx context.Context) ([]infra.VM, error) {
	vms, err := s.Platform.VMs(ctx)
	s.count("vm list", vms)
	return vms, err
}

// sample is the state of all counters at one time.
type sample struct {
	shape     Shape
	at        time.Time
	processor time.Duration
	bytes     float64
	segments  float64
	wire      map[string]float64
	calls     map[string]int
	replies   int
}

// until returns what was spent between two samples.
func (s sample) until(end sample) Result {
	seconds := end.at.Sub(s.at).Seconds()
	each := seconds * float64(s.shape.Nodes)
	r := Result{
		Shape:               s.shape,
		BytesPerSecond:      (end.bytes - s.bytes) / each,
		SegmentsPerSecond:   (end.segments - s.segments) / each,
		ProcessorPercent:    100 * (end.processor - s.processor).Seconds() / each,
		StoreBytesPerSecond: float64(end.replies-s.replies) / each,
		Store:               map[string]float64{},
	}
	total := 0.0
	for address, wire := range end.wire {
		spent := wire - s.wire[address]
		total += spent
		r.BusiestWirePerSecond = max(r.BusiestWirePerSecond, spent/seconds)
	}
	r.WirePerSecond = total / each
	for use, n := range end.calls {
		r.Store[use] = float64(n-s.calls[use]) / seconds
	}
	return r
}
