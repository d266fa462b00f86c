package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
)

func newTestRollouts(t *testing.T) (*rollouts, *sessions) {
	t.Helper()
	s := newSessions(gossip.NewMap(nil), versionCounter(), zap.NewNop())
	r := newRollouts(testSchema{}, s, func() *Settings { return &Settings{SessionLife: 5 * time.Second, ExposureRatio: 0.15} }, zap.NewNop())
	r.setAllWiden(true)
	return r, s
}

func orderRow(t *testing.T, version uint64) gossip.Row {
	return gossip.Row{Table: "o", Key: "r/x", Version: version, Data: encode(t, RolloutOrder{Service: "x", To: "v2", Duration: 20 * time.Second})}
}

func statusRow(t *testing.T, version uint64, s RolloutState) gossip.Row {
	return gossip.Row{Table: "st", Key: "r/x", Version: version, Data: encode(t, RolloutStatus{State: s, To: "v2"})}
}

// sessionBelow returns a session that moves once the new version's share of sessions
// reaches limit.
func sessionBelow(limit float64) string {
	for i := 0; ; i++ {
		if s := "s" + strconv.Itoa(i); sessionFraction("x", s) < limit {
			return s
		}
	}
}

// canarySession returns a session that the canary of the test's roll-outs gets.
func canarySession() string {
	return sessionBelow(newSchedule(exposureBound, 20*time.Second, true).canary)
}

// In the first half of a roll-out a session in progress keeps its version, and a new
// one in the canary's share moves. Later all sessions move, and none moves back.
func TestSessionsKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	session := canarySession()
	r.apply([]gossip.Row{orderRow(t, 1)}, startTime)
	r.Observe("x", "v1", forward.Observation{Session: session}, startTime)
	is.Equal(r.Pick("x", session, startTime.Add(time.Second)), forward.Choice{Except: "v2"})
	is.Equal(r.Pick("x", session, startTime.Add(7*time.Second)).Prefer, "v2") // the session had ended
	r.Observe("x", "v2", forward.Observation{Session: session}, startTime.Add(7*time.Second))
	is.Equal(r.Pick("x", session, startTime.Add(9*time.Second)), forward.Choice{Prefer: "v2", Share: newSchedule(exposureBound, 20*time.Second, true).canary})
	others := 0
	for i := range 1000 {
		if r.Pick("x", "o"+strconv.Itoa(i), startTime.Add(9*time.Second)).Prefer == "v2" {
			others++
		}
	}
	is.True(others > 25 && others < 75) // the canary's share
	late := sessionBelow(0.9)
	is.Equal(r.Pick("x", late, startTime.Add(18500*time.Millisecond)).Prefer, "v2")
	r.apply([]gossip.Row{statusRow(t, 2, RolloutCompleted)}, startTime)
	is.Equal(r.Pick("x", "any", startTime.Add(19*time.Second)), forward.Choice{Only: "v2"})
}

// Nodes that did not serve a session must also keep its version.
func TestSessionVersionsAreShared(t *testing.T) {
	is := is.New(t)
	r, s := newTestRollouts(t)
	session := canarySession()
	r.apply([]gossip.Row{orderRow(t, 1)}, startTime)
	s.apply([]gossip.Row{{Table: tableSessions, Key: "x/" + session, Version: 1, Data: encode(t, sessionUse{Version: "v1"})}}, startTime)
	is.Equal(r.Pick("x", session, startTime.Add(time.Second)), forward.Choice{Except: "v2"})
}

