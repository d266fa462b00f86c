package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/permit"
)

// newWarmupPool returns a pool whose cold servers get 10 requests a second, with the servers
// a and b in the data centres x and y, and a time long after they were listed.
func newWarmupPool() (*Pool, []Server, time.Time) {
	now := time.Unix(1000, 0)
	p, list := New(), []Server{{ID: "a", Service: "s", DataCentre: "x", Slots: 4, Started: 5}, {ID: "b", Service: "s", DataCentre: "y", Slots: 4, Started: 5}}
	p.SetWarmups(map[string]Warmup{"s": {Time: 30 * time.Second, Rate: 10}})
	p.Update(list[1:], now)
	p.Update(list, now.Add(firstListTime)) // the first list may come in parts
	return p, list, now.Add(time.Minute)
}

// coldTrial is a pool in which something is learned of server a.
type coldTrial struct {
	p    *Pool
	a    *Member
	list []Server
	now  time.Time
}

func (c coldTrial) entry(started int64, left time.Duration) {
	c.p.SetEntryWarmup("a", started, left, c.now)
}

func (c coldTrial) otherNode(started int64, left time.Duration, isLost bool) {
	c.p.SetWarmup("a", started, left, isLost, 0, c.now)
}

func (c coldTrial) oldNotice(left, age time.Duration, isLost bool) {
	c.p.SetWarmup("a", 5, left, isLost, age, c.now)
}

// breakOff breaks off a connection of the server, which was last seen running at a given
// time and accepts connections afterwards.
func (c coldTrial) breakOff(seen, now time.Time) {
	c.a.RecordAccepted(seen)
	if c.a.RecordBreak(now) {
		c.a.RecordStillServes(now)
	}
}

func (c coldTrial) restart() { c.list[0].Started = 6; c.p.Update(c.list, c.now) }

// Guards against a server that counts as warm while it may be cold, or as cold for too
// long, by each of the causes. A loss of contact holds until there is contact again.
func TestServerIsColdByEachCause(t *testing.T) {
	const s, unlimited = time.Second, time.Hour
	for name, c := range map[string]struct {
		learn   func(c coldTrial)
		coldFor time.Duration // from now
	}{
		"entry":                          {func(c coldTrial) { c.entry(5, 7*s) }, 7 * s},
		"entry of another start":         {func(c coldTrial) { c.entry(4, 9*s) }, 0},
		"later entry":                    {func(c coldTrial) { c.entry(5, 9*s); c.entry(5, s) }, s},
		"answer":                         {func(c coldTrial) { c.a.RecordWarmup(8*s, c.now, c.now) }, 8 * s},
		"answer says warm":               {func(c coldTrial) { c.entry(5, 9*s); c.a.RecordWarmup(0, c.now.Add(s), c.now.Add(s)) }, 0},
		"earlier request's answer":       {func(c coldTrial) { c.entry(5, 9*s); c.a.RecordWarmup(0, c.now.Add(-s), c.now) }, 9 * s},
		"other node":                     {func(c coldTrial) { c.otherNode(5, 6*s, false) }, 6 * s},
		"other node knows a later start": {func(c coldTrial) { c.otherNode(6, 6*s, false) }, 6 * s},
		"other node is behind":           {func(c coldTrial) { c.otherNode(4, 6*s, true) }, 0},
		"other node lost contact":        {func(c coldTrial) { c.otherNode(5, 0, true) }, 30 * s},
		"other node lost contact too":    {func(c coldTrial) { c.a.RecordLostContact(c.now); c.otherNode(5, 0, true) }, unlimited},
		"old notice":                     {func(c coldTrial) { c.oldNotice(9*s, 5*s, false) }, 4 * s},
		"old notice of a loss":           {func(c coldTrial) { c.oldNotice(0, 29*s, true) }, 30 * s},
		"notice older than a warm-up":    {func(c coldTrial) { c.oldNotice(99*s, 31*s, false); c.oldNotice(0, 31*s, true) }, 0},
		"entry long after the notice":    {func(c coldTrial) { c.oldNotice(9*s, entryDelay, false); c.entry(5, 0) }, 0},
		"entry just after the notice":    {func(c coldTrial) { c.oldNotice(9*s, s, false); c.entry(5, 0) }, 8 * s},
		"probe failed":                   {func(c coldTrial) { c.a.RecordProbe(false, c.now) }, unlimited},
		"broke off but still serves":     {func(c coldTrial) { c.breakOff(c.now, c.now) }, 0},
		"noticed late, still serves":     {func(c coldTrial) { c.breakOff(c.now.Add(-s), c.now) }, unlimited},
		"lost before, still serves":      {func(c coldTrial) { c.a.RecordLostContact(c.now.Add(-1)); c.breakOff(c.now, c.now) }, unlimited},
		"noticed late, breaks again":     {func(c coldTrial) { c.breakOff(c.now.Add(-s), c.now); c.breakOff(c.now, c.now) }, unlimited},
		"back, breaks off, still serves": {func(c coldTrial) {
			c.a.RecordLostContact(c.now.Add(-1))
			c.a.RecordContact(c.now, c.now)
			c.breakOff(c.now, c.now)
		}, 30 * s},
		"contact after a loss":          {func(c coldTrial) { c.a.RecordLostContact(c.now.Add(-s)); c.a.RecordContact(c.now.Add(-1), c.now) }, 30 * s},
		"earlier request is no contact": {func(c coldTrial) { c.a.RecordLostContact(c.now); c.a.RecordContact(c.now.Add(-s), c.now) }, unlimited},
		"entry written before the loss": {func(c coldTrial) { c.a.RecordLostContact(c.now.Add(-s)); c.entry(5, 0) }, unlimited},
		"entry written after the loss":  {func(c coldTrial) { c.a.RecordLostContact(c.now.Add(-s - entryDelay)); c.entry(5, 0) }, 0},
		"new start":                     {func(c coldTrial) { c.restart() }, 30 * s},
		"notice before the entry":       {func(c coldTrial) { c.entry(6, 50*s); c.restart() }, 50 * s},
		"late notice of an earlier start": {func(c coldTrial) {
			c.list[0].Started = 4
			c.p.Update(c.list, c.now.Add(-time.Hour))
			c.entry(6, 50*s)
			c.entry(5, 0)
			c.restart()
		}, 50 * s},
		"stricter of two notices": {func(c coldTrial) { c.otherNode(6, 50*s, true); c.entry(6, 0); c.restart() }, 50 * s},
		"listed again":            {func(c coldTrial) { c.entry(5, 9*s); c.p.Update(c.list[1:], c.now); c.p.Update(c.list, c.now) }, 9 * s},
		"end of evacuation, listed later": {func(c coldTrial) {
			c.p.SetEvacuated(map[string]bool{"x": true}, c.now)
			c.p.Update(c.list[1:], c.now)
			c.p.SetEvacuated(nil, c.now)
			c.p.Update(c.list, c.now)
		}, 30 * s},
		"end of evacuation": {func(c coldTrial) { c.p.SetEvacuated(map[string]bool{"x": true}, c.now); c.p.SetEvacuated(nil, c.now) }, 30 * s},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, list, now := newWarmupPool()
			is.True(!p.Member("a").IsCold(now)) // servers of the first list may be warm
			c.learn(coldTrial{p, p.Member("a"), list, now})
			is.Equal(p.Member("a").IsCold(now.Add(max(c.coldFor-time.Millisecond, 0))), c.coldFor > 0)
			is.Equal(p.Member("a").IsCold(now.Add(c.coldFor)), c.coldFor == unlimited)
			is.True(!p.Member("b").IsCold(now))
		})
	}
}

