package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

var start = time.Unix(1000, 0)

func half() float64 { return 0.5 }

// choose returns the chosen server alone.
func choose(p *Pool, q Query, now time.Time) *Member {
	m, _ := p.Choose(q, now)
	return m
}

func engines(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{ID: string(rune('a' + i)), Address: string(rune('a' + i)), Service: "s", DataCentre: "dc", Version: "v1", Slots: 10})
	}
	return out
}

// Requests that share the head of a prompt meet at one engine, alike on all
// nodes.
func TestAffinityIsStable(t *testing.T) {
	is := is.New(t)
	p, other := New(), New()
	p.Update(engines(9), start)
	other.Update(engines(9), start)
	q := Query{Service: "s", Affinity: "large/subject", Cold: 700 * time.Millisecond, DataCentre: "dc", Draw: half}
	first := choose(p, q, start)
	is.Equal(first.ID, choose(p, q, start).ID)
	is.Equal(first.ID, choose(other, q, start).ID)
}

// A prompt leaves the engine that has its head cached once the wait there is
// longer than reading all of it elsewhere.
func TestPromptSpillsWhenWaitExceedsColdRead(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Update(engines(9), start)
	q := Query{Service: "s", Affinity: "large/subject", Cold: 700 * time.Millisecond, DataCentre: "dc", Draw: half}
	home := choose(p, q, start)
	q.Read = map[prefix.Server]time.Duration{home.Key(): 200 * time.Millisecond}
	home.Others(3, 150*time.Millisecond, start)
	is.Equal(choose(p, q, start).ID, home.ID) // a short wait costs less than a cold read
	home.Others(3, 2*time.Second, start)
	is.True(choose(p, q, start).ID != home.ID)
}

// Nodes that see the same late news do not all choose the same idle engine.
func TestSpillSpreads(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Update(engines(20), start)
	q := Query{Service: "s", Affinity: "large/hot", Cold: 500 * time.Millisecond, DataCentre: "dc", Draw: half}
	first, second := topTwo(p.Members("s"), q.Affinity)
	q.Read = map[prefix.Server]time.Duration{first.Key(): 100 * time.Millisecond, second.Key(): 100 * time.Millisecond}
	first.Others(9, 5*time.Second, start)
	second.Others(9, 5*time.Second, start)
	seen := map[string]int{}
	draw := 0.0
	q.Draw = func() float64 { draw += 0.37; return draw - float64(int(draw)) }
	for range 100 {
		seen[choose(p, q, start).ID]++
	}
	is.True(len(seen) >= 8)
}

// Servers that leave, fail or were tried are passed over; an ejected one is
// better than none.
func TestChooseSkips(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(3)
	list[0].Draining = true
	p.Update(list, start)
	q := Query{Service: "s", Draw: half, Exclude: []*Member{p.Member("b")}}
	is.Equal(choose(p, q, start).ID, "c")
	for range 3 {
		p.Member("c").Fail(start.Add(time.Millisecond), start.Add(time.Millisecond), 1)
	}
	is.Equal(choose(p, q, start.Add(10*time.Millisecond)).ID, "c")
	q.Exclude = nil
	is.Equal(choose(p, q, start.Add(10*time.Millisecond)).ID, "b")
}

// Versions restrict the choice; a preferred one that has no server does not.
func TestChooseVersions(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(2)
	list[1].Version = "v2"
	p.Update(list, start)
	for _, c := range []struct {
		versions Versions
		id       string
	}{{Versions{Only: "v2"}, "b"}, {Versions{Except: "v2"}, "a"}, {Versions{Prefer: "v2"}, "b"}} {
		is.Equal(choose(p, Query{Service: "s", Draw: half, Versions: c.versions}, start).ID, c.id)
	}
	is.True(choose(p, Query{Service: "s", Draw: half, Versions: Versions{Prefer: "v3"}}, start) != nil)
	is.True(choose(p, Query{Service: "s", Draw: half, Versions: Versions{Only: "v3"}}, start) == nil)
}

// A server that left takes no request even if it was chosen just before, and
// one that comes back under its ID is a new one.
func TestLeftAndRestarted(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Update(engines(1), start)
	m := p.Member("a")
	p.Update(nil, start)
	is.True(!m.Begin(start, 0))
	again := engines(1)
	again[0].Started = 5
	p.Update(again, start)
	is.True(p.Member("a") != m)
	is.True(p.Member("a").Begin(start, 0))
}

// Short prompts with long answers stay in the data centre: their bytes between
// data centres cost more than reading what another engine has cached.
func TestLocalPromptsStayNear(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(9)
	for i := range list {
		list[i].DataCentre = string(rune('x' + i%3))
	}
	p.Update(list, start)
	for i := range 20 {
		q := Query{Service: "s", Affinity: string(rune('a' + i)), Cold: 20 * time.Millisecond, DataCentre: "y", Far: 60 * time.Millisecond, Draw: func() float64 { return 0 }}
		is.Equal(choose(p, q, start).DataCentre, "y")
	}
	q := Query{Service: "s", Affinity: "k", DataCentre: "nowhere", Far: time.Second, Draw: half}
	is.True(choose(p, q, start) != nil)
}

// A log line tells why servers were not there to choose.
func TestPassedOver(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(5)
	list[0].Draining = true
	list[1].Version = "v2"
	p.Update(list, start)
	for range 3 {
		p.Member("d").Fail(start.Add(time.Millisecond), start.Add(time.Millisecond), 1)
	}
	q := Query{Service: "s", Versions: Versions{Except: "v2"}, Exclude: []*Member{p.Member("c")}}
	is.Equal(p.PassedOver(q, start.Add(2*time.Millisecond)), PassedOver{Draining: 1, Version: 1, Tried: 1, Ejected: 1})
	is.Equal(p.Member("e").LoadAge(start.Add(time.Second)), time.Second)
}

// A canary's requests meet at as many servers as they need, the same on all
// nodes, and at others where these cannot be used.
func TestCanaryIsConcentrated(t *testing.T) {
	is := is.New(t)
	p := New()
	servers := engines(9)
	for i := range servers {
		servers[i].Version = "v2"
	}
	p.Update(servers, start)
	seen := func(share float64) map[string]bool {
		out := map[string]bool{}
		for i := range 200 {
			q := Query{Service: "s", Affinity: "m/" + string(rune('a'+i%26)), Cold: time.Second, DataCentre: "dc", Draw: half}
			q.Versions = Versions{Prefer: "v2", Share: share}
			out[choose(p, q, start).ID] = true
		}
		return out
	}
	is.Equal(len(seen(0.06)), 1)
	is.True(len(seen(0.3)) <= 3)
	is.True(len(seen(0.9)) > 3)
	for id := range seen(0.06) {
		p.Member(id).Fail(start, start, 0.5)
		p.Member(id).Fail(start.Add(time.Second), start.Add(time.Second), 0.5)
	}
	is.Equal(len(seen(0.06)), 1)
}
