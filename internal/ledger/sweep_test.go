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

// testLife is the life of rows in tests.
const testLife = 24 * time.Hour

// waits are such that a row is just about to be old, or a claim to be sent.
var waits = []time.Duration{time.Minute, maxClaimAge - time.Minute, maxClaimAge, 2 * maxClaimAge, testLife - maxClaimAge, testLife}

func ownsAll() func(string) bool { return func(string) bool { return true } }

// lifeWorld is processes whose clocks differ, and who remove old claims.
type lifeWorld struct {
	*claimWorld
	now  time.Time
	runs map[string]time.Time // the last send of each key
	old  []infra.Op           // found to be removed
}

func newLifeWorld(t *rapid.T) *lifeWorld {
	w := &lifeWorld{now: time.Now().Round(0), runs: map[string]time.Time{}, claimWorld: &claimWorld{
		table: &flakyTable{Table: standin.NewTable()}, processes: make([]*Claims, 3), cut: make([]bool, 3), runs: map[string]int{}, past: map[string]bool{},
	}}
	for i := range w.processes {
		skew := rapid.SampledFrom([]time.Duration{-ClockMargin / 2, 0, ClockMargin / 2}).Draw(t, "skew")
		w.clocks = append(w.clocks, func() time.Time { return w.now.Add(skew) })
		w.start(i)
	}
	w.sent = func(key string) {
		if last, ran := w.runs[key]; ran && w.now.Sub(last) < testLife {
			t.Fatalf("%s ran twice within %s", key, w.now.Sub(last))
		}
		w.runs[key] = w.now
	}
	return w
}

// pass lets time go by; keys whose life is over may run again.
func (w *lifeWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for key, last := range w.runs {
		if w.now.Sub(last) >= testLife {
			w.past[key] = true
			w.claimWorld.runs[key] = 0
		}
	}
}

// look lets one process find all that is old by its own clock.
func (w *lifeWorld) look(i int) {
	rows, err := w.table.List(context.Background(), claimPrefix, "", 1000)
	if err == nil {
		w.old = oldRows(rows, bornBefore(w.clocks[i](), testLife))
	}
}

// sweep removes what was found last.
func (w *lifeWorld) sweep() {
	if len(w.old) > 0 {
		_, _ = w.table.Commit(context.Background(), w.old...)
	}
}

// Processes whose clocks differ by up to an hour try the same keys, pause for
// hours at any point, restart and lose writes, while old claims are removed:
// no key is sent twice within the life of its claim.
func TestNoSecondRunWithinTheLife(t *testing.T) {
	again := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newLifeWorld(t)
		w.table.draw = func() fate { return rapid.SampledFrom(fates).Draw(t, "fate") }
		process := rapid.IntRange(0, len(w.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"try": func(t *rapid.T) {
				w.try(t, process.Draw(t, "process"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
			},
			"step":    w.step,
			"late":    func(*rapid.T) { w.table.carryLate() },
			"pass":    func(t *rapid.T) { w.pass(rapid.SampledFrom(waits).Draw(t, "time")) },
			"look":    func(t *rapid.T) { w.look(process.Draw(t, "process")) },
			"sweep":   func(*rapid.T) { w.sweep() },
			"restart": func(t *rapid.T) { w.start(process.Draw(t, "process")) },
		})
		for key := range w.past {
			if w.now.Sub(w.runs[key]) < testLife {
				again++
			}
		}
	})
	if again == 0 {
		t.Error("no key ran again after its life: nothing was removed")
	}
}

// A claim that is sent as late as it may be, made by a clock behind the one
// that removes it, stays for its life from the send; a later send is refused.
func TestClaimSentLateIsKeptForItsLife(t *testing.T) {
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
		is.Equal(c.Send(claim), late == 0)
		if late > 0 {
			continue
		}
		rows, err := table.List(ctx, claimPrefix, "", 10)
		is.NoErr(err)
		ahead := now.Add(ClockMargin)
		is.Equal(len(oldRows(rows, bornBefore(ahead.Add(testLife-time.Second), testLife))), 0)
		is.Equal(len(oldRows(rows, bornBefore(ahead.Add(testLife+time.Second), testLife))), 1)
	}
}

// walked counts the rows that tell how far claims and pins were looked at.
func walked(is *is.I, table *standin.Table) int {
	rows, err := table.List(context.Background(), sweepPrefix, "", 10)
	is.NoErr(err)
	return len(rows)
}

// Old rows of every kind go in bounded transactions, by their owner alone, and
// young rows, rows without a time and rows that changed stay.
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
	old := bornBefore(now, testLife).Add(-time.Minute)
	for i := range 150 {
		for _, at := range []time.Time{old, now.Add(-testLife)} {
			id := fmt.Sprint(i, at.Unix())
			put(CallID{Organisation: "o", Service: "s", Key: id}.row(), claimRow{At: at})
			put(PinID{Organisation: "o", Session: id, Asked: "auto"}.row(), pinRow{At: at})
			put(BillKey(fmt.Sprintf("%08x", rand.Uint32())+id), wire.Bill{At: at})
		}
	}
	put(claimPrefix+"o/s/x", claimRow{})
	lives := Lives{Claims: testLife, Bills: testLife, Pins: testLife}
	count := func() int {
		rows, err := table.List(ctx, "", "", 10_000)
		is.NoErr(err)
		return len(rows)
	}
	is.Equal(count(), 901)
	for range 1000 {
		NewSweeper(table, lives, func() func(string) bool { return func(string) bool { return false } }).sweepBills(ctx)
	}
	is.Equal(count(), 901)
	s := NewSweeper(table, lives, ownsAll)
	most := 0
	for range 20_000 {
		_, before := table.Counts()
		s.Sweep(ctx)
		_, after := table.Counts()
		most = max(most, after-before)
	}
	is.Equal(count()-451, walked(is, table))
	is.True(most <= sweepPages)
}
