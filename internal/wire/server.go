package wire

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

const (
	serviceName = "Node"
	linkName    = "Link"
	// maxConns bounds the connections that a node accepts from peers.
	maxConns = 2048
)

// Link is the RPC service that checks connections and answers calls above the
// limit.
type Link struct{}

// Empty is a message without content.
type Empty struct{}

// Ping answers at once.
func (Link) Ping(Empty, *Empty) error { return nil }

// Busy returns ErrBusy. It replaces calls above the limit of a connection.
func (Link) Busy(Empty, *Empty) error { return ErrBusy }

// Server serves peers on one listener.
type Server struct {
	secret   []byte
	versions Versions
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{} // guarded by mu
	isClosed bool                  // guarded by mu
}

// NewServer returns a server that handles the calls of listener's peers with h.
func NewServer(listener net.Listener, secret string, h Handler) (*Server, error) {
	s := &Server{secret: []byte(secret), versions: SupportedVersions, rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(serviceName, h); err != nil {
		return nil, errors.Wrap(err, "register handler")
	}
	return s, errors.Wrap(s.rpc.RegisterName(linkName, Link{}), "register link")
}

// Serve accepts peers until the listener is closed.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// add registers a connection. It returns false above maxConns and after Close.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed || len(s.conns) >= maxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serveConn performs the handshake and then answers calls until the connection
// closes.
func (s *Server) serveConn(conn net.Conn) {
	defer s.remove(conn)
	if err := challenge(conn, s.secret, s.versions); err != nil {
		conn.Close()
		return
	}
	s.rpc.ServeCodec(newServerCodec(conn))
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for conn := range s.conns {
		conn.Close()
	}
	return err
}
