package measure

import (
	"container/list"
	"slices"
	"time"
)

// engineModel sizes a model engine.
type engineModel struct {
	slots     int
	memory    int
	base      time.Duration
	perStream time.Duration
	perToken  time.Duration
	// chunk bounds the prompt tokens computed in one step.
	chunk int
	// cache is the prefix cache's size in blocks.
	cache int
}

// tokenWork is the engine time that a token takes in a full batch, in seconds.
func (m engineModel) tokenWork() float64 {
	full := m.base + time.Duration(m.slots)*m.perStream
	return full.Seconds() / float64(m.slots)
}

// blockTokens is the length of a prefix block in tokens.
const blockTokens = 64

// simEngine is a model engine with continuous batching, chunked prefill, a
// KV limit and a prefix cache.
type simEngine struct {
	engineModel
	ev       *events
	running  []*simStream
	waiting  []*simStream
	stepping bool
	dead     bool
	kv       int
	cached   prefixCache
}

// simStream is one attempt at an engine.
type simStream struct {
	rank     int
	seq      uint64
	prompt   int
	blocks   []uint64
	left     int
	prefill  int
	hit      int
	memory   int
	gone     bool
	onToken  func()
	onFinish func()
}

func newSimEngine(ev *events, m engineModel) *simEngine {
	return &simEngine{engineModel: m, ev: ev, cached: prefixCache{size: m.cache, at: map[uint64]*list.Element{}, order: list.New()}}
}

// submit starts a stream, or lets it wait inside the engine by priority.
func (e *simEngine) submit(s *simStream) {
	s.seq = e.ev.seq
	at, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *simStream) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.seq <= b.seq {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.wake()
}

// cancel stops a stream.
func (e *simEngine) cancel(s *simStream) {
	s.gone = true
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kv -= s.memory
		return
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

func (e *simEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		s := e.waiting[0]
		if e.kv+s.memory > e.memory && len(e.running) > 0 {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.kv += s.memory
		s.hit = e.cached.store(s.blocks) * blockTokens
		s.prefill = max(s.prompt-s.hit, 1)
		e.running = append(e.running, s)
	}
}

func (e *simEngine) wake() {
	if e.stepping || e.dead {
		return
	}
	e.step()
}

// step plans one step of the batch; prompts are computed in chunks, the most
// urgent first.
func (e *simEngine) step() {
	e.admit()
	if len(e.running) == 0 || e.dead {
		e.stepping = false
		return
	}
	e.stepping = true
	budget, decoding := e.chunk, 0
	batch := slices.Clone(e.running)
	slices.SortStableFunc(batch, func(a, b *simStream) int { return a.rank - b.rank })
	emit := batch[:0:0]
	for _, s := range batch {
		if s.prefill == 0 {
			decoding++
			emit = append(emit, s)
			continue
		}
		n := min(s.prefill, budget)
		s.prefill -= n
		budget -= n
		if s.prefill == 0 {
			emit = append(emit, s)
		}
	}
	took := e.base + time.Duration(decoding)*e.perStream + time.Duration(e.chunk-budget)*e.perToken
	e.ev.after(took, func() { e.finish(emit) })
}

func (e *simEngine) finish(emit []*simStream) {
	for _, s := range emit {
		if s.gone {
			continue
		}
		s.left--
		s.onToken()
		if s.left <= 0 && !s.gone {
			e.cancel(s)
			s.onFinish()
		}
	}
	e.step()
}

// prefixCache is a least-recently-used cache of prefix blocks.
type prefixCache struct {
	size  int
	at    map[uint64]*list.Element
	order *list.List
	// onChange hears of each block that enters or leaves; nil hears nothing.
	onChange func(block uint64, stored bool)
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if c.at[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// store caches all blocks and returns how many leading ones were there.
func (c *prefixCache) store(blocks []uint64) int {
	hit := c.match(blocks)
	for _, b := range slices.Backward(blocks) {
		if at := c.at[b]; at != nil {
			c.order.MoveToFront(at)
			continue
		}
		c.at[b] = c.order.PushFront(b)
		c.changed(b, true)
	}
	for c.order.Len() > c.size {
		old := c.order.Remove(c.order.Back()).(uint64)
		delete(c.at, old)
		c.changed(old, false)
	}
	return hit
}

func (c *prefixCache) changed(block uint64, stored bool) {
	if c.onChange != nil {
		c.onChange(block, stored)
	}
}
