package standin

import (
	"context"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// EngineOptions sizes a model engine.
type EngineOptions struct {
	// ID is the engine's VM name.
	ID string
	// Targets are the versions loaded at the start.
	Targets []config.Target
	// Quality is the pass chance of each version; 0.9 where absent.
	Quality map[config.Target]float64
	// Slots is the largest batch.
	Slots int
	// BaseInterval is the time between tokens of a batch of one;
	// PerStream is what each further stream adds.
	BaseInterval time.Duration
	PerStream    time.Duration
	// PrefillPerToken is the time that each uncached prompt token takes.
	PrefillPerToken time.Duration
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// ChecksOrders refuses orders with an old fencing number.
	ChecksOrders bool
	// CrashMark kills the engine when a prompt holds it.
	CrashMark string
	// CachedPrefixes bounds the prefix cache, in blocks.
	CachedPrefixes int
	// DropEveryEvent loses each n-th cache event; 0 loses none.
	DropEveryEvent int
}

// EngineRun records one started attempt, as seen by the engine.
type EngineRun struct {
	Attempt string
	Target  config.Target
	Prompt  string
	Offset  int
	// At is when the engine began with it, Arrived when the request came; a
	// frozen engine begins late.
	At      time.Time
	Arrived time.Time
}

// Engine is a model engine with continuous batching. It is safe for
// concurrent use.
type Engine struct {
	// Faults is its state of failure.
	Faults  *Faults
	options EngineOptions

	mu          sync.Mutex
	targets     []config.Target      // guarded by mu
	streams     []*engineStream      // guarded by mu; running first, by priority
	stepping    bool                 // guarded by mu
	dead        bool                 // guarded by mu
	draining    bool                 // guarded by mu
	incarnation string               // guarded by mu
	fencing     uint64               // guarded by mu
	role        string               // guarded by mu
	runs        []EngineRun          // guarded by mu
	orders      []backend.Order      // guarded by mu
	reports     []timedReport        // guarded by mu
	cache       []uint64             // guarded by mu; oldest first
	events      []backend.CacheEvent // guarded by mu
	eventCount  uint64               // guarded by mu
	kv          map[string]bool      // guarded by mu
}

type timedReport struct {
	at     time.Time
	report backend.LoadReport
}

var _ backend.Engine = (*Engine)(nil)

// NewEngine returns a running engine.
func NewEngine(options EngineOptions) *Engine {
	if options.Slots == 0 {
		options.Slots = config.DefaultSlots
	}
	if options.BaseInterval == 0 {
		options.BaseInterval = 5 * time.Millisecond
	}
	if options.CachedPrefixes == 0 {
		options.CachedPrefixes = 1024
	}
	return &Engine{
		Faults:      NewFaults(),
		options:     options,
		targets:     slices.Clone(options.Targets),
		incarnation: options.ID + "/1",
		role:        "both",
		kv:          map[string]bool{},
	}
}

// engineStream is one attempt at an engine.
type engineStream struct {
	engine *Engine
	ctx    context.Context
	req    backend.GenerateRequest
	next   int
	total  int
	ready  time.Time
	cached int
	frames chan backend.Frame
	failed chan struct{}
	once   sync.Once
}

// Generate implements backend.Engine.
func (e *Engine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	arrived := time.Now()
	if err := e.Faults.Enter(ctx); err != nil {
		return nil, &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(req); err != nil {
		return nil, err
	}
	total := AnswerTokens(req.Prompt, req.MaxTokens)
	s := &engineStream{engine: e, ctx: ctx, req: req, next: req.Offset, total: total, frames: make(chan backend.Frame, total+2), failed: make(chan struct{})}
	e.runs = append(e.runs, EngineRun{Attempt: req.Attempt, Target: req.Target, Prompt: req.Prompt, Offset: req.Offset, At: time.Now(), Arrived: arrived})
	if e.options.CrashMark != "" && strings.Contains(req.Prompt, e.options.CrashMark) {
		e.crash()
		s.fail()
		return s, nil
	}
	s.cached = e.cachePrompt(req.Prompt)
	uncached := max(PromptTokens(req.Prompt)-s.cached, 0)
	if e.kv[req.Attempt] {
		uncached = 0
	}
	s.ready = time.Now().Add(time.Duration(uncached) * e.options.PrefillPerToken)
	e.streams = append(e.streams, s)
	sort.SliceStable(e.streams, func(i, j int) bool { return e.streams[i].req.Priority < e.streams[j].req.Priority })
	if !e.stepping {
		e.stepping = true
		go e.run()
	}
	return s, nil
}

func (e *Engine) admit(req backend.GenerateRequest) error {
	refuse := func(kind backend.Kind, message string) error {
		return &backend.Error{Kind: kind, Ran: outcome.RanNo, Message: message}
	}
	switch {
	case e.dead:
		return refuse(backend.KindConnect, "the engine is down")
	case e.draining:
		return refuse(backend.KindDraining, "the engine is leaving")
	case !slices.Contains(e.targets, req.Target):
		return refuse(backend.KindNotLoaded, "version "+req.Target.String()+" is not loaded")
	default:
		return nil
	}
}

// run steps the batch until no stream is left.
func (e *Engine) run() {
	for {
		e.mu.Lock()
		e.prune()
		batch := e.batch()
		if len(e.streams) == 0 || e.dead {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		interval := e.interval(len(batch))
		e.mu.Unlock()
		time.Sleep(interval)
		_ = e.Faults.thaw(context.Background())
		e.mu.Lock()
		e.step(batch)
		e.mu.Unlock()
	}
}

// prune forgets streams whose caller has gone.
func (e *Engine) prune() {
	e.streams = slices.DeleteFunc(e.streams, func(s *engineStream) bool { return s.ctx.Err() != nil })
}

// batch returns the streams that get a token in the next step.
func (e *Engine) batch() []*engineStream {
	n := min(len(e.streams), e.options.Slots)
	return slices.Clone(e.streams[:n])
}

func (e *Engine) interval(batch int) time.Duration {
	return e.options.BaseInterval + time.Duration(max(batch-1, 0))*e.options.PerStream
}

func (e *Engine) step(batch []*engineStream) {
	now := time.Now()
	for _, s := range batch {
		if s.ctx.Err() != nil || s.ready.After(now) || e.dead {
			continue
		}
		if s.next < s.total {
			text := Token(s.req.Target, e.quality(s.req.Target), s.req.Prompt, s.req.Seed, s.next)
			s.frames <- backend.Frame{Attempt: s.req.Attempt, Offset: s.next, Text: text}
			s.next++
		}
		if s.next >= s.total {
			s.frames <- backend.Frame{Attempt: s.req.Attempt, Offset: s.total, Final: true, FinishReason: "stop", PromptTokens: PromptTokens(s.req.Prompt), CachedTokens: s.cached}
			e.remove(s)
		}
	}
	e.noteLoad(now)
}

func (e *Engine) quality(t config.Target) float64 {
	if q, ok := e.options.Quality[t]; ok {
		return q
	}
	return defaultQuality
}

func (e *Engine) remove(s *engineStream) {
	e.streams = slices.DeleteFunc(e.streams, func(other *engineStream) bool { return other == s })
}

// cachePrompt stores the prompt's prefixes and returns how many of its
// tokens were cached before.
func (e *Engine) cachePrompt(prompt string) int {
	cached := 0
	for i, h := range routing.PrefixHashes(prompt) {
		if slices.Contains(e.cache, h) {
			cached = (i + 1) * routing.PrefixBlockBytes / bytesPerToken
			continue
		}
		e.cache = append(e.cache, h)
		e.emit(h, true)
	}
	for len(e.cache) > e.options.CachedPrefixes {
		e.emit(e.cache[0], false)
		e.cache = e.cache[1:]
	}
	return cached
}

func (e *Engine) emit(prefix uint64, stored bool) {
	e.eventCount++
	if n := uint64(e.options.DropEveryEvent); n > 0 && e.eventCount%n == 0 {
		return
	}
	e.events = append(e.events, backend.CacheEvent{Sequence: e.eventCount, Prefix: prefix, Stored: stored})
	const keep = 4096
	if len(e.events) > keep {
		e.events = e.events[len(e.events)-keep:]
	}
}

func (s *engineStream) fail() { s.once.Do(func() { close(s.failed) }) }

// Next implements backend.Stream.
func (s *engineStream) Next() (backend.Frame, error) {
	select {
	case f := <-s.frames:
		return f, nil
	default:
	}
	select {
	case f := <-s.frames:
		return f, nil
	case <-s.failed:
		return backend.Frame{}, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanYes, Message: "the engine died"}
	case <-s.ctx.Done():
		return backend.Frame{}, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanYes, Message: s.ctx.Err().Error()}
	}
}

// Close implements backend.Stream.
func (s *engineStream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.remove(s)
	return nil
}

var _ io.Closer = (*engineStream)(nil)