// Requests to a cold server need permits for the lower of its own limit and the rate of the
// warm-up. Guards against one that was chosen before the server turned cold.
func TestColdServerTakesPermittedRequestsOnly(t *testing.T) {
	is := is.New(t)
	p, _, now := newWarmupPool()
	m := p.Member("a")
	is.True(m.BeginRequest(now, 0))
	p.SetEntryWarmup("a", 5, time.Minute, now)
	is.True(!m.BeginRequest(now, 0))
	is.True(!m.BeginPermitted(now, 0, 12)) // granted for the server's own limit
	is.True(m.BeginPermitted(now, 0, 10))
	for limit, want := range map[float64]float64{20: 10, 2: 2, permit.NoLimit: 10} {
		m.SetLimit(limit, now)
		is.Equal(m.PermitRate(now), want)
	}
	chosen, _ := p.Choose(Query{Service: "s", ExcludeLimited: true, Draw: func() float64 { return 0 }}, now)
	is.Equal(chosen.ID, "b")
	p.SetWarmups(nil)
	m.SetLimit(permit.NoLimit, now)
	is.True(m.BeginRequest(now, 0)) // without a rate nothing changes
}

// Guards against a server with a limit of its own that is passed over for as long as a cold
// one once it is warm.
func TestHoldOffOfColdServerEndsWithWarmup(t *testing.T) {
	is := is.New(t)
	p, _, now := newWarmupPool()
	m := p.Member("a")
	m.SetLimit(50, now)
	p.SetEntryWarmup("a", 5, time.Second, now)
	m.HoldOff(3*time.Second, now)
	is.True(m.isHeldOff(now))
	is.True(!m.isHeldOff(now.Add(time.Second)))
	m.HoldOff(time.Second, now.Add(time.Second))
	is.True(m.isHeldOff(now.Add(time.Second))) // by its own limit
}

// Guards against requests to an evacuated data centre: when a server is chosen, when the
// request is sent, and when no other server is left. Learned state is kept.
func TestEvacuatedServersGetNothing(t *testing.T) {
	is := is.New(t)
	p, _, now := newWarmupPool()
	q := Query{Service: "s", DataCentre: "x", Draw: func() float64 { return 0 }}
	m, _ := p.Choose(q, now)
	is.True(m.ID == "a" && m.BeginRequest(now, 0))
	p.SetEvacuated(map[string]bool{"x": true}, now)
	is.True(!m.BeginRequest(now, 0))
	is.Equal(p.CountSkipped(q, now).Evacuated, 1)
	other, _ := p.Choose(q, now)
	is.True(other.ID == "b" && !p.IsEvacuated("s"))
	p.SetEvacuated(map[string]bool{"x": true, "y": true}, now)
	other, _ = p.Choose(q, now)
	is.True(other == nil && p.IsEvacuated("s"))
	p.SetEvacuated(nil, now)
	running, _ := p.Member("a").LocalWork()
	is.Equal(running, 1)
	is.Equal(p.CountCold(now), 2)
}
