package node

import (
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// refusals remembers which peers cannot be talked to until an operator acts.
// It is safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	last map[string]string // guarded by mu; by inner address
}

// note takes the end of a call. It tells whether the peer was refused anew.
func (r *refusals) note(address string, err error) bool {
	var version *wire.VersionError
	refused := errors.As(err, &version) || errors.Is(err, wire.ErrStranger)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		delete(r.last, address)
		return false
	case !refused || r.last[address] == err.Error():
		return false
	}
	if r.last == nil {
		r.last = map[string]string{}
	}
	r.last[address] = err.Error()
	return true
}

// noteExchange logs that a peer is of another version or secret, once.
func (n *Node) noteExchange(address string, err error) {
	if n.refusals.note(address, err) {
		n.options.Log.Warn("a peer is refused", zap.String("inner", address), zap.Error(err))
	}
}