// A version that fails the analysis of all nodes' counts must get no further request,
// and its status is due. A good version with some failures must not fail.
func TestBadVersionIsReverted(t *testing.T) {
	for _, c := range []struct {
		name         string
		newGood      int
		newFailed    int
		wantReverted bool
	}{{"half fails", 1, 1, true}, {"as the old one", 19, 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newTestRollouts(t)
			r.apply([]gossip.Row{orderRow(t, 1)}, startTime)
			var seen comparison
			failedAfter := 0
			for range 30 {
				seen = seen.plus(comparison{outcomes{Good: 19, Failed: 1}, outcomes{Good: c.newGood, Failed: c.newFailed}})
				if r.evaluate("x", gossip.Revision{Version: 1}, map[string]comparison{"route": seen}, startTime) {
					failedAfter = seen.New.Good + seen.New.Failed
				}
			}
			is.Equal(failedAfter > 0, c.wantReverted)
			if c.wantReverted {
				is.True(failedAfter <= 30) // few answers suffice
				is.Equal(r.Pick("x", canarySession(), startTime), forward.Choice{Except: "v2"})
				due := r.pendingStatuses(startTime.Add(time.Second))[0]
				is.Equal(due.status.State, RolloutReverted)
				is.Equal(due.overdue, time.Second) // one node writes the status, the others stand by
			}
		})
	}
}

// Slow answers of a new version count against it, the slow start of cold caches does
// not.
func TestSlowAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	tl := newTally()
	for range 50 {
		tl.add("x", false, forward.Observation{Latency: 200 * time.Millisecond, Route: "r"})
	}
	tl.add("x", true, forward.Observation{Latency: 600 * time.Millisecond, Route: "r"})
	tl.add("x", true, forward.Observation{Latency: 1600 * time.Millisecond, Route: "r"})
	is.Equal(tl.services["x"].Routes["r"].New, outcomes{Good: 1, Slow: 1})
}

// A good version is completed in time and only once. A newer order starts a new
// roll-out.
func TestPendingStatuses(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]gossip.Row{orderRow(t, 1)}, startTime)
	is.Equal(r.pendingStatuses(startTime)[0].status.State, RolloutRunning)
	r.apply([]gossip.Row{statusRow(t, 2, RolloutRunning)}, startTime)
	is.Equal(len(r.pendingStatuses(startTime.Add(time.Second))), 0)
	d := r.pendingStatuses(startTime.Add(19 * time.Second))
	is.Equal(d[0].status.State, RolloutCompleted)
	is.Equal(d[0].expected, gossip.Revision{Version: 2})
	// Other nodes have their turn before the time is over: the store may refuse the first.
	is.True(startTime.Add(19*time.Second - d[0].overdue).Add((statusWriters - 1) * standbyDelay(d[0].remaining)).Before(startTime.Add(20 * time.Second)))
	r.apply([]gossip.Row{statusRow(t, 3, RolloutCompleted)}, startTime)
	is.Equal(len(r.pendingStatuses(startTime.Add(19500*time.Millisecond))), 0)
	r.apply([]gossip.Row{orderRow(t, 4)}, startTime.Add(30*time.Second))
	is.Equal(r.pendingStatuses(startTime.Add(30 * time.Second))[0].status.State, RolloutRunning)
}

// A node that starts in the middle of a roll-out must take its stage from the others.
func TestStageIsTakenFromOtherNodes(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]gossip.Row{orderRow(t, 1)}, startTime)
	e := &evidence{rows: gossip.NewMap(nil), nextVersion: versionCounter(), log: zap.NewNop(), countsByKey: map[string]rolloutCounts{}}
	e.apply([]gossip.Row{{Key: "x/other", Data: encode(t, rolloutCounts{OrderVersion: 1, ElapsedMS: 18500, Routes: map[string]comparison{"r": {New: outcomes{Good: 3}}}})}}, r, startTime)
	is.Equal(r.Pick("x", sessionBelow(0.9), startTime).Prefer, "v2")
	is.Equal(e.totals("x", gossip.Revision{Version: 1})["r"].New.Good, 3)
}

