package gossip

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// Peer is a connection to one other node, with the position up to which its log was
// received. It is used by one goroutine at a time.
type Peer struct {
	Address string
	// IsHub marks the hub of this node, which gets the rows of upward tables.
	IsHub        bool
	epoch        uint64
	position     uint64
	sentPosition uint64   // position of the local log up to which rows were sent
	wantedHashes []uint64 // hashes of rows that the peer requested
	receivesFrom []uint64 // epochs of the processes that the peer receives from directly
	needsDigest  bool     // the next question carries a digest
	isBehind     bool     // the last answer was partial
	mu           sync.Mutex
	client       *rpc.Client // guarded by mu
}

// NewPeer returns a peer that is not yet connected.
func NewPeer(address string) *Peer { return &Peer{Address: address} }

// connect returns the client of the peer, dialling if it is not connected.
func (p *Peer) connect(ctx context.Context) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		return p.client, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	// Another connection may lead to another process, so both sides compare digests again.
	p.client, p.needsDigest, p.wantedHashes = rpc.NewClient(conn), true, nil
	return p.client, nil
}

// Close ends the connection.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}
