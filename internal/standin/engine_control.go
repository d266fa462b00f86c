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

// maxEventsPerReply is the maximum number of cache events in one reply.
const maxEventsPerReply = 512

// currentLoad returns the current load. The caller holds mu.
func (e *Engine) currentLoad() backend.LoadReport {
	running := min(len(e.streams), e.options.Slots)
	kvTokens := 0
	for _, s := range e.streams {
		kvTokens += PromptTokens(s.req.Prompt) + s.nextToken
	}
	return backend.LoadReport{
		Running:             running,
		Waiting:             len(e.streams) - running,
		KVTokens:            kvTokens,
		TokenIntervalMicros: e.tokenInterval(running).Microseconds(),
		Targets:             slices.Clone(e.targets),
		Draining:            e.isDraining,
		Incarnation:         e.incarnation,
	}
}

// recordLoad records the current load and drops records that the report lag no
// longer needs. The caller holds mu.
func (e *Engine) recordLoad(now time.Time) {
	e.reports = append(e.reports, timedReport{at: now, report: e.currentLoad()})
	for len(e.reports) > 1 && e.reports[1].at.Before(now.Add(-e.options.ReportLag)) {
		e.reports = e.reports[1:]
	}
}

// Load implements backend.Engine. The counts are as old as the report lag; the
// versions, the incarnation and the draining state are current.
func (e *Engine) Load(ctx context.Context) (backend.LoadReport, error) {
	e.Limit.record()
	if err := e.checkReachable(ctx); err != nil {
		return backend.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.recordLoad(now)
	lagged := e.reports[0].report
	lagged.Targets = slices.Clone(e.targets)
	lagged.Draining = e.isDraining
	lagged.Incarnation = e.incarnation
	return e.Limit.apply(lagged), nil
}

// checkReachable waits out a freeze and a delay, and returns an error if the
// engine cannot answer the call.
func (e *Engine) checkReachable(ctx context.Context) error {
	if err := e.Faults.BeforeCall(ctx); err != nil {
		return &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: "the engine is down"}
	}
	return nil
}

// CacheEvents implements backend.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]backend.CacheEvent, error) {
	if err := e.checkReachable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []backend.CacheEvent{}
	for _, event := range e.cacheEvents {
		if event.Sequence > after && len(events) < maxEventsPerReply {
			events = append(events, event)
		}
	}
	return events, nil
}

// Order implements backend.Engine.
func (e *Engine) Order(ctx context.Context, order backend.Order) error {
	if err := e.checkReachable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && order.Fencing < e.lastFencing {
		return &backend.Error{Kind: backend.KindFenced, Ran: outcome.RanNo, Message: "a newer holder has given orders"}
	}
	e.lastFencing = max(e.lastFencing, order.Fencing)
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
	if e.Faults.ConsumeLostReply() {
		return &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: "the reply was lost"}
	}
	return nil
}

// ExportKV implements backend.Engine.
func (e *Engine) ExportKV(ctx context.Context, attempt string) ([]byte, error) {
	if err := e.checkReachable(ctx); err != nil {
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
	if err := e.checkReachable(ctx); err != nil {
		return err
	}
	var req backend.GenerateRequest
	if err := json.Unmarshal(kv, &req); err != nil {
		return errors.Wrap(err, "decode KV cache")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.importedKV[attempt] = true
	return nil
}

// crash takes the engine down: every stream breaks and every call fails until
// Restart. The caller holds mu.
func (e *Engine) crash() {
	e.isDown = true
	for _, s := range e.streams {
		s.fail()
	}
	e.streams = nil
	e.cache = nil
}

// BreakStreams ends every stream with an error. The engine stays up.
func (e *Engine) BreakStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.fail()
	}
	e.streams = nil
}

// Crash takes the engine down until Restart: every stream breaks and every call
// fails.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Restart starts the engine again as a new incarnation with the versions that
// it had at first.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDown = false
	e.isDraining = false
	e.incarnation += "+"
	e.targets = slices.Clone(e.options.Targets)
}

// Drain makes the engine refuse new requests.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDraining = true
}

// IsDown reports whether the engine has crashed and not been restarted.
func (e *Engine) IsDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDown
}

// Streams returns the number of streams that run or wait in the engine's own
// queue.
func (e *Engine) Streams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// Runs returns a record of every attempt started so far.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Orders returns every order accepted so far, those of an unknown kind
// included.
func (e *Engine) Orders() []backend.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
