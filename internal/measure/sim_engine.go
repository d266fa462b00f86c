package measure

import (
	"container/list"
	"slices"
	"time"
)

// engineModel holds the capacity and the timing of a model engine. Memory is
// the KV cache in tokens; a step takes stepBase, plus perStream for each
// decoding stream, plus perPromptToken for each prompt token.
type engineModel struct {
	slots          int
	memory         int
	stepBase       time.Duration
	perStream      time.Duration
	perPromptToken time.Duration
	// chunkTokens bounds the prompt tokens computed in one step.
	chunkTokens int
	// cacheBlocks is the size of the prefix cache in blocks.
	cacheBlocks int
}

// tokenSeconds returns the engine time of one token in a full batch, in
// seconds.
func (m engineModel) tokenSeconds() float64 {
	full := m.stepBase + time.Duration(m.slots)*m.perStream
	return full.Seconds() / float64(m.slots)
}

// blockTokens is the length of a prefix block in tokens.
const blockTokens = 64

// simEngine simulates a model engine with continuous batching, chunked prefill,
// a KV cache limit and a prefix cache.
type simEngine struct {
	engineModel
	ev         *events
	running    []*simStream
	waiting    []*simStream
	isStepping bool
	isStopped  bool
	usedMemory int
	prefixes   prefixCache
}

// simStream is one stream at an engine.
type simStream struct {
	rank             int
	seq              uint64
	promptTokens     int
	blocks           []uint64
	remainingTokens  int
	remainingPrefill int
	cachedTokens     int
	memory           int
	isCancelled      bool
	onToken          func()
	onFinish         func()
}

func newSimEngine(ev *events, m engineModel) *simEngine {
	return &simEngine{engineModel: m, ev: ev, prefixes: prefixCache{capacity: m.cacheBlocks, elements: map[uint64]*list.Element{}, recency: list.New()}}
}

// submit starts a stream, or queues it inside the engine by rank.
func (e *simEngine) submit(s *simStream) {
	s.seq = e.ev.seq
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *simStream) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.seq <= b.seq {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, s)
	e.startIfIdle()
}

// cancel removes a stream from the engine.
func (e *simEngine) cancel(s *simStream) {
	s.isCancelled = true
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.usedMemory -= s.memory
		return
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

func (e *simEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		s := e.waiting[0]
		if e.usedMemory+s.memory > e.memory && len(e.running) > 0 {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.usedMemory += s.memory
		s.cachedTokens = e.prefixes.store(s.blocks) * blockTokens
		s.remainingPrefill = max(s.promptTokens-s.cachedTokens, 1)
		e.running = append(e.running, s)
	}
}

func (e *simEngine) startIfIdle() {
	if e.isStepping || e.isStopped {
		return
	}
	e.step()
}

// step plans one step of the batch. Prompts are computed in chunks, the most
// urgent first.
func (e *simEngine) step() {
	e.admit()
	if len(e.running) == 0 || e.isStopped {
		e.isStepping = false
		return
	}
	e.isStepping = true
	budget, decoding := e.chunkTokens, 0
	batch := slices.Clone(e.running)
	slices.SortStableFunc(batch, func(a, b *simStream) int { return a.rank - b.rank })
	emitting := batch[:0:0]
	for _, s := range batch {
		if s.remainingPrefill == 0 {
			decoding++
			emitting = append(emitting, s)
			continue
		}
		n := min(s.remainingPrefill, budget)
		s.remainingPrefill -= n
		budget -= n
		if s.remainingPrefill == 0 {
			emitting = append(emitting, s)
		}
	}
	stepTime := e.stepBase + time.Duration(decoding)*e.perStream + time.Duration(e.chunkTokens-budget)*e.perPromptToken
	e.ev.after(stepTime, func() { e.finishStep(emitting) })
}

func (e *simEngine) finishStep(emitting []*simStream) {
	for _, s := range emitting {
		if s.isCancelled {
			continue
		}
		s.remainingTokens--
		s.onToken()
		if s.remainingTokens <= 0 && !s.isCancelled {
			e.cancel(s)
			s.onFinish()
		}
	}
	e.step()
}

// prefixCache is a least-recently-used cache of prefix blocks.
type prefixCache struct {
	capacity int
	elements map[uint64]*list.Element
	recency  *list.List
	// onChange is called for each block that is stored or evicted, unless nil.
	onChange func(block uint64, stored bool)
}

// countLeading returns how many leading blocks are cached.
func (c *prefixCache) countLeading(blocks []uint64) int {
	for i, b := range blocks {
		if c.elements[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// store caches all blocks and returns how many leading ones were cached before.
func (c *prefixCache) store(blocks []uint64) int {
	hit := c.countLeading(blocks)
	for _, b := range slices.Backward(blocks) {
		if element := c.elements[b]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[b] = c.recency.PushFront(b)
		c.notifyChange(b, true)
	}
	for c.recency.Len() > c.capacity {
		evicted := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, evicted)
		c.notifyChange(evicted, false)
	}
	return hit
}

func (c *prefixCache) notifyChange(block uint64, stored bool) {
	if c.onChange != nil {
		c.onChange(block, stored)
	}
}
