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

// EngineOptions configures a simulated model engine.
type EngineOptions struct {
	// ID is the name of the engine's VM.
	ID string
	// Targets lists the versions that are loaded at the start.
	Targets []config.Target
	// Quality is the probability that an answer of a version passes its
	// rating; 0.9 for versions that are not listed.
	Quality map[config.Target]float64
	// Slots is the maximum batch size.
	Slots int
	// BaseInterval is the time between tokens of a batch of one. PerStream is
	// added for each further stream of the batch.
	BaseInterval time.Duration
	PerStream    time.Duration
	// PrefillPerToken is the prefill time of each uncached prompt token.
	PrefillPerToken time.Duration
	// ReportLag is the age of the counts in a load report.
	ReportLag time.Duration
	// ChecksOrders makes the engine refuse orders with an old fencing number.
	ChecksOrders bool
	// CrashMark is a text that crashes the engine when a prompt contains it.
	// If it is empty, no prompt does.
	CrashMark string
	// CachedPrefixes is the size of the prefix cache, in blocks.
	CachedPrefixes int
	// DropEveryNthEvent drops each n-th cache event; 0 drops none.
	DropEveryNthEvent int
}

// EngineRun records one attempt that the engine started.
type EngineRun struct {
	Attempt string
	Target  config.Target
	Prompt  string
	Offset  int
	// At is when the engine started the attempt and Arrived when the request
	// arrived. A frozen engine starts late.
	At      time.Time
	Arrived time.Time
}

// Engine simulates a model engine with continuous batching. It is safe for
// concurrent use.
type Engine struct {
	// Faults are the faults that the engine injects into calls.
	Faults *Faults
	// Limit is the limit that the engine names.
	Limit   Limit
	options EngineOptions

	mu          sync.Mutex
	targets     []config.Target      // guarded by mu
	streams     []*engineStream      // guarded by mu; by priority, so that running ones come first
	isStepping  bool                 // guarded by mu
	isDown      bool                 // guarded by mu
	isDraining  bool                 // guarded by mu
	incarnation string               // guarded by mu
	lastFencing uint64               // guarded by mu; highest number of an order
	role        string               // guarded by mu
	runs        []EngineRun          // guarded by mu
	orders      []backend.Order      // guarded by mu
	reports     []timedReport        // guarded by mu
	cache       []uint64             // guarded by mu; prefix hashes, oldest first
	cacheEvents []backend.CacheEvent // guarded by mu
	eventCount  uint64               // guarded by mu
	importedKV  map[string]bool      // guarded by mu; by attempt
}

// timedReport is a load report and the time that it describes.
type timedReport struct {
	at     time.Time
	report backend.LoadReport
}

var _ backend.Engine = (*Engine)(nil)

// NewEngine returns a running engine. Zero values of Slots, BaseInterval and
// CachedPrefixes are replaced by defaults.
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
		importedKV:  map[string]bool{},
	}
}

// engineStream is the token stream of one attempt.
type engineStream struct {
	engine       *Engine
	ctx          context.Context
	req          backend.GenerateRequest
	nextToken    int
	totalTokens  int
	prefillDone  time.Time
	cachedTokens int
	frames       chan backend.Frame
	failed       chan struct{}
	failOnce     sync.Once
}

