package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/forward"
	"github.com/cowslipfall/cowslipfall/internal/news"
)

func newTestRollouts(t *testing.T) (*rollouts, *sessions) {
	t.Helper()
	s := newSessions(news.NewMap(nil), counter(), zap.NewNop())
	r := newRollouts(testSchema{}, s, func() *Settings { return &Settings{SessionLife: 5 * time.Second, ExposureRatio: 0.15} }, zap.NewNop())
	return r, s
}

func order(t *testing.T, version uint64) news.Row {
	return news.Row{Table: "o", Key: "r/x", Version: version, Data: encode(t, RolloutOrder{Service: "x", To: "v2", Duration: 20 * time.Second})}
}

func status(t *testing.T, version uint64, s RolloutState) news.Row {
	return news.Row{Table: "st", Key: "r/x", Version: version, Data: encode(t, RolloutStatus{State: s, To: "v2"})}
}

// sessionAt returns a session that moves once the new version's share of
// sessions reaches most.
func sessionAt(most float64) string {
	for i := 0; ; i++ {
		if s := "s" + strconv.Itoa(i); sessionPoint("x", s) < most {
			return s
		}
	}
}

// canarySession returns a session that the canary of the tests' roll-outs gets.
func canarySession() string { return sessionAt(newSchedule(exposureBound, 20*time.Second).canary) }

// In the first half of a roll-out a session under way keeps its version, a
// new one in the canary's share moves; later all move, and none comes back.
func TestSessionsKeepTheirVersion(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	session := canarySession()
	r.apply([]news.Row{order(t, 1)}, start)
	r.Observe("x", "v1", forward.Observation{Session: session}, start)
	is.Equal(r.Pick("x", session, start.Add(time.Second)), forward.Choice{Except: "v2"})
	is.Equal(r.Pick("x", session, start.Add(7*time.Second)).Prefer, "v2") // it had ended
	r.Observe("x", "v2", forward.Observation{Session: session}, start.Add(7*time.Second))
	is.Equal(r.Pick("x", session, start.Add(9*time.Second)), forward.Choice{Prefer: "v2", Share: newSchedule(exposureBound, 20*time.Second).canary})
	others := 0
	for i := range 1000 {
		if r.Pick("x", "o"+strconv.Itoa(i), start.Add(9*time.Second)).Prefer == "v2" {
			others++
		}
	}
	is.True(others > 25 && others < 75) // the canary's share
	late := sessionAt(0.9)
	is.Equal(r.Pick("x", late, start.Add(18500*time.Millisecond)).Prefer, "v2")
	r.apply([]news.Row{status(t, 2, RolloutCompleted)}, start)
	is.Equal(r.Pick("x", "any", start.Add(19*time.Second)), forward.Choice{Only: "v2"})
}

// The session's version is known to nodes that did not serve it.
func TestSessionsAreShared(t *testing.T) {
	is := is.New(t)
	r, s := newTestRollouts(t)
	session := canarySession()
	r.apply([]news.Row{order(t, 1)}, start)
	s.apply([]news.Row{{Table: tableSessions, Key: "x/" + session, Version: 1, Data: encode(t, sessionUse{Version: "v1"})}}, start)
	is.Equal(r.Pick("x", session, start.Add(time.Second)), forward.Choice{Except: "v2"})
}

// A bad version is found from what all nodes saw, takes no request from then
// on, and its status is due; a good one with some failures is not.
func TestBadVersionIsFound(t *testing.T) {
	for _, c := range []struct {
		name    string
		newGood int
		newBad  int
		bad     bool
	}{{"half fails", 1, 1, true}, {"as the old one", 19, 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newTestRollouts(t)
			r.apply([]news.Row{order(t, 1)}, start)
			var seen comparison
			found := 0
			for range 30 {
				seen = seen.plus(comparison{outcomes{Good: 19, Failed: 1}, outcomes{Good: c.newGood, Failed: c.newBad}})
				if r.evaluate("x", 1, map[string]comparison{"route": seen}, start) {
					found = seen.New.Good + seen.New.Failed
				}
			}
			is.Equal(found > 0, c.bad)
			if c.bad {
				is.True(found <= 30) // few answers suffice
				is.Equal(r.Pick("x", canarySession(), start), forward.Choice{Except: "v2"})
				due := r.pendingStatuses(start.Add(time.Second))[0]
				is.Equal(due.status.State, RolloutReverted)
				is.Equal(due.late, time.Second) // one node writes it, others stand by
			}
		})
	}
}

