package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/prefix"
)

// oddData are contents that another writer may leave in any row.
func oddData() [][]byte {
	var out [][]byte
	for _, s := range []string{
		"", "null", "[]", "{", "\xff\xfe\x00", strings.Repeat("[", 1_000_000), strings.Repeat(`{"a":`, 10_001), `{"nodes":1e999}`,
		`{"started_ms":-9223372036854775808,"order":1,"to":"v2"}`, `{"started_ms":99999999999999999999}`, `{"inner":7}`, `{"order":-1}`, `[{"node":[]}]`, `{"part":{},"until":"never"}`,
	} {
		out = append(out, []byte(s))
	}
	return out
}

// newRowNode returns a node that applies rows, without its loops.
func newRowNode(t *testing.T, log *zap.Logger) *Node {
	t.Helper()
	n := newRosterNode(nodeState{Node: "n", Inner: "10.0.0.1:1", DataCentre: "a"}, newMemStore())
	n.options.Schema, n.options.Log = testSchema{}, log
	n.pool, n.prefixes = pool.New(), prefix.New()
	n.config = &config{schema: testSchema{}, log: n.options.Log}
	n.servers = newServers(testSchema{}, n.pool, n.rows, func() time.Duration { return time.Hour }, n.options.Log)
	r, _ := newTestRollouts(t)
	n.rollouts, n.sessions = r, newSessions(n.rows, versionCounter(), n.options.Log)
	n.evidence = &evidence{rows: n.rows, nextVersion: versionCounter(), log: n.options.Log, countsByKey: map[string]rolloutCounts{}}
	n.suspects, _ = newTestSuspects("n")
	n.drainNotices = &drainNotices{pool: n.pool, rows: n.rows, nextVersion: versionCounter(), log: n.options.Log}
	n.serverLimits = &serverLimits{pool: n.pool, rows: n.rows, nextVersion: versionCounter(), log: n.options.Log}
	n.warmups = &warmups{pool: n.pool, rows: n.rows, nextVersion: versionCounter(), log: n.options.Log}
	n.settings.Store(&Settings{})
	n.evacuations = newEvacuations("e/", n.pool, n.settings.Load, n.options.Log)
	n.rows = gossip.NewMap(n.apply)
	return n
}

// Guards against an odd row of another writer that ends the process, or keeps the other rows of
// its table from being followed.
func TestOddRowsLeaveTheOthersInForce(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.WarnLevel)
	n := newRowNode(t, zap.New(core))
	version := uint64(0)
	tables := []string{"o", "s", "st", tableSystem, tableHeartbeats, tableMemberLists, tableHubHeartbeats, tableLoads, tablePrefixes, tableSessions, tableEvidence, tableSuspects, tableDraining, tableLimits, tableWarmups}
	for _, table := range tables {
		for i, data := range oddData() {
			for _, key := range []string{"", "c", "r/x", "e/", "e/x", startKeyPrefix + "x", memberKeyPrefix, presenceKeyPrefix, quarantineKeyPrefix + "zz", quarantineKeyPrefix + "7", strings.Repeat("k", 200), "\xff"} {
				version++
				n.rows.Apply([]gossip.Row{{Table: table, Key: key + string(rune('a'+i)), Version: version, Data: data}, {Table: table, Key: key, Version: version, Data: data}})
			}
		}
	}
	n.rows.Apply([]gossip.Row{{Table: "s", Key: "sound", Version: version + 1, Data: encode(t, pool.Server{Service: "x", Slots: 1})}, {Table: "o", Key: "c", Version: version + 2, Data: []byte("7")}})
	is.True(n.pool.Member("sound") != nil)
	is.Equal(n.config.table.Load().Version, int64(7))
	logged := logs.Len()
	is.True(logged > 0)
	row := gossip.Row{Table: "s", Key: "odd", Version: version + 3, Data: []byte("{")}
	for range 5 { // read again and again
		n.rows.Replace("s", []gossip.Row{row, {Table: "s", Key: "sound", Version: version + 1}}, gossip.Revision{Version: version + 3})
	}
	is.Equal(logs.Len(), logged+1)
	n.rollouts.applyStoredStarts(time.Hour, time.Now())
}

// A stored start that is out of range must not complete a roll-out at once.
func TestOddStartDoesNotAdvanceRollout(t *testing.T) {
	is := is.New(t)
	for _, started := range []string{"-9223372036854775808", "9223372036854775807", "-1"} {
		r, _ := newTestRollouts(t)
		r.apply([]gossip.Row{orderRow(t, 5)}, startTime)
		r.applyStarts([]gossip.Row{{Key: startKeyPrefix + "x", Version: 6, Data: []byte(`{"to":"v2","order":5,"started_ms":` + started + `}`)}})
		r.applyStoredStarts(time.Hour, startTime)
		is.Equal(r.ensureRollout("x").progress(startTime), 0.0)
	}
}

// FuzzSoftRows checks that what other nodes publish never ends the process.
func FuzzSoftRows(f *testing.F) {
	for _, data := range oddData() {
		f.Add(data)
	}
	f.Add([]byte{0, 0, 0, 1, 0, 2, 0, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		if w := decodeWorkload(data); len(w.encode()) > len(data) {
			t.Fatal("the workload grew")
		}
		m := newMembers(zap.NewNop())
		rows := []gossip.Row{{Key: "k", Data: data}}
		m.applyHeartbeats(rows, startTime)
		m.applyMemberLists(rows, startTime)
		m.applyHubHeartbeats(rows, startTime)
		m.prune(startTime)
		sampleAddresses(m.live(), func() float64 { return 0.5 })
	})
}
