// Package rating sends answers to the platform's rating service in batches and
// collects the verdicts, within bounds and without keeping anyone waiting.
package rating

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Bounds of what is sent and remembered.
const (
	// Interval is how often Tick should be called.
	Interval = 250 * time.Millisecond
	// maxQueued bounds the samples not yet sent, maxWaiting those without a
	// verdict.
	maxQueued = 512
	// maxQueuedBytes bounds their texts.
	maxQueuedBytes = 4 << 20
	maxWaiting     = 4096
	// batchSize bounds one call of the service.
	batchSize = 128
	// firstPoll is how long after it was sent a sample is first asked for;
	// the wait doubles up to lastPoll.
	firstPoll = 250 * time.Millisecond
	lastPoll  = 30 * time.Second
	// forgetAfter is how long a verdict is waited for.
	forgetAfter = time.Hour
	callTimeout = 2 * time.Second
	// delayGain weighs the newest delay of a verdict.
	delayGain = 0.1
	// promptWithin is how old the newest verdict may be for the service to
	// count as answering.
	promptWithin = time.Minute
)

// Sampler sends samples and passes verdicts on. It is safe for concurrent use.
type Sampler struct {
	service infra.Ratings
	verdict func(s infra.Sample, passed, judged bool)

	mu      sync.Mutex
	queue   []infra.Sample      // guarded by mu
	waiting map[string]*pending // guarded by mu, by request
	delay   time.Duration       // guarded by mu
	heard   time.Time           // guarded by mu
	bytes   int                 // guarded by mu; of the queued answers
	dropped int                 // guarded by mu
}

// pending is a sample without a verdict.
type pending struct {
	sample infra.Sample
	sent   time.Time
	next   time.Time
	wait   time.Duration
	judge  chan bool // nil unless somebody waits
}

// NewSampler returns a sampler that passes each verdict on; judged tells that
// somebody waited for it.
func NewSampler(service infra.Ratings, verdict func(s infra.Sample, passed, judged bool)) *Sampler {
	return &Sampler{service: service, verdict: verdict, waiting: map[string]*pending{}}
}

// Add queues a sample; it is dropped when there are too many.
func (s *Sampler) Add(sample infra.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueued || s.bytes+len(sample.Answer) > maxQueuedBytes || len(s.waiting) >= maxWaiting {
		s.dropped++
		return
	}
	s.bytes += len(sample.Answer)
	s.queue = append(s.queue, sample)
}

// Judge asks for a verdict and waits for it; ok is false if none came before
// ctx ended.
func (s *Sampler) Judge(ctx context.Context, sample infra.Sample) (passed, ok bool) {
	p := &pending{sample: sample, judge: make(chan bool, 1)}
	s.mu.Lock()
	if len(s.waiting) >= maxWaiting {
		s.dropped++
		s.mu.Unlock()
		return false, false
	}
	s.mu.Unlock()
	if s.submit(ctx, []infra.Sample{sample}) != nil {
		return false, false
	}
	s.mu.Lock()
	s.wait(p, time.Now())
	s.mu.Unlock()
	select {
	case passed = <-p.judge:
		return passed, true
	case <-ctx.Done():
		return false, false
	}
}

// Delay returns how long verdicts take at present; ok is false if the service
// has not answered lately.
func (s *Sampler) Delay(now time.Time) (delay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay, !s.heard.IsZero() && now.Sub(s.heard) < promptWithin
}

// Dropped returns the number of samples that did not fit.
func (s *Sampler) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Tick sends what is queued and asks for verdicts that are due.
func (s *Sampler) Tick(ctx context.Context) {
	s.send(ctx)
	s.poll(ctx)
}

func (s *Sampler) submit(ctx context.Context, batch []infra.Sample) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.service.Submit(ctx, batch)
}

func (s *Sampler) send(ctx context.Context) {
	s.mu.Lock()
	batch := s.queue[:min(len(s.queue), batchSize)]
	s.mu.Unlock()
	if len(batch) == 0 || s.submit(ctx, batch) != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append([]infra.Sample(nil), s.queue[len(batch):]...)
	for _, sample := range batch {
		s.bytes -= len(sample.Answer)
		s.wait(&pending{sample: sample}, now)
	}
}

// wait notes a sample that was sent. The caller holds mu.
func (s *Sampler) wait(p *pending, now time.Time) {
	p.sent = now
	p.wait = firstPoll
	p.next = now.Add(p.wait)
	p.sample.Answer = ""
	s.waiting[p.sample.Request] = p
}

func (s *Sampler) poll(ctx context.Context) {
	due := s.due(time.Now())
	if len(due) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	verdicts, err := s.service.Poll(ctx, due)
	if err != nil {
		return
	}
	for _, v := range verdicts {
		s.settle(v, time.Now())
	}
}

// due lists samples to ask for, and forgets those that wait too long.
func (s *Sampler) due(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, p := range s.waiting {
		if now.Sub(p.sent) > forgetAfter {
			delete(s.waiting, id)
			continue
		}
		if now.Before(p.next) || len(out) >= batchSize {
			continue
		}
		if p.judge == nil {
			p.wait = min(2*p.wait, lastPoll)
		}
		p.next = now.Add(p.wait)
		out = append(out, id)
	}
	return out
}

func (s *Sampler) settle(v infra.Rating, now time.Time) {
	s.mu.Lock()
	p := s.waiting[v.Request]
	if p == nil {
		s.mu.Unlock()
		return
	}
	delete(s.waiting, v.Request)
	s.heard = now
	s.delay += time.Duration(delayGain * float64(now.Sub(p.sent)-s.delay))
	s.mu.Unlock()
	if p.judge != nil {
		p.judge <- v.Passed
	}
	s.verdict(p.sample, v.Passed, p.judge != nil)
}
