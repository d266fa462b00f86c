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

// tickFor ticks a sampler for the given time.
func tickFor(s *Sampler, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(Interval) {
		s.Tick(context.Background())
	}
}

func newSampler(lag time.Duration) (*Sampler, *standin.Platform, map[string]int) {
	service := standin.NewPlatform(standin.PlatformOptions{RatingLag: lag})
	verdicts := map[string]int{}
	return NewSampler(service, func(s infra.Sample, _, _ bool) { verdicts[s.Request]++ }), service, verdicts
}

// Each verdict is passed on once, although the service is unavailable for a
// while.
func TestVerdictsArriveOnce(t *testing.T) {
	var verdicts map[string]int
	synctest.Test(t, func(*testing.T) {
		s, service, got := newSampler(3 * time.Second)
		verdicts = got
		for i := range 200 {
			s.Add(infra.Sample{Request: fmt.Sprint(i), Answer: "q=0.90 "})
		}
		tickFor(s, 2*time.Second)
		service.RatingFaults.Set(standin.FaultState{Stopped: true})
		tickFor(s, time.Minute)
		service.RatingFaults.Set(standin.FaultState{})
		tickFor(s, 2*time.Minute)
	})
	is := is.New(t)
	is.Equal(len(verdicts), 200)
	for _, n := range verdicts {
		is.Equal(n, 1)
	}
}

// The kept samples stay within their bounds while verdicts do not come, and a
// call that waits for a verdict returns when its context ends.
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
		_, ok = s.Rate(ctx, infra.Sample{Request: "judged"})
		took = time.Since(start)
	})
	is := is.New(t)
	is.True(bytes == 50_000*queued && bytes <= maxQueuedBytes)
	is.True(queued <= maxQueued && waiting <= maxWaiting+batchSize && dropped > 0)
	is.True(!ok && took <= time.Second)
}
