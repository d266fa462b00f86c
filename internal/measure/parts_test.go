package measure

import (
	"testing"
	"time"
)

// Targets for prompt parts that crash servers.
const (
	maxPartCrashes  = 5
	maxLateArrivals = 3
)

// Guards against a prompt part that crashes one server after the other, and
// against refusing requests for the sound parts that came with it.
func TestCrashingPartIsStopped(t *testing.T) {
	for seed := range uint64(testSeeds) {
		trial := newPartsTrial(partsSizes[0], partsRouter, seed+testSeed)
		trial.share, trial.crashing = 0.05, 1
		s := trial.run(partsDuration)
		p := s.parts[0]
		if p.crashes > maxPartCrashes || p.arrivalsLate > maxLateArrivals || p.convicted.IsZero() {
			t.Errorf("seed %d: %d crashes, %d late arrivals, convicted at %v", seed+testSeed, p.crashes, p.arrivalsLate, p.convicted)
		}
		if s.soundRefused > 0 || len(s.soundConvicted) > 0 {
			t.Errorf("seed %d: %d sound requests refused, sound parts convicted: %v", seed+testSeed, s.soundRefused, s.soundConvicted)
		}
	}
}

// Guards against late verdicts where many requests carry the part, and several
// parts crash servers.
func TestCrashingPartsAreStoppedAtHighRates(t *testing.T) {
	trial := newPartsTrial(partsSizes[1], partsRouter, testSeed)
	trial.share, trial.crashing = 0.3, 3
	s := trial.run(partsDuration / 3)
	for i, p := range s.parts {
		if p.arrivalsLate > maxLateArrivals {
			t.Errorf("part %d: %d crashes, %d late arrivals", i, p.crashes, p.arrivalsLate)
		}
	}
	if s.soundRefused > 0 {
		t.Errorf("%d sound requests refused, sound parts convicted: %v", s.soundRefused, s.soundConvicted)
	}
}

// Guards against verdicts on sound parts while servers die of other causes.
func TestOtherCrashesConvictNoPart(t *testing.T) {
	for _, cause := range otherCauses {
		for seed := range uint64(testSeeds) {
			trial := newPartsTrial(partsSizes[0], partsRouter, seed+testSeed)
			cause.start(trial)
			if s := trial.run(40 * time.Second); s.otherCrashes == 0 || s.soundRefused > 0 || len(s.soundConvicted) > 0 {
				t.Errorf("%s, seed %d: %d crashes, %d requests refused, parts convicted: %v", cause.name, seed+testSeed, s.otherCrashes, s.soundRefused, s.soundConvicted)
			}
		}
	}
}
