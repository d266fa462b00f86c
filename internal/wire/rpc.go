package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	serviceName      = "Node"
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
	dialTimeout      = time.Second
)

// Errors of the protocol.
var (
	// ErrStranger means that the peer does not know the shared secret.
	ErrStranger = errors.New("the peer does not know the inner secret: set the same inner_secret on all nodes")
	// ErrPeer means that the peer could not be reached or did not answer.
	ErrPeer = errors.New("the peer did not answer: it is taken for dead until it does")
)

// Server answers peers on one listener.
type Server struct {
	secret   []byte
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{} // guarded by mu
}

// NewServer returns a server that answers with h on listener.
func NewServer(listener net.Listener, secret string, h Handler) (*Server, error) {
	s := &Server{secret: []byte(secret), rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(serviceName, h); err != nil {
		return nil, errors.Wrap(err, "register handler")
	}
	return s, nil
}

// Serve accepts peers until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	if err := challenge(conn, s.secret); err != nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close stops accepting and cuts the connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	return err
}

// challenge makes a connecting peer prove that it knows the secret, and
// proves the same to it.
func challenge(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(nonce); err != nil {
		return errors.Wrap(err, "send challenge")
	}
	answer := make([]byte, sha256.Size+nonceBytes)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if subtle.ConstantTimeCompare(answer[:sha256.Size], sum(secret, "client", nonce)) != 1 {
		return ErrStranger
	}
	if _, err := conn.Write(sum(secret, "server", answer[sha256.Size:])); err != nil {
		return errors.Wrap(err, "send proof")
	}
	return conn.SetDeadline(time.Time{})
}

// respond answers a server's challenge and checks its proof.
func respond(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return errors.Wrap(err, "read challenge")
	}
	own := make([]byte, nonceBytes)
	rand.Read(own)
	if _, err := conn.Write(append(sum(secret, "client", nonce), own...)); err != nil {
		return errors.Wrap(err, "send answer")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(ErrStranger, err.Error())
	}
	if subtle.ConstantTimeCompare(proof, sum(secret, "server", own)) != 1 {
		return ErrStranger
	}
	return conn.SetDeadline(time.Time{})
}

func sum(secret []byte, role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// Dial opens a connection to a peer's inner address. Tests replace it.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// TCP is the Dial used outside tests.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Peers keeps one connection to each peer. It is safe for concurrent use.
type Peers struct {
	secret []byte
	dial   Dial
	mu     sync.Mutex
	peers  map[string]*rpc.Client // guarded by mu, by address
}

// NewPeers returns an empty set of connections.
func NewPeers(secret string, dial Dial) *Peers {
	return &Peers{secret: []byte(secret), dial: dial, peers: map[string]*rpc.Client{}}
}

func (p *Peers) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	c := p.peers[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrPeer, err.Error())
	}
	if err := respond(conn, p.secret); err != nil {
		conn.Close()
		return nil, err
	}
	fresh := rpc.NewClient(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.peers[address]; c != nil {
		fresh.Close()
		return c, nil
	}
	p.peers[address] = fresh
	return fresh, nil
}

// drop forgets a broken connection.
func (p *Peers) drop(address string, c *rpc.Client) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == c {
		delete(p.peers, address)
	}
}

// Call calls method, such as "Exchange", of the peer at address. It returns
// ErrPeer if the peer does not answer before ctx ends.
func (p *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	call := c.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errors.Wrap(ErrPeer, ctx.Err().Error())
	}
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		p.drop(address, c)
		return errors.Wrap(ErrPeer, call.Error.Error())
	}
	return call.Error
}

// Close cuts all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.peers {
		c.Close()
		delete(p.peers, address)
	}
}
