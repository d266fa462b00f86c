// Package rating sends samples of answers to the platform's rating service in
// batches and collects the verdicts. Its memory is bounded, and no request
// waits for it unless the caller asks for the verdict.
package rating

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Bounds of the samples that are sent and kept.
const (
	// Interval is how often Tick should be called.
	Interval = 250 * time.Millisecond
	// maxQueued bounds the unsent samples, maxWaiting those without a verdict.
	maxQueued = 512
	// maxQueuedBytes bounds the answer texts of the unsent samples.
	maxQueuedBytes = 4 << 20
	maxWaiting     = 4096
	// batchSize bounds the samples in one call to the service.
	batchSize = 128
	// firstPoll is the delay between sending a sample and the first poll for
	// its verdict; the delay doubles up to lastPoll.
	firstPoll = 250 * time.Millisecond
	lastPoll  = 30 * time.Second
	// verdictTimeout is how long a verdict is awaited.
	verdictTimeout = time.Hour
	callTimeout    = 2 * time.Second
	// delayGain is the weight of the newest delay in the mean.
	delayGain = 0.1
	// maxVerdictAge is the age of the newest verdict up to which the service
	// counts as answering.
	maxVerdictAge = time.Minute
)

// Sampler sends samples and passes their verdicts on. It is safe for concurrent
// use.
type Sampler struct {
	service   infra.Ratings
	onVerdict func(s infra.Sample, passed, awaited bool)

	mu          sync.Mutex
	queue       []infra.Sample      // guarded by mu
	waiting     map[string]*pending // guarded by mu, by request
	delay       time.Duration       // guarded by mu
	lastVerdict time.Time           // guarded by mu
	bytes       int                 // guarded by mu; of the queued answers
	dropped     int                 // guarded by mu
}

// pending is a sample without a verdict.
type pending struct {
	sample    infra.Sample
	sent      time.Time
	nextPoll  time.Time
	pollDelay time.Duration
	result    chan bool // nil unless a caller waits for the verdict
}

// NewSampler returns a sampler that passes each verdict to onVerdict; awaited
// is true if a caller waited for it.
func NewSampler(service infra.Ratings, onVerdict func(s infra.Sample, passed, awaited bool)) *Sampler {
	return &Sampler{service: service, onVerdict: onVerdict, waiting: map[string]*pending{}}
}

// Add queues a sample, or drops it if a bound is reached.
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

// Rate submits a sample and waits for its verdict; ok is false if there was
// none before ctx ended.
func (s *Sampler) Rate(ctx context.Context, sample infra.Sample) (passed, ok bool) {
	p := &pending{sample: sample, result: make(chan bool, 1)}
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
	s.track(p, time.Now())
	s.mu.Unlock()
	select {
	case passed = <-p.result:
		return passed, true
	case <-ctx.Done():
		return false, false
	}
}

// Delay returns the mean delay of verdicts; ok is false if the service has not
// answered within maxVerdictAge.
func (s *Sampler) Delay(now time.Time) (delay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay, !s.lastVerdict.IsZero() && now.Sub(s.lastVerdict) < maxVerdictAge
}

// Dropped returns the number of samples that were dropped.
func (s *Sampler) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Tick sends queued samples and polls for the verdicts that are due.
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
		s.track(&pending{sample: sample}, now)
	}
}

// track records a sample that was sent. The caller holds mu.
func (s *Sampler) track(p *pending, now time.Time) {
	p.sent = now
	p.pollDelay = firstPoll
	p.nextPoll = now.Add(p.pollDelay)
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
		s.deliver(v, time.Now())
	}
}

// due lists the requests to poll for, and deletes samples past verdictTimeout.
func (s *Sampler) due(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, p := range s.waiting {
		if now.Sub(p.sent) > verdictTimeout {
			delete(s.waiting, id)
			continue
		}
		if now.Before(p.nextPoll) || len(out) >= batchSize {
			continue
		}
		if p.result == nil {
			p.pollDelay = min(2*p.pollDelay, lastPoll)
		}
		p.nextPoll = now.Add(p.pollDelay)
		out = append(out, id)
	}
	return out
}

func (s *Sampler) deliver(v infra.Rating, now time.Time) {
	s.mu.Lock()
	p := s.waiting[v.Request]
	if p == nil {
		s.mu.Unlock()
		return
	}
	delete(s.waiting, v.Request)
	s.lastVerdict = now
	s.delay += time.Duration(delayGain * float64(now.Sub(p.sent)-s.delay))
	s.mu.Unlock()
	if p.result != nil {
		p.result <- v.Passed
	}
	s.onVerdict(p.sample, v.Passed, p.result != nil)
}
