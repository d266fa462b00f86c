package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	// watchMargin is the loss against a version's own past that is no fault.
	watchMargin = 0.04
	// watchAt bounds false alarms: on average at least so many blocks pass
	// between two of them.
	watchAt = 1e5
	// minPast is the number of outcomes that make a past.
	minPast = 300
	// pastWeight bounds the past, so that it follows slow change.
	pastWeight = 20_000
	// pastLag is how long outcomes wait before they join the past.
	pastLag = 10 * time.Minute
	// confirmTime is how long a loss must last before a withdrawal.
	confirmTime = 3 * time.Minute
	// shortWindow is the number of newest outcomes that show a shift.
	shortWindow = 120.0
	// trustZ is the number of standard errors by which several versions must
	// shift together for the rating service itself to be doubted.
	trustZ = 3.0
	// riseZ is the same for a single version that seems to become better:
	// versions do not do that by themselves.
	riseZ = 4.0
)

// track compares one channel of one version with its own past.
type track struct {
	past    Counts
	pending Counts
	since   time.Time
	sums    [len(effects)]float64
	// good and total are the newest outcomes, older ones decayed.
	good, total float64
}

// add takes a block and returns the evidence for a loss.
func (t *track) add(c Counts) float64 {
	t.pending = t.pending.Plus(c)
	n := float64(c.Total())
	keep := math.Pow(1-1/shortWindow, n)
	t.good = t.good*keep + float64(c.Good)
	t.total = t.total*keep + n
	if t.past.Total() < minPast {
		return 0
	}
	base := clampRate(t.past.rate(priorRate) - watchMargin)
	best := 0.0
	for i, effect := range effects {
		t.sums[i] = max(t.sums[i], 0) + logRatio(c, clampRate(base-effect), base)
		best = max(best, t.sums[i])
	}
	return math.Exp(min(best, maxLogEvidence))
}

// forget drops what came in while the outcomes were doubted.
func (t *track) forget() {
	t.pending = Counts{}
	t.sums = [len(effects)]float64{}
}

// fold moves pending outcomes into the past, unless they look bad.
func (t *track) fold(evidence float64, now time.Time) {
	if now.Sub(t.since) < pastLag || evidence >= math.Sqrt(watchAt) {
		return
	}
	t.past = t.past.Plus(t.pending)
	t.pending = Counts{}
	t.since = now
	if n := t.past.Total(); n > pastWeight {
		t.past.Good = t.past.Good * pastWeight / n
		t.past.Bad = t.past.Bad * pastWeight / n
	}
}

// shift is by how many standard errors the newest outcomes left the past.
func (t *track) shift() float64 {
	if t.past.Total() < minPast || t.total < minBaseline {
		return 0
	}
	p := t.past.rate(priorRate)
	return (t.good/t.total - p) / math.Sqrt(p*(1-p)/t.total)
}

// Watch compares versions in place with their own past, where no baseline
// runs beside them. It doubts the rating service before the versions: when
// several shift together, no verdict comes from ratings. A withdrawal waits
// until the loss has lasted confirmTime; a hold does not.
type Watch struct {
	versions map[config.Target]*watched
}

// watched is what is known of one version.
type watched struct {
	tracks [channelCount]track
	alarm  [channelCount]time.Time
}

// NewWatch returns a watch without a past.
func NewWatch() *Watch { return &Watch{versions: map[config.Target]*watched{}} }

// Past takes outcomes from before the watch began.
func (w *Watch) Past(t config.Target, e Evidence) {
	v := w.of(t)
	for i, c := range e.channels() {
		v.tracks[i].past = v.tracks[i].past.Plus(c)
	}
}

func (w *Watch) of(t config.Target) *watched {
	v := w.versions[t]
	if v == nil {
		v = &watched{}
		w.versions[t] = v
	}
	return v
}

// Observe takes what a version did since the last call, and judges.
func (w *Watch) Observe(t config.Target, e Evidence, now time.Time) Verdict {
	known := w.of(t)
	verdict := Verdict{}
	for i, c := range e.channels() {
		x := known.tracks[i].add(c)
		if i == ratings && !w.RatingsTrusted() {
			known.tracks[i].forget()
			known.alarm[i] = time.Time{}
			continue
		}
		known.tracks[i].fold(x, now)
		if x < watchAt {
			known.alarm[i] = time.Time{}
			continue
		}
		if known.alarm[i].IsZero() {
			known.alarm[i] = now
		}
		verdict.HoldUntil = now.Add(HoldTime)
		verdict.Withdraw = verdict.Withdraw || now.Sub(known.alarm[i]) >= confirmTime
		verdict.Reason = fmt.Sprintf("%s: evidence %.3g that it is worse than its own past, bound %.3g", channelNames[i], x, float64(watchAt))
	}
	return verdict
}

// RatingsTrusted is false while more than one version's ratings shift the
// same way at the same time, or one version's rise: then the rating service
// changed, not they.
func (w *Watch) RatingsTrusted() bool {
	up, down := 0, 0
	for _, v := range w.versions {
		z := v.tracks[ratings].shift()
		if z > riseZ {
			return false
		}
		if z > trustZ {
			up++
		}
		if z < -trustZ {
			down++
		}
	}
	return up < 2 && down < 2
}
