package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// newWarmupPool returns a pool whose cold servers of service s get 10 requests a second,
// with the servers a and b in two data centres, and the time at which it is used.
func newWarmupPool() (*Pool, []Server, time.Time) {
	now := time.Unix(1000, 0)
	p, list := New(), []Server{{ID: "a", Service: "s", DataCentre: "x", Slots: 4, Started: 5}, {ID: "b", Service: "s", DataCentre: "y", Slots: 4, Started: 5}}
	p.SetWarmups(map[string]Warmup{"s": {Time: 30 * time.Second, Rate: 10}})
	p.Update(list, now)
	return p, list, now.Add(time.Minute)
}

// Guards against a server that counts as warm while it may be cold, or as cold for ever, by
// each of the causes.
func TestServerIsColdByEachCause(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		// learn is called at now.
		learn func(p *Pool, list []Server, now time.Time)
		// coldFor is how long the server is cold, from then.
		coldFor time.Duration
	}{
		{"entry", func(p *Pool, _ []Server, now time.Time) { p.SetEntryWarmup("a", 5, 7*second, now) }, 7 * second},
		{"later entry replaces the first", func(p *Pool, _ []Server, now time.Time) {
			p.SetEntryWarmup("a", 5, 9*second, now)
			p.SetEntryWarmup("a", 5, second, now)
		}, second},
		{"entry of another start", func(p *Pool, _ []Server, now time.Time) { p.SetEntryWarmup("a", 4, 9*second, now) }, 0},
		{"answer", func(p *Pool, _ []Server, now time.Time) { p.Member("a").RecordWarmup(8*second, now, now) }, 8 * second},
		{"answer says warm", func(p *Pool, _ []Server, now time.Time) {
			p.SetEntryWarmup("a", 5, 9*second, now)
			p.Member("a").RecordWarmup(0, now.Add(second), now.Add(second))
		}, 0},
		{"answer of an earlier request says warm", func(p *Pool, _ []Server, now time.Time) {
			p.SetEntryWarmup("a", 5, 9*second, now)
			p.Member("a").RecordWarmup(0, now.Add(-second), now)
		}, 9 * second},
		{"other node", func(p *Pool, _ []Server, now time.Time) { p.SetWarmup("a", 5, 6*second, false, now) }, 6 * second},
		{"other node knows a later start", func(p *Pool, _ []Server, now time.Time) { p.SetWarmup("a", 6, 6*second, false, now) }, 6 * second},
		{"other node is behind", func(p *Pool, _ []Server, now time.Time) { p.SetWarmup("a", 4, 6*second, true, now) }, 0},
		{"new start", func(p *Pool, list []Server, now time.Time) {
			list[0].Started = 6
			p.Update(list, now)
		}, 30 * second},
		{"notice of a new start before its entry", func(p *Pool, list []Server, now time.Time) {
			p.SetEntryWarmup("a", 6, 50*second, now)
			list[0].Started = 6
			p.Update(list, now)
		}, 50 * second},
		{"listed again with the same start", func(p *Pool, list []Server, now time.Time) {
			p.SetEntryWarmup("a", 5, 9*second, now)
			p.Update(list[1:], now)
			p.Update(list, now)
		}, 9 * second},
		{"end of evacuation", func(p *Pool, _ []Server, now time.Time) {
			p.SetEvacuated(map[string]bool{"x": true}, now)
			p.SetEvacuated(map[string]bool{}, now)
		}, 30 * second},
		{"evacuation of another data centre", func(p *Pool, _ []Server, now time.Time) {
			p.SetEvacuated(map[string]bool{"y": true}, now)
			p.SetEvacuated(map[string]bool{}, now)
		}, 0},
		{"contact after a loss", func(p *Pool, _ []Server, now time.Time) {
			p.Member("a").RecordProbe(false, now.Add(-second))
			p.Member("a").RecordContact(now.Add(-second/2), now)
		}, 30 * second},
		{"answer of a request before the loss is no contact", func(p *Pool, _ []Server, now time.Time) {
			p.Member("a").RecordLostContact(now)
			p.Member("a").RecordContact(now.Add(-second), now)
		}, time.Hour},
		{"entry written before the loss", func(p *Pool, _ []Server, now time.Time) {
			p.Member("a").RecordLostContact(now.Add(-second))
			p.SetEntryWarmup("a", 5, 0, now)
		}, time.Hour},
		{"entry written after the loss says warm", func(p *Pool, _ []Server, now time.Time) {
			p.Member("a").RecordLostContact(now.Add(-entryDelay - second))
			p.Member("a").RecordContact(now.Add(-second), now.Add(-second))
			p.SetEntryWarmup("a", 5, 0, now)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, list, now := newWarmupPool()
			is.True(!p.Member("a").IsCold(now)) // nothing is known of servers of the first list
			c.learn(p, list, now)
			now = now.Add(2 * time.Millisecond)
			is.Equal(p.Member("a").IsCold(now), c.coldFor > 0)
			is.Equal(p.Member("a").IsCold(now.Add(max(c.coldFor-5*time.Millisecond, 0))), c.coldFor > 0)
			is.Equal(p.Member("a").IsCold(now.Add(c.coldFor)), c.coldFor == time.Hour) // until there is contact
		})
	}
}

