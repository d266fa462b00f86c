// Package record keeps a bounded account of what a node did with recent
// requests.
package record

import (
	"fmt"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Bounds of the account.
const (
	maxRequests = 4096
	maxSteps    = 64
)

// Log keeps the newest requests' steps. It is safe for concurrent use.
type Log struct {
	node  string
	mu    sync.Mutex
	steps map[string][]wire.Step // guarded by mu
	order []string               // guarded by mu; oldest first
}

// NewLog returns an empty log of the given node.
func NewLog(node string) *Log { return &Log{node: node, steps: map[string][]wire.Step{}} }

// Add notes one step of a request.
func (l *Log) Add(request, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps, known := l.steps[request]
	if !known {
		l.order = append(l.order, request)
	}
	if len(steps) >= maxSteps {
		return
	}
	l.steps[request] = append(steps, wire.Step{At: time.Now(), Node: l.node, Text: fmt.Sprintf(format, args...)})
	if len(l.order) > maxRequests {
		delete(l.steps, l.order[0])
		l.order = l.order[1:]
	}
}

// Steps returns the steps of a request, none if it is unknown.
func (l *Log) Steps(request string) []wire.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]wire.Step(nil), l.steps[request]...)
}