// A node that did not see enough answers must take a failed analysis from another
// node, but of the same order only: the version may have been fixed and ordered again.
func TestFailedAnalysisIsShared(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]gossip.Row{orderRow(t, 9)}, startTime)
	e := &evidence{rows: gossip.NewMap(nil), nextVersion: versionCounter(), log: zap.NewNop(), countsByKey: map[string]rolloutCounts{}}
	e.apply([]gossip.Row{{Key: "x/other", Data: encode(t, rolloutCounts{OrderVersion: 4, HasFailedAnalysis: true})}}, r, startTime)
	is.Equal(r.pendingStatuses(startTime.Add(19 * time.Second))[0].status.State, RolloutCompleted)
	e.apply([]gossip.Row{{Key: "x/other", Data: encode(t, rolloutCounts{OrderVersion: 9, HasFailedAnalysis: true})}}, r, startTime)
	is.Equal(r.pendingStatuses(startTime.Add(19 * time.Second))[0].status.State, RolloutReverted)
	is.Equal(r.Pick("x", canarySession(), startTime), forward.Choice{Except: "v2"})
}

// When all nodes are lost at once, the roll-out must resume where it was, by the
// store's clock. The stored start of an older order must be ignored.
func TestRolloutResumesAfterLossOfAllNodes(t *testing.T) {
	is := is.New(t)
	before, _ := newTestRollouts(t)
	before.apply([]gossip.Row{orderRow(t, 5)}, startTime)
	stored := before.startRow("x", time.Hour+4*time.Second, startTime.Add(4*time.Second))
	is.Equal(stored.StartedMS, time.Hour.Milliseconds())
	rows := []gossip.Row{{Key: startKeyPrefix + "x", Version: 6, Data: encode(t, stored)}, {Key: memberKeyPrefix + "n", Version: 7}}

	restarted := startTime.Add(12 * time.Second)
	after, _ := newTestRollouts(t)
	after.apply([]gossip.Row{orderRow(t, 5)}, restarted)
	after.applyStarts(rows)
	after.applyStoredStarts(time.Hour+12*time.Second, restarted)
	is.Equal(after.ensureRollout("x").progress(restarted), 0.6)

	newer, _ := newTestRollouts(t)
	newer.apply([]gossip.Row{orderRow(t, 9)}, restarted)
	newer.applyStarts(rows)
	newer.applyStoredStarts(time.Hour+12*time.Second, restarted)
	is.Equal(newer.ensureRollout("x").progress(restarted), 0.0)
}

// Guards against sessions that change their version with each node that serves them: nodes
// of an earlier release do not widen the canary of a short roll-out.
func TestCanaryIsWidenedByAllNodesOrNone(t *testing.T) {
	for _, c := range []struct {
		name  string
		other nodeState
		share float64
	}{
		{"same release", nodeState{Node: "n2", Inner: "n2", DataCentre: "a", WidensCanary: true}, newSchedule(exposureBound, 10*time.Second, true).share(0.6)},
		{"earlier release", nodeState{Node: "n2", Inner: "n2", DataCentre: "a"}, newSchedule(exposureBound, 10*time.Second, true).canary},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembers(zap.NewNop())
			m.setSelf(nodeState{Node: "n1", Inner: "n1", DataCentre: "a", WidensCanary: true})
			m.heartbeats["n2"] = receivedHeartbeat{nodeState: c.other, receivedAt: time.Now()}
			r := newRollouts(testSchema{}, newSessions(gossip.NewMap(nil), versionCounter(), zap.NewNop()), func() *Settings { return &Settings{ExposureRatio: exposureBound} }, zap.NewNop())
			r.setAllWiden(m.widenCanaries())
			ro := r.ensureRollout("x")
			ro.order, ro.startedAt = RolloutOrder{Service: "x", To: "v2", Duration: 10 * time.Second}, startTime
			is.Equal(r.share(ro, startTime.Add(6*time.Second)), c.share)
			m.heartbeats["n2"] = receivedHeartbeat{nodeState: nodeState{Node: "n2", Inner: "n2", DataCentre: "a", WidensCanary: true}, receivedAt: time.Now()}
			m.cachedLive = nil
			r.setAllWiden(m.widenCanaries())
			is.Equal(r.share(ro, startTime.Add(6*time.Second)), c.share) // for as long as it lasts
		})
	}
}
