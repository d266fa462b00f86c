// Package record keeps a bounded log of the steps that a node took for recent
// requests.
package record

import (
	"fmt"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// Bounds of the log.
const (
	maxRequests  = 4096
	maxSteps     = 64
	maxStepBytes = 512
	// maxBytes bounds the memory of the log; stepBytes is the size of a step
	// without its text, entryBytes that of a request without its steps.
	maxBytes   = 8 << 20
	stepBytes  = 56
	entryBytes = 256
)

// entry holds the steps of one request.
type entry struct {
	steps []wire.Step
	alias string
	bytes int
}

// Log keeps the steps of the newest requests. It is safe for concurrent use.
type Log struct {
	node    string
	mu      sync.Mutex
	entries map[string]*entry // guarded by mu
	aliases map[string]string // guarded by mu; request IDs by the callers' own IDs
	order   []string          // guarded by mu; oldest first
	bytes   int               // guarded by mu
}

// NewLog returns an empty log of the given node.
func NewLog(node string) *Log {
	return &Log{node: node, entries: map[string]*entry{}, aliases: map[string]string{}}
}

// Add records one step of a request. Text beyond maxStepBytes is cut and steps
// beyond maxSteps are dropped; the oldest requests are deleted to make room for
// new ones.
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
	l.addBytes(e, stepBytes+len(text))
}

// Alias makes a request also available under its caller's own ID. If several
// requests have the same ID, the newest is found.
func (l *Log) Alias(externalID, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(request)
	if e.alias != "" {
		return
	}
	e.alias = externalID
	l.aliases[externalID] = request
	l.addBytes(e, 2*len(externalID))
}

// entry returns the entry of a request and creates it if necessary. The caller
// holds mu.
func (l *Log) entry(request string) *entry {
	e := l.entries[request]
	if e == nil {
		e = &entry{}
		l.entries[request] = e
		l.order = append(l.order, request)
		l.addBytes(e, entryBytes)
	}
	return e
}

// addBytes adds to the size of an entry, and deletes the oldest entries until
// the bounds hold or one entry is left. The caller holds mu.
func (l *Log) addBytes(e *entry, bytes int) {
	e.bytes += bytes
	l.bytes += bytes
	for len(l.order) > 1 && (len(l.order) > maxRequests || l.bytes > maxBytes) {
		l.drop(l.order[0])
		l.order = l.order[1:]
	}
}

// drop deletes the entry of one request. The caller holds mu.
func (l *Log) drop(request string) {
	e := l.entries[request]
	l.bytes -= e.bytes
	delete(l.entries, request)
	if l.aliases[e.alias] == request {
		delete(l.aliases, e.alias)
	}
}

// Steps returns the steps of a request, by its ID or its caller's own ID; nil
// if it is unknown.
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
