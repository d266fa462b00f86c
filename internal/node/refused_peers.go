package node

import (
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// refusedPeers records the peers with which this node can't exchange messages
// until an operator intervenes. It is safe for concurrent use.
type refusedPeers struct {
	mu        sync.Mutex
	lastError map[string]string // guarded by mu; by inner address
}

// record records the result of a call and reports whether the peer is newly
// refused.
func (r *refusedPeers) record(address string, err error) bool {
	var version *wire.VersionError
	isRefusal := errors.As(err, &version) || errors.Is(err, wire.ErrUnauthenticated)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		delete(r.lastError, address)
		return false
	case !isRefusal || r.lastError[address] == err.Error():
		return false
	}
	if r.lastError == nil {
		r.lastError = map[string]string{}
	}
	r.lastError[address] = err.Error()
	return true
}

// logIfRefused logs once that a peer has another protocol version or secret.
func (n *Node) logIfRefused(address string, err error) {
	if n.refusedPeers.record(address, err) {
		n.options.Log.Warn("a peer is refused", zap.String("inner", address), zap.Error(err))
	}
}
