package rating

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// run ticks a sampler for a while and returns how often each request's verdict
// was passed on.
func run(s *Sampler, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(Interval) {
		s.Tick(context.Background())
	}
}

func newSampler(lag time.Duration) (*Sampler, *standin.Platform, map[string]int) {
	service := standin.NewPlatform(standin.PlatformOptions{RatingLag: lag})
	heard := map[string]int{}
	return NewSampler(service, func(s infra.Sample, _, _ bool) { heard[s.Request]++ }), service, heard
}

// Each verdict is passed on once, though the service is away for a while.
func TestVerdictsComeOnce(t *testing.T) {
	var heard map[string]int
	synctest.Test(t, func(*testing.T) {
		s, service, got := newSampler(3 * time.Second)
		heard = got
		for i := range 200 {
			s.Add(infra.Sample{Request: fmt.Sprint(i), Answer: "q=0.90 "})
		}
		run(s, 2*time.Second)
		service.RatingFaults.Set(standin.FaultState{Stopped: true})
		run(s, time.Minute)
		service.RatingFaults.Set(standin.FaultState{})
		run(s, 2*time.Minute)
	})
	is := is.New(t)
	is.Equal(len(heard), 200)
	for _, n := range heard {
		is.Equal(n, 1)
	}
}

// What is remembered stays within bounds while the service is away, and a
// judge returns when its time is over.
func TestSamplerIsBounded(t *testing.T) {
	var queued, bytes, waiting, dropped int
	var ok bool
	var took time.Duration
	synctest.Test(t, func(*testing.T) {
		s, service, _ := newSampler(24 * time.Hour)
		text := strings.Repeat("word ", 10_000)
		for i := range 50 * maxQueued {
			s.Add(infra.Sample{Request: fmt.Sprint(i), Answer: text})
			if i%(batchSize/2) == 0 {
				s.Tick(context.Background())
			}
		}
		queued, bytes, waiting, dropped = len(s.queue), s.bytes, len(s.waiting), s.Dropped()
		service.RatingFaults.Set(standin.FaultState{Frozen: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		_, ok = s.Judge(ctx, infra.Sample{Request: "judged"})
		took = time.Since(start)
	})
	is := is.New(t)
	is.True(bytes == 50_000*queued && bytes <= maxQueuedBytes)
	is.True(queued <= maxQueued && waiting <= maxWaiting+batchSize && dropped > 0)
	is.True(!ok && took <= time.Second)
}
