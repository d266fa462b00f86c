package standin

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// maxEventBatch bounds one answer with cache events.
const maxEventBatch = 512

// report returns the present load.
func (e *Engine) report() backend.LoadReport {
	running := min(len(e.streams), e.options.Slots)
	kv := 0
	for _, s := range e.streams {
		kv += PromptTokens(s.req.Prompt) + s.next
	}
	return backend.LoadReport{
		Running:             running,
		Waiting:             len(e.streams) - running,
		KVTokens:            kv,
		TokenIntervalMicros: e.interval(running).Microseconds(),
		Targets:             slices.Clone(e.targets),
		Draining:            e.draining,
		Incarnation:         e.incarnation,
	}
}

// noteLoad remembers the load so that reports can lag.
func (e *Engine) noteLoad(now time.Time) {
	e.reports = append(e.reports, timedReport{at: now, report: e.report()})
	for len(e.reports) > 1 && e.reports[1].at.Before(now.Add(-e.options.ReportLag)) {
		e.reports = e.reports[1:]
	}
}

// Load implements backend.Engine. Counts are as old as the report lag; the
// versions, the incarnation and draining are current.
func (e *Engine) Load(ctx context.Context) (backend.LoadReport, error) {
	if err := e.reach(ctx); err != nil {
		return backend.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.noteLoad(now)
	lagged := e.reports[0].report
	lagged.Targets = slices.Clone(e.targets)
	lagged.Draining = e.draining
	lagged.Incarnation = e.incarnation
	return lagged, nil
}

// reach fails if the engine cannot answer.
func (e *Engine) reach(ctx context.Context) error {
	if err := e.Faults.Enter(ctx); err != nil {
		return &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: "the engine is down"}
	}
	return nil
}

// CacheEvents implements backend.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]backend.CacheEvent, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []backend.CacheEvent{}
	for _, ev := range e.events {
		if ev.Sequence > after && len(out) < maxEventBatch {
			out = append(out, ev)
		}
	}
	return out, nil
}

// Order implements backend.Engine.
func (e *Engine) Order(ctx context.Context, order backend.Order) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && order.Fencing < e.fencing {
		return &backend.Error{Kind: backend.KindFenced, Ran: outcome.RanNo, Message: "a newer holder has given orders"}
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.orders = append(e.orders, order)
	switch order.Kind {
	case backend.OrderLoad:
		if !slices.Contains(e.targets, order.Target) {
			e.targets = append(e.targets, order.Target)
		}
	case backend.OrderUnload:
		e.targets = slices.DeleteFunc(e.targets, func(t config.Target) bool { return t == order.Target })
	case backend.OrderRole:
		e.role = order.Role
	default:
		return &backend.Error{Kind: backend.KindRejected, Ran: outcome.RanNo, Message: "unknown order " + strconv.Quote(string(order.Kind))}
	}
	if e.Faults.LoseReply() {
		return &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: "the reply was lost"}
	}
	return nil
}

// ExportKV implements backend.Engine.
func (e *Engine) ExportKV(ctx context.Context, attempt string) ([]byte, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.req.Attempt == attempt {
			return json.Marshal(s.req)
		}
	}
	return nil, &backend.Error{Kind: backend.KindRejected, Ran: outcome.RanNo, Message: "no such attempt"}
}

// ImportKV implements backend.Engine.
func (e *Engine) ImportKV(ctx context.Context, attempt string, kv []byte) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	var req backend.GenerateRequest
	if err := json.Unmarshal(kv, &req); err != nil {
		return errors.Wrap(err, "decode KV cache")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[attempt] = true
	return nil
}

// crash kills the engine: every stream breaks and nothing is answered until
// Restart. The caller holds mu.
func (e *Engine) crash() {
	e.dead = true
	for _, s := range e.streams {
		s.fail()
	}
	e.streams = nil
	e.cache = nil
}

// BreakStreams ends every stream with an error, while the engine lives on.
func (e *Engine) BreakStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.fail()
	}
	e.streams = nil
}

// Crash kills the engine.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Restart brings a dead engine back as a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = false
	e.draining = false
	e.incarnation += "+"
	e.targets = slices.Clone(e.options.Targets)
}

// Drain makes the engine refuse new work.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Dead tells whether the engine is down.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Streams returns how many streams the engine holds, running or waiting in
// its own queue.
func (e *Engine) Streams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// Runs returns every attempt started so far.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Orders returns every order carried out so far.
func (e *Engine) Orders() []backend.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
