package wire

import (
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const secret = "a secret of the tests"

// echo answers Exchange; the other calls of a node are not used here.
type echo struct {
	Handler
	wait time.Duration
}

func (e *echo) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	time.Sleep(e.wait)
	reply.From = args.From
	return nil
}

// frozenConn is a connection whose peer can freeze: it stays open and brings
// nothing.
type frozenConn struct {
	net.Conn
	frozen *atomic.Bool
	closed chan struct{}
}

func (c *frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.frozen.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *frozenConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// pipes is a listener whose connections are in memory.
type pipes struct {
	queue  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes { return &pipes{queue: make(chan net.Conn), closed: make(chan struct{})} }

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipes) Close() error   { close(l.closed); return nil }
func (l *pipes) Addr() net.Addr { return &net.UnixAddr{} }

func (l *pipes) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.queue <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve runs a server for the length of a bubble.
func serve(h Handler) (*pipes, *Server) {
	l := newPipes()
	s, err := NewServer(l, secret, h)
	if err != nil {
		panic(err)
	}
	go s.Serve()
	return l, s
}

// A call on a connection whose peer froze fails long before its deadline, and
// later calls open a new connection.
func TestFrozenPeerIsDropped(t *testing.T) {
	is := is.New(t)
	var waited time.Duration
	var first, second error
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echo{})
		frozen := &atomic.Bool{}
		peers := NewPeers(secret, func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := l.dial(ctx, address)
			return &frozenConn{Conn: conn, frozen: frozen, closed: make(chan struct{})}, err
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = peers.Call(ctx, "peer", "Exchange", News{}, &News{})
		frozen.Store(true)
		start := time.Now()
		first = peers.Call(ctx, "peer", "Exchange", News{}, &News{})
		waited = time.Since(start)
		frozen.Store(false)
		time.Sleep(time.Second)
		second = peers.Call(ctx, "peer", "Exchange", News{From: "a"}, &News{})
		peers.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	is.True(errors.Is(first, ErrPeer))
	is.True(waited <= 3*silentAfter) // the peer was found out
	is.NoErr(second)
}

// A call that its peer works on for long is not cut off.
func TestSlowCallIsNotCut(t *testing.T) {
	is := is.New(t)
	var err error
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echo{wait: time.Minute})
		peers := NewPeers(secret, l.dial)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		err = peers.Call(ctx, "peer", "Exchange", News{}, &News{})
		peers.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	is.NoErr(err)
}

// Peers with another secret are refused, on either side.
func TestStrangersAreRefused(t *testing.T) {
	is := is.New(t)
	var err error
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echo{})
		peers := NewPeers("another secret altogether", l.dial)
		err = peers.Call(context.Background(), "peer", "Exchange", News{}, &News{})
		peers.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	is.True(errors.Is(err, ErrStranger))
}

// A connection that says nothing is closed.
func TestSilentStrangerIsClosed(t *testing.T) {
	is := is.New(t)
	var err error
	var waited time.Duration
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echo{})
		conn, _ := l.dial(context.Background(), "peer")
		start := time.Now()
		buf := make([]byte, 1024)
		for err == nil {
			_, err = conn.Read(buf)
		}
		waited = time.Since(start)
		s.Close()
		time.Sleep(time.Minute)
	})
	is.True(err != nil)
	is.True(waited <= 2*handshakeTimeout)
}

// A message above the bound ends the connection instead of filling the
// memory.
func TestTooLargeMessageIsRefused(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() {
		enc := gob.NewEncoder(near)
		_ = enc.Encode(rpc.Request{ServiceMethod: "Node.Exchange", Seq: 1})
		_ = enc.Encode(News{From: string(make([]byte, MaxMessageBytes+1))})
	}()
	codec := newServerCodec(far)
	is.NoErr(codec.ReadRequestHeader(&rpc.Request{}))
	err := codec.ReadRequestBody(&News{})
	is.True(err != nil)
	is.True(errors.Is(err, ErrTooLarge))
	near.Close()
}
