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

// echoHandler answers Exchange after a wait. Its other methods are not
// implemented.
type echoHandler struct {
	Handler
	wait time.Duration
}

func (e *echoHandler) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	time.Sleep(e.wait)
	reply.From = args.From
	return nil
}

// frozenConn simulates a connection to a peer that can freeze: it stays open but
// delivers no bytes.
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

// pipeListener is a listener of in-memory connections.
type pipeListener struct {
	queue  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{queue: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// dial is a dial function for Peers that connects to the listener.
func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.queue <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve starts a server on in-memory connections, for use within a synctest
// bubble.
func serve(h Handler) (*pipeListener, *Server) {
	l := newPipeListener()
	s, err := NewServer(l, secret, h)
	if err != nil {
		panic(err)
	}
	go s.Serve()
	return l, s
}

// A call to a frozen peer, whose connection stays open, fails long before its
// deadline. Later calls open a new connection.
func TestFrozenPeerIsDropped(t *testing.T) {
	is := is.New(t)
	var waited time.Duration
	var first, second error
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echoHandler{})
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
	is.True(errors.Is(first, ErrPeerUnreachable))
	is.True(waited <= 3*silenceLimit) // the silence was detected
	is.NoErr(second)
}

// A call that the peer takes long to answer does not fail as silent.
func TestSlowCallIsNotCut(t *testing.T) {
	is := is.New(t)
	var err error
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echoHandler{wait: time.Minute})
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

// A peer with another secret is refused.
func TestWrongSecretIsRefused(t *testing.T) {
	is := is.New(t)
	var err error
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echoHandler{})
		peers := NewPeers("another secret altogether", l.dial)
		err = peers.Call(context.Background(), "peer", "Exchange", News{}, &News{})
		peers.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
	is.True(errors.Is(err, ErrUnauthenticated))
}

// A connection that never answers the handshake is closed.
func TestSilentConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	var err error
	var waited time.Duration
	synctest.Test(t, func(*testing.T) {
		l, s := serve(&echoHandler{})
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

// A message above the limit ends the connection instead of exhausting the
// memory.
func TestTooLargeMessageIsRefused(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	go func() {
		enc := gob.NewEncoder(client)
		_ = enc.Encode(rpc.Request{ServiceMethod: "Node.Exchange", Seq: 1})
		_ = enc.Encode(News{From: string(make([]byte, MaxMessageBytes+1))})
	}()
	codec := newServerCodec(server)
	is.NoErr(codec.ReadRequestHeader(&rpc.Request{}))
	err := codec.ReadRequestBody(&News{})
	is.True(err != nil)
	is.True(errors.Is(err, ErrTooLarge))
	client.Close()
}
