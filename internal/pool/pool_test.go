package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

var start = time.Unix(1000, 0)

func drawHalf() float64 { return 0.5 }

// choose returns only the server that p chooses.
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

// Requests that share a prompt prefix must go to the same engine from all
// nodes.
func TestAffinityIsStableAcrossNodes(t *testing.T) {
	is := is.New(t)
	p, other := New(), New()
	p.Update(engines(9), start)
	other.Update(engines(9), start)
	q := Query{Service: "s", Affinity: "large/subject", ColdReadTime: 700 * time.Millisecond, DataCentre: "dc", Draw: drawHalf}
	first := choose(p, q, start)
	is.Equal(first.ID, choose(p, q, start).ID)
	is.Equal(first.ID, choose(other, q, start).ID)
}

// A prompt must overflow to another engine once the wait at the engine with its
// cached prefix exceeds a cold read elsewhere.
func TestPromptOverflowsWhenWaitExceedsColdRead(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Update(engines(9), start)
	q := Query{Service: "s", Affinity: "large/subject", ColdReadTime: 700 * time.Millisecond, DataCentre: "dc", Draw: drawHalf}
	home := choose(p, q, start)
	q.CachedReadTimes = map[prefix.Server]time.Duration{home.Key(): 200 * time.Millisecond}
	home.SetRemoteWork(3, 150*time.Millisecond, start)
	is.Equal(choose(p, q, start).ID, home.ID) // a short wait costs less than a cold read
	home.SetRemoteWork(3, 2*time.Second, start)
	is.True(choose(p, q, start).ID != home.ID)
}

// Nodes with the same outdated load information must not all choose the same
// idle engine.
func TestOverflowSpreads(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Update(engines(20), start)
	q := Query{Service: "s", Affinity: "large/hot", ColdReadTime: 500 * time.Millisecond, DataCentre: "dc", Draw: drawHalf}
	first, second := topTwoByScore(p.Members("s"), q.Affinity)
	q.CachedReadTimes = map[prefix.Server]time.Duration{first.Key(): 100 * time.Millisecond, second.Key(): 100 * time.Millisecond}
	first.SetRemoteWork(9, 5*time.Second, start)
	second.SetRemoteWork(9, 5*time.Second, start)
	seen := map[string]int{}
	draw := 0.0
	q.Draw = func() float64 { draw += 0.37; return draw - float64(int(draw)) }
	for range 100 {
		seen[choose(p, q, start).ID]++
	}
	is.True(len(seen) >= 8)
}

// Servers that are draining, ejected or already tried are skipped. An ejected
// server is chosen if no other is left.
func TestChooseSkipsUnusableServers(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(3)
	list[0].Draining = true
	p.Update(list, start)
	q := Query{Service: "s", Draw: drawHalf, Exclude: []*Member{p.Member("b")}}
	is.Equal(choose(p, q, start).ID, "c")
	for range 3 {
		p.Member("c").RecordFailure(start.Add(time.Millisecond), start.Add(time.Millisecond), 1)
	}
	is.Equal(choose(p, q, start.Add(10*time.Millisecond)).ID, "c")
	q.Exclude = nil
	is.Equal(choose(p, q, start.Add(10*time.Millisecond)).ID, "b")
}

// Versions restrict the choice. A preferred version without a server does not.
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
		is.Equal(choose(p, Query{Service: "s", Draw: drawHalf, Versions: c.versions}, start).ID, c.id)
	}
	is.True(choose(p, Query{Service: "s", Draw: drawHalf, Versions: Versions{Prefer: "v3"}}, start) != nil)
	is.True(choose(p, Query{Service: "s", Draw: drawHalf, Versions: Versions{Only: "v3"}}, start) == nil)
}

// A delisted server must take no request even if it was chosen just before. Its
// next incarnation under the same ID is a new member.
func TestDelistedAndRestartedServer(t *testing.T) {
	is := is.New(t)
	p := New()
	p.Update(engines(1), start)
	m := p.Member("a")
	p.Update(nil, start)
	is.True(!m.BeginRequest(start, 0))
	again := engines(1)
	again[0].Started = 5
	p.Update(again, start)
	is.True(p.Member("a") != m)
	is.True(p.Member("a").BeginRequest(start, 0))
}

// Short prompts with long answers must stay in the local data centre:
// transferring their bytes costs more than reading what another engine has
// cached.
func TestCheapPromptsStayLocal(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(9)
	for i := range list {
		list[i].DataCentre = string(rune('x' + i%3))
	}
	p.Update(list, start)
	for i := range 20 {
		q := Query{Service: "s", Affinity: string(rune('a' + i)), ColdReadTime: 20 * time.Millisecond, DataCentre: "y", RemotePenalty: 60 * time.Millisecond, Draw: func() float64 { return 0 }}
		is.Equal(choose(p, q, start).DataCentre, "y")
	}
	q := Query{Service: "s", Affinity: "k", DataCentre: "nowhere", RemotePenalty: time.Second, Draw: drawHalf}
	is.True(choose(p, q, start) != nil)
}

// The request log reports why servers could not be chosen.
func TestCountSkipped(t *testing.T) {
	is := is.New(t)
	p := New()
	list := engines(5)
	list[0].Draining = true
	list[1].Version = "v2"
	p.Update(list, start)
	for range 3 {
		p.Member("d").RecordFailure(start.Add(time.Millisecond), start.Add(time.Millisecond), 1)
	}
	q := Query{Service: "s", Versions: Versions{Except: "v2"}, Exclude: []*Member{p.Member("c")}}
	is.Equal(p.CountSkipped(q, start.Add(2*time.Millisecond)), Skipped{Draining: 1, Version: 1, Tried: 1, Ejected: 1})
	is.Equal(p.Member("e").LoadAge(start.Add(time.Second)), time.Second)
}

// A canary's requests go to as few servers as their share needs, the same ones
// on all nodes, and to others if these cannot be used.
func TestCanaryUsesFewServers(t *testing.T) {
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
			q := Query{Service: "s", Affinity: "m/" + string(rune('a'+i%26)), ColdReadTime: time.Second, DataCentre: "dc", Draw: drawHalf}
			q.Versions = Versions{Prefer: "v2", Share: share}
			out[choose(p, q, start).ID] = true
		}
		return out
	}
	is.Equal(len(seen(0.06)), 1)
	is.True(len(seen(0.3)) <= 3)
	is.True(len(seen(0.9)) > 3)
	for id := range seen(0.06) {
		p.Member(id).RecordFailure(start, start, 0.5)
		p.Member(id).RecordFailure(start.Add(time.Second), start.Add(time.Second), 0.5)
	}
	is.Equal(len(seen(0.06)), 1)
}
