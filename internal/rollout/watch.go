package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

const (
	// watchMargin is the tolerated loss against a version's own history.
	watchMargin = 0.04
	// watchBound is the evidence at which a version fails the analysis. On
	// average at least this many blocks pass between two false alarms.
	watchBound = 1e5
	// minHistory is the minimum number of past outcomes to compare with.
	minHistory = 300
	// maxHistory bounds the weight of the history, so that it follows slow
	// change.
	maxHistory = 20_000
	// historyLag is how long outcomes wait before they join the history.
	historyLag = 10 * time.Minute
	// confirmDuration is how long a loss must last before a withdrawal.
	confirmDuration = 3 * time.Minute
	// recentWindow is the number of newest outcomes used to detect a shift.
	recentWindow = 120.0
	// jointShiftZ is the number of standard errors by which several versions
	// must shift together for the rating service to be distrusted.
	jointShiftZ = 3.0
	// singleRiseZ is the number of standard errors by which a single version must
	// seem to improve for the rating service to be distrusted, since a version
	// does not improve by itself.
	singleRiseZ = 4.0
)

// channelHistory compares one channel of one version with its own history.
type channelHistory struct {
	history   Counts
	pending   Counts
	lastMerge time.Time
	cusums    [len(effects)]float64
	// recentGood and recentTotal are the newest outcomes, older ones decayed.
	recentGood, recentTotal float64
}

// add adds a block of outcomes and returns the evidence for a loss, a CUSUM
// statistic.
func (h *channelHistory) add(c Counts) float64 {
	h.pending = h.pending.Plus(c)
	n := float64(c.Total())
	decay := math.Pow(1-1/recentWindow, n)
	h.recentGood = h.recentGood*decay + float64(c.Good)
	h.recentTotal = h.recentTotal*decay + n
	if h.history.Total() < minHistory {
		return 0
	}
	base := clampRate(h.history.smoothedRate(priorRate) - watchMargin)
	best := 0.0
	for i, effect := range effects {
		h.cusums[i] = max(h.cusums[i], 0) + logLikelihoodRatio(c, clampRate(base-effect), base)
		best = max(best, h.cusums[i])
	}
	return math.Exp(min(best, maxLogEvidence))
}

// discardPending drops outcomes received while the rating service was
// distrusted.
func (h *channelHistory) discardPending() {
	h.pending = Counts{}
	h.cusums = [len(effects)]float64{}
}

// mergePending moves pending outcomes into the history after historyLag, unless
// the evidence for a loss is high.
func (h *channelHistory) mergePending(evidence float64, now time.Time) {
	if now.Sub(h.lastMerge) < historyLag || evidence >= math.Sqrt(watchBound) {
		return
	}
	h.history = h.history.Plus(h.pending)
	h.pending = Counts{}
	h.lastMerge = now
	if n := h.history.Total(); n > maxHistory {
		h.history.Good = h.history.Good * maxHistory / n
		h.history.Bad = h.history.Bad * maxHistory / n
	}
}

// shiftZ returns by how many standard errors the newest outcomes differ from the
// history. It returns 0 if there are too few outcomes.
func (h *channelHistory) shiftZ() float64 {
	if h.history.Total() < minHistory || h.recentTotal < minBaseline {
		return 0
	}
	p := h.history.smoothedRate(priorRate)
	return (h.recentGood/h.recentTotal - p) / math.Sqrt(p*(1-p)/h.recentTotal)
}

// Watch compares versions in place with their own history, for use while no
// other version runs beside them. It distrusts the rating service before the
// versions: while the ratings of several versions shift together, it ignores
// ratings. A withdrawal waits until the loss has lasted confirmDuration; a hold
// does not.
type Watch struct {
	versions map[config.Target]*versionHistory
}

// versionHistory holds the channels of one version and the start of each loss.
type versionHistory struct {
	channels   [channelCount]channelHistory
	alarmSince [channelCount]time.Time
}

// NewWatch returns a watch without history.
func NewWatch() *Watch { return &Watch{versions: map[config.Target]*versionHistory{}} }

// AddHistory adds outcomes that only later ones are compared with. They are no
// evidence.
func (w *Watch) AddHistory(t config.Target, e Evidence) {
	v := w.historyOf(t)
	for i, c := range e.channels() {
		v.channels[i].history = v.channels[i].history.Plus(c)
	}
}

// historyOf returns the history of a version and creates it if needed.
func (w *Watch) historyOf(t config.Target) *versionHistory {
	v := w.versions[t]
	if v == nil {
		v = &versionHistory{}
		w.versions[t] = v
	}
	return v
}

// Observe adds a version's outcomes since the last call and returns the analysis
// result at now.
func (w *Watch) Observe(t config.Target, e Evidence, now time.Time) AnalysisResult {
	h := w.historyOf(t)
	result := AnalysisResult{}
	for i, c := range e.channels() {
		evidence := h.channels[i].add(c)
		if i == ratingsChannel && !w.RatingsTrusted() {
			h.channels[i].discardPending()
			h.alarmSince[i] = time.Time{}
			continue
		}
		h.channels[i].mergePending(evidence, now)
		if evidence < watchBound {
			h.alarmSince[i] = time.Time{}
			continue
		}
		if h.alarmSince[i].IsZero() {
			h.alarmSince[i] = now
		}
		result.HoldUntil = now.Add(HoldTime)
		result.Withdraw = result.Withdraw || now.Sub(h.alarmSince[i]) >= confirmDuration
		result.Reason = fmt.Sprintf("%s: evidence %.3g that it is worse than its own past, bound %.3g", channelNames[i], evidence, float64(watchBound))
	}
	return result
}

// RatingsTrusted reports whether changes in the ratings are due to the versions.
// It is false while the ratings of more than one version shift the same way, or
// those of one version rise: then the rating service has changed.
func (w *Watch) RatingsTrusted() bool {
	up, down := 0, 0
	for _, v := range w.versions {
		z := v.channels[ratingsChannel].shiftZ()
		if z > singleRiseZ {
			return false
		}
		if z > jointShiftZ {
			up++
		}
		if z < -jointShiftZ {
			down++
		}
	}
	return up < 2 && down < 2
}
