package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// The details of a server's load take six bytes, keep each figure within 5 %, and take none
// for servers without any. A damaged tail costs its own entry only.
func TestLoadDetailsRoundTrip(t *testing.T) {
	is := is.New(t)
	d := loadDetails{1: {LongPrefill: 900 * time.Millisecond, Tokens: 61000}, 2: {}, 7: {LongPrefill: 24 * time.Hour}}
	raw := d.encode()
	is.Equal(len(raw), 2*loadDetailsBytes)
	got := decodeLoadDetails(append(raw, 1, 2, 3))
	is.Equal(len(got), 2)
	is.True(got[1].LongPrefill > 855*time.Millisecond && got[1].LongPrefill < 945*time.Millisecond)
	is.True(got[1].Tokens > 57950 && got[1].Tokens < 64050)
	is.True(got[7].LongPrefill > time.Hour)
}

// A hub does not publish the tokens of servers whose memory is nearly empty: they would make
// up most of the bytes and decide nothing.
func TestFewTokensAreNotPublished(t *testing.T) {
	is := is.New(t)
	d := loadDetails{1: {Tokens: 1000}, 2: {Tokens: 90000}, 3: {LongPrefill: time.Second, Tokens: 10}, 4: {Tokens: 90000}}
	got := d.withoutFewTokens(func(s prefix.Server) float64 {
		if s == 4 {
			return 0
		}
		return 100000
	})
	is.Equal(len(got.encode()), 2*loadDetailsBytes)
	is.Equal(got[2].Tokens, 90000.0)
	is.Equal(got[3], pool.Details{LongPrefill: time.Second})
}

// Rows of the previous release have no details, and it ignores those of this one: their load
// is read as before in both directions.
func TestLoadDetailsAndThePreviousRelease(t *testing.T) {
	is := is.New(t)
	work := workload{1: {running: 3, pendingPrefill: time.Second}}
	details := loadDetails{1: {LongPrefill: time.Second}}
	type previousHeartbeat struct {
		nodeState
		Workload []byte `json:"work,omitempty"`
		Prefixes []byte `json:"reads,omitempty"`
	}
	var previous previousHeartbeat
	is.NoErr(json.Unmarshal(encode(t, heartbeat{readyNode("n1", "a", 1), work.encode(), details.encode(), nil}), &previous))
	is.Equal(decodeWorkload(previous.Workload), work)
	m := newMembers(nil)
	m.setSelf(readyNode("hub", "a", 1))
	m.applyHeartbeats([]gossip.Row{{Table: tableHeartbeats, Key: "n1", Data: encode(t, previous)}, {Table: tableHeartbeats, Key: "n2", Data: encode(t, heartbeat{readyNode("n2", "a", 1), work.encode(), details.encode(), nil})}}, startTime)
	_, total := m.localMemberList()
	is.Equal(total[1].running, 6)
	is.Equal(len(m.localLoadDetails()), 1)
}

// The details of a data centre leave the sum with its hub's heartbeat.
func TestLoadDetailsOfALostHubAreDropped(t *testing.T) {
	is := is.New(t)
	m := newMembers(nil)
	m.loggedNames = map[string]bool{"": true}
	m.applyMemberLists([]gossip.Row{{Key: "hub", Data: []byte("[]")}}, startTime)
	m.applyLoadDetails([]gossip.Row{{Key: "hub", Data: loadDetails{1: {LongPrefill: time.Second}}.encode()}})
	is.Equal(len(m.totalLoadDetails()), 1)
	m.prune(startTime.Add(hubHeartbeatTimeout + time.Millisecond))
	is.Equal(len(m.totalLoadDetails()), 0)
}

// A node's own work comes back to it in the sum of its hub and must not count twice.
func TestOwnDetailsCountOnce(t *testing.T) {
	is := is.New(t)
	n := &Node{pool: pool.New(), members: newMembers(nil)}
	n.pool.Update([]pool.Server{{ID: "x", Service: "s", Slots: 4}}, startTime)
	m := n.pool.Member("x")
	m.BeginWork(pool.Details{LongPrefill: time.Second, Tokens: 16000})
	n.members.applyLoadDetails([]gossip.Row{
		{Key: "hub a", Data: loadDetails{m.Key(): {LongPrefill: time.Second, Tokens: 16000}}.encode()},
		{Key: "hub b", Data: loadDetails{m.Key(): {LongPrefill: 500 * time.Millisecond, Tokens: 64000}}.encode()},
	})
	n.applyRemoteLoad(startTime)
	p := m.LoadEstimate(startTime)
	is.True(p.LongBacklog > 1400*time.Millisecond && p.LongBacklog < 1600*time.Millisecond)
	is.True(p.Tokens > 76000 && p.Tokens < 84000)
}
