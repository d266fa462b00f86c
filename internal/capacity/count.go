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

// segmentOverhead is the size in bytes of the TCP and IP headers of a segment,
// and of an acknowledgement.
const segmentOverhead = 52

// traffic counts the bytes and segments that a node sends and receives.
type traffic struct {
	bytes    atomic.Int64
	segments atomic.Int64
}

// wireBytes returns the bytes with headers and acknowledgements.
func (t *traffic) wireBytes() float64 {
	return float64(t.bytes.Load()) + 2*segmentOverhead*float64(t.segments.Load())
}

// countedConn counts the traffic of a connection for the nodes at both ends.
type countedConn struct {
	net.Conn
	local, remote *traffic
}

// count adds one segment of n bytes to both ends.
func (c *countedConn) count(n int) {
	for _, t := range []*traffic{c.local, c.remote} {
		t.bytes.Add(int64(n))
		t.segments.Add(1)
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.count(n)
	}
	return n, err
}

// Write implements net.Conn.
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
	nodes map[string]*traffic // guarded by mu; by inner address
}

// trafficOf returns the counters of the node at an inner address.
func (n *network) trafficOf(address string) *traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.nodes[address]
	if t == nil {
		t = &traffic{}
		n.nodes[address] = t
	}
	return t
}

// dial returns the function with which the node at an inner address dials
// others.
func (n *network) dial(from string) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, local: n.trafficOf(from), remote: n.trafficOf(address)}, nil
	}
}

// countingStore is the platform's stand-in. It counts calls by kind and the
// bytes of replies and written rows.
type countingStore struct {
	*standin.Platform
	mu         sync.Mutex
	calls      map[string]int // guarded by mu
	replyBytes int            // guarded by mu
}

// count records one call of a kind and the size of its reply, or of the rows that
// it writes, as JSON.
func (s *countingStore) count(callKind string, reply any) {
	body, _ := json.Marshal(reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[callKind]++
	s.replyBytes += len(body)
}

// tableName returns the part of a key before its first slash.
func tableName(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}

// Get implements infra.Table.
func (s *countingStore) Get(ctx context.Context, key string) (infra.Row, error) {
	row, err := s.Platform.Get(ctx, key)
	s.count("read "+tableName(key), row)
	return row, err
}

// List implements infra.Table.
func (s *countingStore) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	rows, err := s.Platform.List(ctx, prefix, after, limit)
	s.count("list "+tableName(prefix), rows)
	return rows, err
}

// Commit implements infra.Table.
func (s *countingStore) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	versions, err := s.Platform.Commit(ctx, ops...)
	s.count("write "+tableName(ops[0].Key), ops)
	return versions, err
}

// GetObject implements infra.ObjectStore.
func (s *countingStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	body, err := s.Platform.GetObject(ctx, name)
	s.count("object", body)
	return body, err
}

// VMs implements infra.VMList.
func (s *countingStore) VMs(ctx context.Context) ([]infra.VM, error) {
	vms, err := s.Platform.VMs(ctx)
	s.count("vm list", vms)
	return vms, err
}

// sample holds the values of all counters at one time.
type sample struct {
	shape      Shape
	at         time.Time
	cpuTime    time.Duration
	bytes      float64
	segments   float64
	wireBytes  map[string]float64 // by node
	storeCalls map[string]int
	replyBytes int
}

// usageUntil returns the cost between two samples.
func (s sample) usageUntil(end sample) Result {
	seconds := end.at.Sub(s.at).Seconds()
	nodeSeconds := seconds * float64(s.shape.Nodes)
	r := Result{
		Shape:               s.shape,
		BytesPerSecond:      (end.bytes - s.bytes) / nodeSeconds,
		SegmentsPerSecond:   (end.segments - s.segments) / nodeSeconds,
		CPUPercent:          100 * (end.cpuTime - s.cpuTime).Seconds() / nodeSeconds,
		StoreBytesPerSecond: float64(end.replyBytes-s.replyBytes) / nodeSeconds,
		StoreCallsPerSecond: map[string]float64{},
	}
	total := 0.0
	for address, wireBytes := range end.wireBytes {
		used := wireBytes - s.wireBytes[address]
		total += used
		r.BusiestWirePerSecond = max(r.BusiestWirePerSecond, used/seconds)
	}
	r.WirePerSecond = total / nodeSeconds
	for callKind, n := range end.storeCalls {
		r.StoreCallsPerSecond[callKind] = float64(n-s.storeCalls[callKind]) / seconds
	}
	return r
}