// Slow answers of a new version count against it, a slow start of caches does
// not.
func TestSlowVersionCounts(t *testing.T) {
	is := is.New(t)
	tl := newTally()
	for range 50 {
		tl.add("x", false, forward.Observation{Latency: 200 * time.Millisecond, Route: "r"})
	}
	tl.add("x", true, forward.Observation{Latency: 600 * time.Millisecond, Route: "r"})
	tl.add("x", true, forward.Observation{Latency: 1600 * time.Millisecond, Route: "r"})
	is.Equal(tl.services["x"].Routes["r"].New, outcomes{Good: 1, Slow: 1})
}

// A good version is completed in time, and only once; a newer order begins
// anew.
func TestStatusesThatAreDue(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]news.Row{order(t, 1)}, start)
	is.Equal(r.pendingStatuses(start)[0].status.State, RolloutRunning)
	r.apply([]news.Row{status(t, 2, RolloutRunning)}, start)
	is.Equal(len(r.pendingStatuses(start.Add(time.Second))), 0)
	d := r.pendingStatuses(start.Add(19 * time.Second))
	is.Equal(d[0].status.State, RolloutCompleted)
	is.Equal(d[0].expected, uint64(2))
	// Other nodes have their turn before the time is over: the store may refuse
	// the first.
	is.True(start.Add(19*time.Second - d[0].late).Add((writers - 1) * standInFor(d[0].left)).Before(start.Add(20 * time.Second)))
	r.apply([]news.Row{status(t, 3, RolloutCompleted)}, start)
	is.Equal(len(r.pendingStatuses(start.Add(19500*time.Millisecond))), 0)
	r.apply([]news.Row{order(t, 4)}, start.Add(30*time.Second))
	is.Equal(r.pendingStatuses(start.Add(30 * time.Second))[0].status.State, RolloutRunning)
}

// A node that starts in the middle of a roll-out takes its stage from others.
func TestStageIsAdopted(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]news.Row{order(t, 1)}, start)
	e := &evidence{rows: news.NewMap(nil), next: counter(), log: zap.NewNop(), seen: map[string]counts{}}
	e.apply([]news.Row{{Key: "x/other", Data: encode(t, counts{Order: 1, ElapsedMS: 18500, Routes: map[string]comparison{"r": {New: outcomes{Good: 3}}}})}}, r, start)
	is.Equal(r.Pick("x", sessionAt(0.9), start).Prefer, "v2")
	is.Equal(e.totals("x", 1)["r"].New.Good, 3)
}

// A node that did not see enough itself takes the verdict of another one, of the
// same order only: the version may have been mended and ordered again.
func TestVerdictIsShared(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRollouts(t)
	r.apply([]news.Row{order(t, 9)}, start)
	e := &evidence{rows: news.NewMap(nil), next: counter(), log: zap.NewNop(), seen: map[string]counts{}}
	e.apply([]news.Row{{Key: "x/other", Data: encode(t, counts{Order: 4, Bad: true})}}, r, start)
	is.Equal(r.pendingStatuses(start.Add(19 * time.Second))[0].status.State, RolloutCompleted)
	e.apply([]news.Row{{Key: "x/other", Data: encode(t, counts{Order: 9, Bad: true})}}, r, start)
	is.Equal(r.pendingStatuses(start.Add(19 * time.Second))[0].status.State, RolloutReverted)
	is.Equal(r.Pick("x", canarySession(), start), forward.Choice{Except: "v2"})
}

// When all nodes are lost at once, the roll-out goes on where it was, by the
// store's clock; a start of an older order says nothing.
func TestRollOutGoesOnAfterTheLossOfAllNodes(t *testing.T) {
	is := is.New(t)
	before, _ := newTestRollouts(t)
	before.apply([]news.Row{order(t, 5)}, start)
	kept := before.start("x", time.Hour+4*time.Second, start.Add(4*time.Second))
	is.Equal(kept.StartedMS, time.Hour.Milliseconds())
	rows := []news.Row{{Key: prefixStart + "x", Version: 6, Data: encode(t, kept)}, {Key: prefixMember + "n", Version: 7}}

	restarted := start.Add(12 * time.Second)
	after, _ := newTestRollouts(t)
	after.apply([]news.Row{order(t, 5)}, restarted)
	after.applyStarts(rows)
	after.resume(time.Hour+12*time.Second, restarted)
	is.Equal(after.release("x").elapsed(restarted), 0.6)

	newer, _ := newTestRollouts(t)
	newer.apply([]news.Row{order(t, 9)}, restarted)
	newer.applyStarts(rows)
	newer.resume(time.Hour+12*time.Second, restarted)
	is.Equal(newer.release("x").elapsed(restarted), 0.0)
}
