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
	maxRequests  = 4096
	maxSteps     = 64
	maxStepBytes = 512
	// maxBytes bounds the whole account; stepBytes is what a step takes
	// beside its text, entryBytes what a request takes beside its steps.
	maxBytes   = 8 << 20
	stepBytes  = 56
	entryBytes = 256
)

// entry is the account of one request.
type entry struct {
	steps []wire.Step
	alias string
	bytes int
}

// Log keeps the newest requests' steps. It is safe for concurrent use.
type Log struct {
	node    string
	mu      sync.Mutex
	entries map[string]*entry // guarded by mu
	aliases map[string]string // guarded by mu; requests by their callers' own identity
	order   []string          // guarded by mu; oldest first
	bytes   int               // guarded by mu
}

// NewLog returns an empty log of the given node.
func NewLog(node string) *Log {
	return &Log{node: node, entries: map[string]*entry{}, aliases: map[string]string{}}
}

// Add notes one step of a request. Steps past the bounds are dropped, and the
// oldest requests make room for new ones.
func (l *Log) Add(request, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	text = text[:min(len(text), maxStepBytes)]
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(request)
	if len(e.steps) >= maxSteps {
		return
	}
	e.steps = append(e.steps, wire.Step{At: time.Now(), Node: l.node, Text: text})
	l.grow(e, stepBytes+len(text))
}

// Alias lets a request be found by its caller's own identity as well; the
// newest request with that identity is the one found.
func (l *Log) Alias(own, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(request)
	if e.alias != "" {
		return
	}
	e.alias = own
	l.aliases[own] = request
	l.grow(e, 2*len(own))
}

// entry returns the account of a request, a new one if need be. The caller
// holds mu.
func (l *Log) entry(request string) *entry {
	e := l.entries[request]
	if e == nil {
		e = &entry{}
		l.entries[request] = e
		l.order = append(l.order, request)
		l.grow(e, entryBytes)
	}
	return e
}

// grow notes that an entry takes more memory, and drops the oldest entries
// but for the newest one until the bounds hold. The caller holds mu.
func (l *Log) grow(e *entry, bytes int) {
	e.bytes += bytes
	l.bytes += bytes
	for len(l.order) > 1 && (len(l.order) > maxRequests || l.bytes > maxBytes) {
		l.drop(l.order[0])
		l.order = l.order[1:]
	}
}

// drop forgets one request. The caller holds mu.
func (l *Log) drop(request string) {
	e := l.entries[request]
	l.bytes -= e.bytes
	delete(l.entries, request)
	if l.aliases[e.alias] == request {
		delete(l.aliases, e.alias)
	}
}

// Steps returns the steps of a request, by its identity or by its caller's
// own; none if it is unknown.
func (l *Log) Steps(request string) []wire.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[request]
	if e == nil {
		e = l.entries[l.aliases[request]]
	}
	if e == nil {
		return nil
	}
	return append([]wire.Step(nil), e.steps...)
}
