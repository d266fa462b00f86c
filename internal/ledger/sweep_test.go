package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// testLifetime is the lifetime of rows in tests.
const testLifetime = 24 * time.Hour

// timeSteps bring rows close to the end of their lifetime and claims close to
// maxClaimAge.
var timeSteps = []time.Duration{time.Minute, maxClaimAge - time.Minute, maxClaimAge, 2 * maxClaimAge, testLifetime - maxClaimAge, testLifetime}

func ownsAll() func(string) bool { return func(string) bool { return true } }

// lifetimeCluster simulates processes with different clocks that remove old
// claims.
type lifetimeCluster struct {
	*claimCluster
	now      time.Time
	runs     map[string]time.Time // time of the last send of each key
	removals []infra.Op           // found by the last findOld
}

func newLifetimeCluster(t *rapid.T) *lifetimeCluster {
	w := &lifetimeCluster{now: time.Now().Round(0), runs: map[string]time.Time{}, claimCluster: &claimCluster{
		table: &flakyTable{Table: standin.NewTable()}, processes: make([]*Claims, 3), isCut: make([]bool, 3), runs: map[string]int{}, mayRunAgain: map[string]bool{},
	}}
	for i := range w.processes {
		skew := rapid.SampledFrom([]time.Duration{-ClockMargin / 2, 0, ClockMargin / 2}).Draw(t, "skew")
		w.clocks = append(w.clocks, func() time.Time { return w.now.Add(skew) })
		w.startProcess(i)
	}
	w.onSent = func(key string) {
		if last, ran := w.runs[key]; ran && w.now.Sub(last) < testLifetime {
			t.Fatalf("%s ran twice within %s", key, w.now.Sub(last))
		}
		w.runs[key] = w.now
	}
	return w
}

// advance moves the time forward. Keys whose lifetime has passed may run again.
func (w *lifetimeCluster) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for key, last := range w.runs {
		if w.now.Sub(last) >= testLifetime {
			w.mayRunAgain[key] = true
			w.claimCluster.runs[key] = 0
		}
	}
}

// findOld has one process find the rows that are old by its own clock.
func (w *lifetimeCluster) findOld(i int) {
	rows, err := w.table.List(context.Background(), claimPrefix, "", 1000)
	if err == nil {
		w.removals = removalOps(rows, removalCutoff(w.clocks[i](), testLifetime))
	}
}

// sweep removes the rows that findOld found last.
func (w *lifetimeCluster) sweep() {
	if len(w.removals) > 0 {
		_, _ = w.table.Commit(context.Background(), w.removals...)
	}
}

// Processes whose clocks differ by up to an hour try the same keys, pause for
// hours at any point, restart and lose writes, while old claims are removed. No
// key may be sent twice within the lifetime of its claim.
func TestNoSecondRunWithinClaimLifetime(t *testing.T) {
	again := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newLifetimeCluster(t)
		w.table.draw = func() writeFault { return rapid.SampledFrom(writeFaults).Draw(t, "fate") }
		process := rapid.IntRange(0, len(w.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"try": func(t *rapid.T) {
				w.startCall(t, process.Draw(t, "process"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
			},
			"step":    w.step,
			"late":    func(*rapid.T) { w.table.commitDelayed() },
			"pass":    func(t *rapid.T) { w.advance(rapid.SampledFrom(timeSteps).Draw(t, "time")) },
			"look":    func(t *rapid.T) { w.findOld(process.Draw(t, "process")) },
			"sweep":   func(*rapid.T) { w.sweep() },
			"restart": func(t *rapid.T) { w.startProcess(process.Draw(t, "process")) },
		})
		for key := range w.mayRunAgain {
			if w.now.Sub(w.runs[key]) < testLifetime {
				again++
			}
		}
	})
	if again == 0 {
		t.Error("no key ran again after its lifetime: nothing was removed")
	}
}

// A claim is sent at its maximum age, and the clock of its creator is behind
// that of the remover. The row must be kept for a full lifetime after the send.
// A later send must be refused.
func TestClaimSentLateIsKeptForItsLifetime(t *testing.T) {
	for _, late := range []time.Duration{0, time.Minute} {
		is := is.New(t)
		ctx := context.Background()
		now := time.Now()
		table := standin.NewTable()
		c := NewClaims(ClaimsOptions{Table: table, NewToken: func() string { return "t" }, Now: func() time.Time { return now }})
		id := CallID{Organisation: "o", Service: "s", Key: "k"}
		claim, _, err := c.Begin(ctx, id, 1)
		is.NoErr(err)
		now = now.Add(maxClaimAge + late)
		is.Equal(c.MarkSent(claim), late == 0)
		if late > 0 {
			continue
		}
		rows, err := table.List(ctx, claimPrefix, "", 10)
		is.NoErr(err)
		ahead := now.Add(ClockMargin)
		is.Equal(len(removalOps(rows, removalCutoff(ahead.Add(testLifetime-time.Second), testLifetime))), 0)
		is.Equal(len(removalOps(rows, removalCutoff(ahead.Add(testLifetime+time.Second), testLifetime))), 1)
	}
}

// countPositionRows counts the rows that hold the position of the sweep through
// claims and pins.
func countPositionRows(is *is.I, table *standin.Table) int {
	rows, err := table.List(context.Background(), sweepPrefix, "", 10)
	is.NoErr(err)
	return len(rows)
}

// Old rows of every kind must be removed in bounded transactions, bills only by
// the owner of their shard. Recent rows and rows without a time must be kept.
func TestSweeperRemovesOldRows(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := standin.NewTable()
	now := time.Now()
	put := func(key string, value any) {
		raw, err := json.Marshal(value)
		is.NoErr(err)
		_, err = table.Commit(ctx, infra.Op{Key: key, Value: raw, Expect: infra.AnyVersion})
		is.NoErr(err)
	}
	old := removalCutoff(now, testLifetime).Add(-time.Minute)
	for i := range 150 {
		for _, at := range []time.Time{old, now.Add(-testLifetime)} {
			id := fmt.Sprint(i, at.Unix())
			put(CallID{Organisation: "o", Service: "s", Key: id}.rowKey(), claimRow{At: at})
			put(PinID{Organisation: "o", Session: id, RequestedModel: "auto"}.rowKey(), pinRow{At: at})
			put(BillKey(fmt.Sprintf("%08x", rand.Uint32())+id), wire.Bill{At: at})
		}
	}
	put(claimPrefix+"o/s/x", claimRow{})
	lifetimes := Lifetimes{Claims: testLifetime, Bills: testLifetime, Pins: testLifetime}
	count := func() int {
		rows, err := table.List(ctx, "", "", 10_000)
		is.NoErr(err)
		return len(rows)
	}
	is.Equal(count(), 901)
	for range 1000 {
		NewSweeper(table, lifetimes, func() func(string) bool { return func(string) bool { return false } }).sweepBills(ctx)
	}
	is.Equal(count(), 901)
	s := NewSweeper(table, lifetimes, ownsAll)
	most := 0
	for range 20_000 {
		_, before := table.Counts()
		s.Sweep(ctx)
		_, after := table.Counts()
		most = max(most, after-before)
	}
	is.Equal(count()-451, countPositionRows(is, table))
	is.True(most <= maxSweepPages)
}