// Requests to a cold server need permits, for the lower of its own limit and the rate of
// the warm-up. Guards against one that was chosen before the server turned cold.
func TestColdServerTakesPermittedRequestsOnly(t *testing.T) {
	is := is.New(t)
	p, _, now := newWarmupPool()
	m := p.Member("a")
	is.True(m.BeginRequest(now, 0))
	p.SetEntryWarmup("a", 5, time.Minute, now)
	is.Equal(m.PermitRate(now), 10.0)
	is.True(!m.BeginRequest(now, 0))
	is.True(!m.BeginPermitted(now, 0, 12)) // granted for the server's own limit
	is.True(m.BeginPermitted(now, 0, 10))
	m.SetLimit(20, now)
	is.Equal(m.PermitRate(now), 10.0)
	m.SetLimit(2, now)
	is.Equal(m.PermitRate(now), 2.0)
	is.True(m.BeginPermitted(now, 0, 2))
	is.Equal(m.Limit(), 2.0)
	m.SetLimit(permit.NoLimit, now)
	chosen, _ := p.Choose(Query{Service: "s", ExcludeLimited: true, Draw: func() float64 { return 0 }}, now)
	is.Equal(chosen.ID, "b")
	p.SetWarmups(nil)
	is.Equal(m.PermitRate(now), permit.NoLimit) // without a rate nothing changes
	is.True(m.BeginRequest(now, 0))
	is.Equal(p.CountCold(now), 0)
}

// Guards against requests to an evacuated data centre: when a server is chosen, when the
// request is sent, and when no other server is left.
func TestEvacuatedServersAreNotChosen(t *testing.T) {
	is := is.New(t)
	p, _, now := newWarmupPool()
	q := Query{Service: "s", DataCentre: "x", Draw: func() float64 { return 0 }}
	m, _ := p.Choose(q, now)
	is.Equal(m.ID, "a")
	running, _ := m.LocalWork()
	p.SetEvacuated(map[string]bool{"x": true}, now)
	is.True(!m.BeginRequest(now, 0))
	is.True(!m.BeginPermitted(now, 0, 1))
	is.Equal(p.CountSkipped(q, now).Evacuated, 1)
	other, _ := p.Choose(q, now)
	is.Equal(other.ID, "b")
	is.True(!p.IsEvacuated("s"))
	p.SetEvacuated(map[string]bool{"x": true, "y": true}, now)
	m, _ = p.Choose(q, now)
	is.True(m == nil)
	is.True(p.IsEvacuated("s"))
	is.Equal(p.CountEvacuated(), 2)
	p.SetEvacuated(nil, now)
	is.True(p.Member("a").BeginPermitted(now, 0, 10)) // learned state is kept
	after, _ := p.Member("a").LocalWork()
	is.Equal(after, running+1)
	is.Equal(p.CountCold(now), 2)
}

// Servers of the first list may have been running for long, also if it arrives in parts.
// Each change is reported once.
func TestWarmupChangesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	p, list, now := New(), []Server{{ID: "a", Service: "s", Started: 1}, {ID: "b", Service: "s", Started: 1}, {ID: "c", Service: "s", Started: 1}}, time.Unix(1000, 0)
	p.SetWarmups(map[string]Warmup{"s": {Time: 3 * time.Second, Rate: 10}})
	p.Update(list[:1], now)
	p.Update(list[:2], now.Add(time.Second))
	is.Equal(len(p.WarmupChanges(now.Add(time.Second))), 0)
	p.Update(list, now.Add(time.Minute))
	changes := p.WarmupChanges(now.Add(time.Minute))
	is.Equal(len(changes), 1)
	is.True(changes[0].ID == "c" && changes[0].IsCold && changes[0].Cause == ColdByStart)
	is.Equal(len(p.WarmupChanges(now.Add(time.Minute))), 0)
	changes = p.WarmupChanges(now.Add(2 * time.Minute))
	is.True(len(changes) == 1 && !changes[0].IsCold)
}