// Generate implements backend.Engine.
func (e *Engine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	e.Limit.record()
	arrived := time.Now()
	if err := e.Faults.BeforeCall(ctx); err != nil {
		return nil, &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(req); err != nil {
		return nil, err
	}
	total := AnswerTokens(req.Prompt, req.MaxTokens)
	s := &engineStream{engine: e, ctx: ctx, req: req, nextToken: req.Offset, totalTokens: total, frames: make(chan backend.Frame, total+2), failed: make(chan struct{})}
	e.runs = append(e.runs, EngineRun{Attempt: req.Attempt, Target: req.Target, Prompt: req.Prompt, Offset: req.Offset, At: time.Now(), Arrived: arrived})
	if e.options.CrashMark != "" && strings.Contains(req.Prompt, e.options.CrashMark) {
		e.crash()
		s.fail()
		return s, nil
	}
	s.cachedTokens = e.cachePrompt(req.Prompt)
	uncached := max(PromptTokens(req.Prompt)-s.cachedTokens, 0)
	if e.importedKV[req.Attempt] {
		uncached = 0
	}
	s.prefillDone = time.Now().Add(time.Duration(uncached) * e.options.PrefillPerToken)
	e.streams = append(e.streams, s)
	sort.SliceStable(e.streams, func(i, j int) bool { return e.streams[i].req.Priority < e.streams[j].req.Priority })
	if !e.isStepping {
		e.isStepping = true
		go e.run()
	}
	return s, nil
}

// admit returns the error with which the engine refuses a request, nil if it
// accepts it. The caller holds mu.
func (e *Engine) admit(req backend.GenerateRequest) error {
	refuse := func(kind backend.Kind, message string) error {
		return &backend.Error{Kind: kind, Ran: outcome.RanNo, Message: message}
	}
	switch {
	case e.isDown:
		return refuse(backend.KindConnect, "the engine is down")
	case e.isDraining:
		return refuse(backend.KindDraining, "the engine is leaving")
	case !slices.Contains(e.targets, req.Target):
		return refuse(backend.KindNotLoaded, "version "+req.Target.String()+" is not loaded")
	default:
		return nil
	}
}

// run generates tokens in batches until no stream is left or the engine is
// down.
func (e *Engine) run() {
	for {
		e.mu.Lock()
		e.removeCancelled()
		batch := e.batch()
		if len(e.streams) == 0 || e.isDown {
			e.isStepping = false
			e.mu.Unlock()
			return
		}
		interval := e.tokenInterval(len(batch))
		e.mu.Unlock()
		time.Sleep(interval)
		_ = e.Faults.waitWhileFrozen(context.Background())
		e.mu.Lock()
		e.step(batch)
		e.mu.Unlock()
	}
}

// removeCancelled removes streams whose context has ended. The caller holds
// mu.
func (e *Engine) removeCancelled() {
	e.streams = slices.DeleteFunc(e.streams, func(s *engineStream) bool { return s.ctx.Err() != nil })
}

// batch returns the streams that get a token in the next step. The caller
// holds mu.
func (e *Engine) batch() []*engineStream {
	n := min(len(e.streams), e.options.Slots)
	return slices.Clone(e.streams[:n])
}

// tokenInterval returns the time between tokens at a batch size.
func (e *Engine) tokenInterval(batchSize int) time.Duration {
	return e.options.BaseInterval + time.Duration(max(batchSize-1, 0))*e.options.PerStream
}

// step sends the next token of each stream of a batch whose prefill is done,
// and the final frame of each stream that has no tokens left. The caller
// holds mu.
func (e *Engine) step(batch []*engineStream) {
	now := time.Now()
	for _, s := range batch {
		if s.ctx.Err() != nil || s.prefillDone.After(now) || e.isDown {
			continue
		}
		if s.nextToken < s.totalTokens {
			text := Token(s.req.Target, e.quality(s.req.Target), s.req.Prompt, s.req.Seed, s.nextToken)
			s.frames <- backend.Frame{Attempt: s.req.Attempt, Offset: s.nextToken, Text: text}
			s.nextToken++
		}
		if s.nextToken >= s.totalTokens {
			s.frames <- backend.Frame{Attempt: s.req.Attempt, Offset: s.totalTokens, Final: true, FinishReason: "stop", PromptTokens: PromptTokens(s.req.Prompt), CachedTokens: s.cachedTokens}
			e.remove(s)
		}
	}
	e.recordLoad(now)
}

// quality returns the pass probability of a version.
func (e *Engine) quality(t config.Target) float64 {
	if q, ok := e.options.Quality[t]; ok {
		return q
	}
	return defaultQuality
}

// remove removes a stream. The caller holds mu.
func (e *Engine) remove(s *engineStream) {
	e.streams = slices.DeleteFunc(e.streams, func(other *engineStream) bool { return other == s })
}

// cachePrompt adds the prompt's prefixes to the cache, evicts the oldest
// prefixes beyond its size, and returns how many tokens of the prompt were
// cached before. The caller holds mu.
func (e *Engine) cachePrompt(prompt string) int {
	cached := 0
	for i, h := range routing.PrefixHashes(prompt) {
		if slices.Contains(e.cache, h) {
			cached = (i + 1) * routing.PrefixBlockBytes / bytesPerToken
			continue
		}
		e.cache = append(e.cache, h)
		e.recordCacheEvent(h, true)
	}
	for len(e.cache) > e.options.CachedPrefixes {
		e.recordCacheEvent(e.cache[0], false)
		e.cache = e.cache[1:]
	}
	return cached
}

// recordCacheEvent records that a prefix was stored or evicted, unless the
// event is one to drop. The caller holds mu.
func (e *Engine) recordCacheEvent(prefix uint64, stored bool) {
	e.eventCount++
	if n := uint64(e.options.DropEveryNthEvent); n > 0 && e.eventCount%n == 0 {
		return
	}
	e.cacheEvents = append(e.cacheEvents, backend.CacheEvent{Sequence: e.eventCount, Prefix: prefix, Stored: stored})
	const maxKeptEvents = 4096
	if len(e.cacheEvents) > maxKeptEvents {
		e.cacheEvents = e.cacheEvents[len(e.cacheEvents)-maxKeptEvents:]
	}
}

// fail ends the stream with an error, once the frames sent so far are read.
func (s *engineStream) fail() { s.failOnce.Do(func() { close(s.failed) }) }

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
		return backend.Frame{}, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanYes, Message: "the engine crashed or broke the stream"}
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
