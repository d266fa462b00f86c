package edge

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/probe"
	"github.com/cowslipfall/cowslipfall/internal/tcp"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// relayPreface and framedRelayPreface are the first byte on a connection that is to be
	// relayed, unchanged or in frames. No message of net/rpc begins with either. Nodes of
	// earlier releases know only the first.
	relayPreface       = 0x9d
	framedRelayPreface = 0x9e
	// relayTimeout bounds the time until a node has connected to a server for another one:
	// two round trips of up to 40 ms each and the time that a busy node takes.
	relayTimeout = 250 * time.Millisecond
	// relayBackoff is how long a node that did not reach a server is asked after others.
	relayBackoff = time.Second
	// maxRelayAsks is how many nodes are asked to reach a server.
	maxRelayAsks = 2
	// maxRelayed bounds the connections that a node relays at once. Each takes two of its
	// descriptors, of which the smallest nodes have about 3,000.
	maxRelayed = 512
	// maxAddressBytes bounds the address in a request to relay.
	maxAddressBytes = 128
	// relayAccepted is the answer to a request to relay once the server is connected.
	relayAccepted = "ok"
	// relayDrainPoll is how often a node that stops checks whether connections are relayed.
	relayDrainPoll = 20 * time.Millisecond
)

// ErrNotRelayed is returned if no other node connects to a backend server. The server is
// down, or all nodes are cut off from it: try another server.
var ErrNotRelayed = errors.New("no other node reaches the backend server")

// relay carries connections to backend servers for nodes that do not reach them, and opens
// such connections at other nodes. It changes none of the bytes: what is sent, repeated and
// granted is decided by the node that took the request.
type relay struct {
	node    *Node
	dial    forward.Dial // to backend servers
	source  net.Addr     // the local address that other nodes know
	carried atomic.Int32 // connections relayed for other nodes
	mu      sync.Mutex
	failed  map[string]time.Time // guarded by mu; by inner address, when a node last did not connect
}

func newRelay(n *Node, dial forward.Dial) *relay {
	r := &relay{node: n, dial: dial, failed: map[string]time.Time{}}
	if r.dial == nil {
		r.dial = forward.TCP
	}
	if ip := net.ParseIP(n.options.Settings.IP); ip != nil {
		r.source = &net.TCPAddr{IP: ip}
	}
	return r
}

// open connects to a backend server through another node. It implements forward.Dial.
func (r *relay) open(ctx context.Context, _, address string) (net.Conn, error) {
	for _, c := range r.candidates(time.Now()) {
		conn, err := r.ask(ctx, c, address)
		if err == nil {
			r.count("opened")
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.count("refused")
		r.mu.Lock()
		r.failed[c.Inner] = time.Now()
		r.mu.Unlock()
	}
	return nil, ErrNotRelayed
}

func (r *relay) count(result string) {
	r.node.options.Metrics.Relays.WithLabelValues(result).Inc()
}

// candidates returns the nodes to ask, maxRelayAsks at most: those that reach the servers
// before others, then those that relay in frames, then those of the local data centre, in
// random order. The second is of another data centre than the first if there is one, as a
// whole one may be cut off.
func (r *relay) candidates(now time.Time) []nodeState {
	type candidate struct {
		nodeState
		draw float64
	}
	var list []candidate
	r.mu.Lock()
	rank := func(s nodeState) int {
		n := 0
		if s.CutOff || now.Sub(r.failed[s.Inner]) < relayBackoff {
			n += 4
		}
		if !s.RelaysInFrames {
			n += 2
		}
		if s.DataCentre != r.node.options.Settings.DataCentre {
			n++
		}
		return n
	}
	for _, s := range r.node.members.live() {
		if s.Inner != r.node.innerAddress && !s.Stopping && s.Relays {
			// Large nodes are drawn in proportion to their weight.
			list = append(list, candidate{s, rand.ExpFloat64() / max(s.Weight, 0.01)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(a.nodeState), rank(b.nodeState)), cmp.Compare(a.draw, b.draw))
	})
	r.mu.Unlock()
	if len(list) == 0 {
		return nil
	}
	out := []nodeState{list[0].nodeState}
	rest := list[1:]
	if i := slices.IndexFunc(rest, func(c candidate) bool { return c.DataCentre != list[0].DataCentre && !c.CutOff }); i > 0 {
		rest = rest[i:]
	}
	for _, c := range rest[:min(len(rest), maxRelayAsks-1)] {
		out = append(out, c.nodeState)
	}
	return out
}

// ask asks a node to connect to a backend server.
func (r *relay) ask(ctx context.Context, node nodeState, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	preface := byte(relayPreface)
	if node.RelaysInFrames {
		preface = framedRelayPreface
	}
	conn, err := tcp.Dialer{LocalAddr: r.source}.Dial(ctx, "tcp", node.Inner)
	if err != nil {
		return nil, errors.Wrap(err, "dial relay")
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	if _, err = conn.Write(append([]byte{preface}, address+"\n"...)); err == nil {
		err = readRelayAnswer(conn)
	}
	if !stop() || err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(cmp.Or(err, ctx.Err()), "relay %s", node.Inner)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "relayed connection")
	}
	if node.RelaysInFrames {
		return &framedConn{Conn: conn}, nil
	}
	return unframedConn{conn}, nil
}

// readRelayAnswer reads the line that answers a request to relay, and nothing after it.
func readRelayAnswer(conn net.Conn) error {
	line, err := readLine(conn)
	if err == nil && line != relayAccepted {
		err = errors.New(line)
	}
	return err
}

