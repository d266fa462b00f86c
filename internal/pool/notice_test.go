package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What a server said of itself outlives its entry, which lapses with an outage
// of the store, but not the server's start, and not its address.
func TestNoticesOutliveTheEntryButNotTheStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice func(*Pool)
		change func(*Server)
		usable bool
	}{
		{"leaving", func(p *Pool) { p.Member("a").Leave() }, func(*Server) {}, false},
		{"leaving, another start", func(p *Pool) { p.Member("a").Leave() }, func(s *Server) { s.Started++ }, true},
		{"leaving, told by another node", func(p *Pool) { p.Leaving("a", 0, start) }, func(*Server) {}, false},
		{"an earlier start left", func(p *Pool) { p.Leaving("a", -1, start) }, func(*Server) {}, true},
		{"left under another ID", func(p *Pool) { p.Member("a").Leave() }, func(s *Server) { s.ID = "b" }, true},
		{"hold", func(p *Pool) { p.Member("a").HoldOff(time.Minute, start) }, func(*Server) {}, false},
		{"hold, another start", func(p *Pool) { p.Member("a").HoldOff(time.Minute, start) }, func(s *Server) { s.Started++ }, true},
		{"hold is over", func(p *Pool) { p.Member("a").HoldOff(time.Second, start) }, func(*Server) {}, true},
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
			is.Equal(p.Members("s")[0].Usable(now), c.usable)
			is.Equal(choose(p, Query{Service: "s", Draw: half}, now) != nil, c.usable)
			is.Equal(p.Members("s")[0].Begin(now, 0), c.usable)
		})
	}
}

// A node that starts hears of leaving servers before it reads their entries.
func TestLeavingIsKnownBeforeTheEntry(t *testing.T) {
	is, p := is.New(t), New()
	list := engines(2)
	list[0].Started = 5
	p.Leaving("a", 5, start)
	p.Leaving("a", 3, start) // late news of an earlier start
	p.Update(list, start)
	is.True(!p.Member("a").Present())
	is.True(p.Member("b").Present())
}

// Notices and departed members are forgotten, so that neither grows without
// end.
func TestOldNoticesAreForgotten(t *testing.T) {
	is, p := is.New(t), New()
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Minute)
		list := engines(1)
		list[0].ID = string(rune('A' + i))
		p.Update(list, now)
		p.Leaving(list[0].ID, 0, now)
	}
	is.True(len(p.notices) < 15)
	is.True(len(p.departed) < 15)
}

// A server that is chosen while another request hears of its leaving gets
// nothing more.
func TestChosenServerThatLeavesTakesNoRequest(t *testing.T) {
	is, p := is.New(t), New()
	p.Update(engines(1), start)
	m := choose(p, Query{Service: "s", Draw: half}, start)
	is.True(m.Leave())
	is.True(!m.Leave()) // told once
	is.True(!m.Begin(start, 0))
	is.Equal(p.PassedOver(Query{Service: "s"}, start), PassedOver{Draining: 1})
}

// The shortest hold counts only while every server that is there holds off.
func TestShortestHold(t *testing.T) {
	is, p := is.New(t), New()
	p.Update(engines(3), start)
	p.Member("a").HoldOff(5*time.Second, start)
	p.Member("b").HoldOff(2*time.Second, start)
	is.Equal(p.ShortestHold("s", start), time.Duration(0))
	p.Member("c").Leave()
	is.Equal(p.ShortestHold("s", start), 2*time.Second)
	is.Equal(p.ShortestHold("none", start), time.Duration(0))
	is.Equal(p.PassedOver(Query{Service: "s"}, start), PassedOver{Draining: 1, Held: 2})
}
