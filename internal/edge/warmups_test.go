package edge

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/pool"
	"github.com/cowslipfall/cowslipfall/internal/route"
)

// Requests to a cold server in any second, with the permits that were saved up, must stay
// within the bound. Without a rate or a bound nothing changes.
func TestColdServerRateStaysWithinBound(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ perSecond, overrun, allowance, want float64 }{
		{10, 1.5, 5, 10}, {1, 1.5, 5, 1}, {100, 1.5, 5, 100}, {10, 1, 0, 4}, {1, 1, 0, permit.MinRate}, {0, 1.5, 5, 0}, {10, 0, 5, 0}, {-1, 1, 1, 0},
	} {
		is.Equal(coldServerRate(&route.Service{WarmupRate: c.perSecond}, &Settings{WarmupOverrun: c.overrun, WarmupAllowance: c.allowance}), c.want)
	}
}

// newWarmPool returns a pool with one server, whose service has a warm-up.
func newWarmPool(started int64) *pool.Pool {
	p := pool.New()
	p.SetWarmups(map[string]pool.Warmup{"s": {Time: time.Minute, Rate: 10}})
	p.Update([]pool.Server{{ID: "a", Service: "s", Started: started, Slots: 1}}, startTime)
	return p
}

// A node must know that a server is cold, or was gone, before it has sent to it. Guards
// against rows of later releases that are not read, and rows that make no sense.
func TestColdServerIsPublished(t *testing.T) {
	is := is.New(t)
	var published []gossip.Row
	rows := gossip.NewMap(func(r []gossip.Row) { published = append(published, r...) })
	version := uint64(startTime.UnixMilli())
	from := &warmups{pool: pool.New(), rows: rows, nextVersion: func() uint64 { return version }, log: zap.NewNop()}
	for _, isLost := range []bool{false, true} {
		p := newWarmPool(5)
		to := &warmups{pool: p, rows: gossip.NewMap(nil), log: zap.NewNop()}
		from.publish(pool.Server{ID: "a", Started: 5}, 3*time.Second, isLost)
		to.apply(published[len(published)-1:], startTime)
		is.True(p.Member("a").IsCold(startTime))
		is.Equal(p.Member("a").IsCold(startTime.Add(4*time.Second)), isLost)
	}
	p := newWarmPool(5)
	to := &warmups{pool: p, rows: gossip.NewMap(nil), log: zap.NewNop()}
	for data, isCold := range map[string]bool{`{"server":"a","started":5,"left_ms":9000,"new":[1]}`: true, `{`: false, `{"server":"a","left_ms":"x"}`: false, `{"server":"b","left_ms":-9223372036854775808}`: false} {
		to.apply([]gossip.Row{{Table: tableWarmups, Version: version, Data: []byte(data)}}, startTime)
		is.Equal(p.Member("a").IsCold(startTime), isCold)
		p.Member("a").RecordWarmup(0, startTime.Add(time.Second), startTime.Add(time.Second))
	}
}

// Guards against a notice that a node which starts takes as new, and against clocks that
// differ, which make a cold server warm too early or cold for longer.
func TestAgeOfNoticeCounts(t *testing.T) {
	is := is.New(t)
	for age, coldFor := range map[time.Duration]time.Duration{
		-time.Hour: 9 * time.Second, clockTolerance: 9 * time.Second, clockTolerance + 4*time.Second: 5 * time.Second, 20 * time.Second: 0,
	} {
		p := newWarmPool(5)
		to := &warmups{pool: p, rows: gossip.NewMap(nil), log: zap.NewNop()}
		to.apply([]gossip.Row{{Table: tableWarmups, Version: uint64(startTime.Add(-age).UnixMilli()), Data: []byte(`{"server":"a","started":5,"left_ms":9000}`)}}, startTime)
		is.Equal(p.Member("a").IsCold(startTime.Add(coldFor-time.Millisecond)), coldFor > 0)
		is.True(!p.Member("a").IsCold(startTime.Add(coldFor)))
	}
	is.Equal(noticeAge(1<<64-1, startTime), time.Duration(0))
}