// readLine reads up to a line feed byte by byte, as what follows is not to be buffered.
func readLine(conn net.Conn) (string, error) {
	var line []byte
	for b := make([]byte, 1); len(line) < maxAddressBytes; {
		if _, err := io.ReadFull(conn, b); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return string(line), nil
		}
		line = append(line, b[0])
	}
	return "", errors.New("line is too long")
}

// serve answers a request of a node of an earlier release and carries the connection until it
// ends. The preface was read.
func (r *relay) serve(conn net.Conn) { r.carry(conn, splice) }

// serveFramed answers a request to relay in frames and carries the connection until it ends.
// The preface was read.
func (r *relay) serveFramed(conn net.Conn) { r.carry(conn, spliceFramed) }

// carry answers a request to relay, and lets splice pass bytes on between the peer and the
// backend server until their connections have ended.
func (r *relay) carry(conn net.Conn, splice func(peer, server net.Conn, stillServes func() bool)) {
	defer conn.Close()
	if c, ok := conn.(*net.TCPConn); ok {
		// A node that loses power closes nothing, and its server would go on working.
		if err := tcp.DetectUnresponsivePeer(c); err != nil {
			r.node.options.Log.Warn("loss of a relayed node is noticed late", telemetry.ErrorField(err))
		}
	}
	_ = conn.SetDeadline(time.Now().Add(relayTimeout))
	address, err := readLine(conn)
	if err != nil {
		return
	}
	if r.carried.Add(1) > maxRelayed {
		err = errors.New("too many relayed connections")
	}
	defer r.carried.Add(-1)
	var server net.Conn
	if err == nil {
		server, err = r.connect(conn, address)
	}
	answer := bufio.NewWriter(conn)
	if err != nil {
		r.count("denied")
		r.node.options.Log.Debug("connection is not relayed", zap.String("peer", conn.RemoteAddr().String()), zap.String("address", address), telemetry.ErrorField(err))
		_, _ = answer.WriteString(strings.ReplaceAll(err.Error(), "\n", " ") + "\n")
		_ = answer.Flush()
		return
	}
	defer server.Close()
	r.count("carried")
	_, _ = answer.WriteString(relayAccepted + "\n")
	if answer.Flush() == nil && conn.SetDeadline(time.Time{}) == nil {
		splice(conn, server, func() bool { return probe.StillServes(context.Background(), address, probe.Dial(r.dial)) })
	}
}

// connect connects to a backend server for another node. Only nodes of the fleet are served,
// only listed servers are connected to, and always directly, so that no connection is
// relayed twice.
func (r *relay) connect(peer net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(peer.RemoteAddr().String())
	if err != nil {
		return nil, err
	}
	switch {
	case r.node.stopping.Load():
		return nil, errors.New("node is stopping")
	case !r.isMember(host):
		return nil, errors.New("not a node of the fleet")
	case !r.node.pool.HasAddress(address):
		return nil, errors.New("not a backend server")
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	return r.dial(ctx, "tcp", address)
}

func (r *relay) isMember(host string) bool {
	return slices.ContainsFunc(r.node.members.live(), func(s nodeState) bool {
		h, _, err := net.SplitHostPort(s.Inner)
		return err == nil && h == host
	})
}

// drain waits until no connection is relayed or ctx ends.
func (r *relay) drain(ctx context.Context) {
	for r.carried.Load() > 0 && ctx.Err() == nil {
		loop.Sleep(ctx, relayDrainPoll)
	}
}

// splice copies in both directions until both have ended. A connection that is reset resets
// the other: a reset tells the reader of an answer without a length that it is not whole. So
// does that of a server that ended with its connection. The peer's is also reset by the kernel
// if this process ends meanwhile.
func splice(peer, server net.Conn, stillServes func() bool) {
	resetOnClose(peer)
	isReset := false
	var copies sync.WaitGroup
	var mu sync.Mutex
	for _, c := range [][2]net.Conn{{peer, server}, {server, peer}} {
		copies.Go(func() {
			_, err := io.Copy(c[0], c[1])
			if err == nil && c[1] == server && !stillServes() {
				err = forward.ErrServerBrokeOff
			}
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				isReset = true
				reset(peer)
				reset(server)
				return
			}
			closeWrite(c[0])
		})
	}
	copies.Wait()
	if !isReset {
		setLinger(peer, -1)
	}
}

// spliceFramed copies in both directions until the server's has ended, and tells the peer how.
func spliceFramed(peer, server net.Conn, stillServes func() bool) {
	go func() {
		if _, err := io.Copy(server, peer); err != nil {
			// The peer has left. A server that cannot be written to ends the other direction.
			reset(server)
			return
		}
		closeWrite(server)
	}()
	if err := sendFrames(peer, server, stillServes); err != nil {
		reset(server)
	}
}

// reset closes a connection without a regular end.
func reset(c net.Conn) {
	resetOnClose(c)
	_ = c.Close()
}

// resetOnClose makes the close of a connection a reset, also if the process ends before it.
func resetOnClose(c net.Conn) { setLinger(c, 0) }

// setLinger sets how long a close waits for data that was not acknowledged, in seconds: 0 drops
// it and resets the connection, a negative number returns to the kernel's default.
func setLinger(c net.Conn, seconds int) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(seconds)
	}
}

// closeWrite ends the sending half of a connection regularly.
func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
