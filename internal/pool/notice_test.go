package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An outage of the store lets a server's entry expire. The server's
// announcements must survive this, but must not apply to another incarnation or
// another ID.
func TestNoticesOutliveListingButNotRestart(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice func(*Pool)
		change func(*Server)
		usable bool
	}{
		{"draining", func(p *Pool) { p.Member("a").MarkDraining() }, func(*Server) {}, false},
		{"draining, another incarnation", func(p *Pool) { p.Member("a").MarkDraining() }, func(s *Server) { s.Started++ }, true},
		{"draining, reported by another node", func(p *Pool) { p.MarkDraining("a", 0, start) }, func(*Server) {}, false},
		{"an earlier incarnation was draining", func(p *Pool) { p.MarkDraining("a", -1, start) }, func(*Server) {}, true},
		{"drained under another ID", func(p *Pool) { p.Member("a").MarkDraining() }, func(s *Server) { s.ID = "b" }, true},
		{"backoff", func(p *Pool) { p.Member("a").StartBackoff(time.Minute, start) }, func(*Server) {}, false},
		{"backoff, another incarnation", func(p *Pool) { p.Member("a").StartBackoff(time.Minute, start) }, func(s *Server) { s.Started++ }, true},
		{"backoff is over", func(p *Pool) { p.Member("a").StartBackoff(time.Second, start) }, func(*Server) {}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, p := is.New(t), New()
			p.Update(engines(1), start)
			c.notice(p)
			p.Update(nil, start.Add(time.Second))
			list := engines(1)
			c.change(&list[0])
			now := start.Add(5 * time.Second)
			p.Update(list, now)
			is.Equal(p.Members("s")[0].IsUsable(now), c.usable)
			is.Equal(choose(p, Query{Service: "s", Draw: drawHalf}, now) != nil, c.usable)
			is.Equal(p.Members("s")[0].BeginRequest(now, 0), c.usable)
		})
	}
}

// A starting node may receive a drain notice before the server's entry.
func TestDrainNoticeBeforeListing(t *testing.T) {
	is, p := is.New(t), New()
	list := engines(2)
	list[0].Started = 5
	p.MarkDraining("a", 5, start)
	p.MarkDraining("a", 3, start) // late notice of an earlier incarnation
	p.Update(list, start)
	is.True(!p.Member("a").IsPresent())
	is.True(p.Member("b").IsPresent())
}

// Drain notices and delisted members must expire, otherwise both would grow
// without bound.
func TestOldNoticesExpire(t *testing.T) {
	is, p := is.New(t), New()
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Minute)
		list := engines(1)
		list[0].ID = string(rune('A' + i))
		p.Update(list, now)
		p.MarkDraining(list[0].ID, 0, now)
	}
	is.True(len(p.drainNotices) < 15)
	is.True(len(p.delisted) < 15)
}

// A server may announce that it is draining between the choice and the start of
// a request. It must not get that request.
func TestChosenServerThatDrainsTakesNoRequest(t *testing.T) {
	is, p := is.New(t), New()
	p.Update(engines(1), start)
	m := choose(p, Query{Service: "s", Draw: drawHalf}, start)
	is.True(m.MarkDraining())
	is.True(!m.MarkDraining()) // not new the second time
	is.True(!m.BeginRequest(start, 0))
	is.Equal(p.CountSkipped(Query{Service: "s"}, start), Skipped{Draining: 1})
}

// The shortest backoff counts only if every present server backs off. Guards against callers
// that return at a time at which only evacuated servers accept requests.
func TestShortestBackoff(t *testing.T) {
	is, p := is.New(t), New()
	list := engines(3)
	list[1].DataCentre = "other"
	p.Update(list, start)
	p.Member("a").StartBackoff(5*time.Second, start)
	p.Member("b").StartBackoff(2*time.Second, start)
	is.Equal(p.ShortestBackoff("s", start), time.Duration(0))
	p.Member("c").MarkDraining()
	is.Equal(p.ShortestBackoff("s", start), 2*time.Second)
	is.Equal(p.ShortestBackoff("none", start), time.Duration(0))
	is.Equal(p.CountSkipped(Query{Service: "s"}, start), Skipped{Draining: 1, BackedOff: 2})
	p.SetEvacuated(map[string]bool{"other": true}, start)
	is.Equal(p.ShortestBackoff("s", start), 5*time.Second)
}