// The remaining warm-up differs in each entry of a server. Guards against a log line for
// each of them, and against a server that loses its learned state.
func TestEntryTellsWarmupWithoutNoise(t *testing.T) {
	is, p := is.New(t), pool.New()
	p.SetWarmups(map[string]pool.Warmup{"s": {Time: time.Minute, Rate: 10}})
	core, logs := observer.New(zap.InfoLevel)
	s := newServers(testSchema{}, p, gossip.NewMap(nil), func() time.Duration { return time.Hour }, zap.New(core))
	var first *pool.Member
	for i := range 5 {
		left := time.Duration(10-i) * time.Second
		s.apply([]gossip.Row{{Table: "s", Key: "a", Version: uint64(i + 1), Data: encode(t, pool.Server{Service: "s", Slots: 1, WarmupLeft: left})}}, startTime)
		if first == nil {
			first = p.Member("a")
		}
		is.True(p.Member("a") == first)
		is.True(first.IsCold(startTime.Add(left-time.Second)) && !first.IsCold(startTime.Add(left)))
	}
	is.Equal(logs.Len(), 1)
	s.apply([]gossip.Row{{Table: "s", Key: "a", Version: 9, Data: encode(t, pool.Server{Service: "s", Slots: 1, WarmupLeft: -1})}}, startTime)
	is.True(first.IsCold(startTime)) // an entry that does not tell changes nothing
	w := &warmups{pool: p, log: zap.New(core)}
	w.logChanges(startTime)
	w.logChanges(startTime.Add(time.Hour))
	is.Equal(logs.FilterMessage("backend server is cold").Len(), 1)
	is.Equal(logs.FilterMessage("backend server is warm").Len(), 1)
}

// Guards against settings that are not used since an update of the configuration at the same
// time has passed on older ones last.
func TestWarmupRulesInForceAreNotOvertaken(t *testing.T) {
	is, n := is.New(t), newRowNode(t, zap.NewNop())
	table, err := route.NewTable(route.Definition{Version: 1, Services: []route.Service{{Name: "s", WarmupTime: time.Minute, WarmupRate: 10}}})
	is.NoErr(err)
	n.config.table.Store(table)
	n.pool.Update([]pool.Server{{ID: "a", Service: "s", Slots: 1}}, startTime)
	n.pool.SetEntryWarmup("a", 0, time.Minute, startTime)
	n.settings.Store(&Settings{})
	n.warmups.rulesMu.Lock() // an update is in progress
	updated := make(chan struct{})
	go func() { defer close(updated); n.updateWarmups() }()
	select {
	case <-updated:
		t.Error("rules were updated by two goroutines at a time")
	case <-time.After(20 * time.Millisecond):
	}
	n.settings.Store(&Settings{WarmupOverrun: 1.5, WarmupAllowance: 5})
	n.warmups.rulesMu.Unlock()
	<-updated
	is.True(n.pool.Member("a").IsCold(startTime)) // by the settings that are in force now
}

// After an outage of the store an entry may have been written before contact was lost. Guards
// against a restart that such an entry hides.
func TestEntryAfterOutageDoesNotEndLoss(t *testing.T) {
	for sinceOutage, isCold := range map[time.Duration]bool{time.Second: true, time.Hour: false} {
		is, p := is.New(t), pool.New()
		p.SetWarmups(map[string]pool.Warmup{"s": {Time: time.Minute, Rate: 10}})
		s := newServers(testSchema{}, p, gossip.NewMap(nil), func() time.Duration { return sinceOutage }, zap.NewNop())
		row := gossip.Row{Table: "s", Key: "a", Version: 1, Data: encode(t, pool.Server{Service: "s", Slots: 1, WarmupLeft: time.Second})}
		s.apply([]gossip.Row{row}, startTime)
		p.Member("a").RecordLostContact(startTime)
		s.apply([]gossip.Row{row}, startTime.Add(5*time.Second))
		is.Equal(p.Member("a").IsCold(startTime.Add(7*time.Second)), isCold)
	}
}

// Requests for permits are read by the release before, whose servers have no IsCold, and its
// by this one.
func TestPermitRequestsOfReleaseBefore(t *testing.T) {
	type server struct {
		ID    string
		Limit float64
	}
	type request struct{ Servers []server }
	is, before, now := is.New(t), request{}, permit.Request{}
	convert := func(from, to any) {
		var raw bytes.Buffer
		is.NoErr(gob.NewEncoder(&raw).Encode(from))
		is.NoErr(gob.NewDecoder(&raw).Decode(to))
	}
	convert(permit.Request{Service: "s", Servers: []permit.Server{{ID: "a", Limit: 10, IsCold: true}}}, &before)
	is.Equal(before, request{[]server{{"a", 10}}})
	convert(before, &now)
	is.Equal(now, permit.Request{Servers: []permit.Server{{ID: "a", Limit: 10}}})
}
