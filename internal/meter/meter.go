// Package meter instruments a node's outgoing calls and its connections to
// other nodes: it counts, times and traces calls to owners, backend servers and
// the platform's services, and counts the bytes exchanged with other nodes.
package meter

import (
	"context"
	"net"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Results of a wait at an owner.
const (
	resultGranted  = "granted"
	resultRefused  = "refused"
	resultNotOwner = "not_owner"
	resultNoAnswer = "no_answer"
)

// OwnerClient counts and traces requests for slots on replicas.
type OwnerClient struct {
	Next    dispatch.OwnerClient
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
}

var _ dispatch.OwnerClient = OwnerClient{}

// Acquire implements dispatch.OwnerClient.
func (c OwnerClient) Acquire(ctx context.Context, owner string, args wire.AcquireArgs) (wire.AcquireReply, error) {
	ctx, span := c.Tracer.Start(ctx, "place")
	span.SetString("owner", owner)
	span.SetString("replica", args.Replica)
	args.Trace = telemetry.TraceParent(ctx)
	reply, err := c.Next.Acquire(ctx, owner, args)
	result := slotResult(reply, err)
	span.SetString("result", result)
	span.End(err)
	c.Metrics.QueueTime.WithLabelValues(strconv.Itoa(args.Rank), result).Observe(reply.Queued.Seconds())
	return reply, err
}

// Release implements dispatch.OwnerClient.
func (c OwnerClient) Release(owner string, args wire.ReleaseArgs) { c.Next.Release(owner, args) }

func slotResult(reply wire.AcquireReply, err error) string {
	switch {
	case err != nil:
		return resultNoAnswer
	case reply.Granted:
		return resultGranted
	case reply.NotOwner:
		return resultNotOwner
	default:
		return resultRefused
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	in, out prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(float64(n))
	return n, err
}

func countBytes(conn net.Conn, m *telemetry.Metrics) net.Conn {
	return &countedConn{Conn: conn, in: m.InnerBytes.WithLabelValues("in"), out: m.InnerBytes.WithLabelValues("out")}
}

// Dial returns a wire.DialFunc that counts the bytes of the connections that
// dial opens.
func Dial(dial wire.DialFunc, m *telemetry.Metrics) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return countBytes(conn, m), nil
	}
}

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	metrics *telemetry.Metrics
}

// Listener returns a listener that counts the bytes of the connections that l
// accepts.
func Listener(l net.Listener, m *telemetry.Metrics) net.Listener {
	return listener{Listener: l, metrics: m}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countBytes(conn, l.metrics), nil
}
