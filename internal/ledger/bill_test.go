package ledger

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// billWorld is a few processes that bill and keep copies for each other.
type billWorld struct {
	table     *flakyTable
	processes []*billProcess
	added     int
	excused   map[string]bool
	versions  map[string]uint64
	// copied holds the bills of which a second process must have a copy.
	copied map[string]bool
}

// billProcess is one process; a paused one does nothing and seems dead.
type billProcess struct {
	world  *billWorld
	name   wire.Process
	bills  *Bills
	paused bool
}

func (w *billWorld) at(p wire.Process) *billProcess {
	for _, q := range w.processes {
		if q.name == p && !q.paused {
			return q
		}
	}
	return nil
}

// Hold implements Copies: the first other process that answers takes them.
func (p *billProcess) Hold(_ context.Context, args wire.HoldBillsArgs) wire.Process {
	args.From = p.name
	for _, q := range p.world.processes {
		if q != p && !q.paused && q.bills.Hold(args) == nil {
			return q.name
		}
	}
	return wire.Process{}
}

// Settle implements Copies.
func (p *billProcess) Settle(_ context.Context, to wire.Process, args wire.HoldBillsArgs) bool {
	args.From = p.name
	q := p.world.at(to)
	return q != nil && q.bills.Hold(args) == nil
}

// Live implements Copies.
func (p *billProcess) Live(name wire.Process) bool { return p.world.at(name) != nil }

func (w *billWorld) start(i int, incarnation uint64) {
	p := &billProcess{world: w, name: wire.Process{Node: fmt.Sprint(i), Incarnation: incarnation}}
	p.bills = NewBills(w.table, p, nil)
	w.processes[i] = p
}

// kill replaces a process. A bill that only it had is excused, unless there
// should have been a copy.
func (w *billWorld) kill(t *rapid.T, i int) {
	dead := w.processes[i]
	w.start(i, dead.name.Incarnation+1)
	for _, id := range dead.has() {
		if w.anywhere(id) {
			w.copied[id] = false
			continue
		}
		if w.copied[id] {
			t.Fatalf("bill %s had no copy when process %v died", id, dead.name)
		}
		w.excused[id] = true
	}
}

// has lists the bills that a process waits to store or keeps for others.
func (p *billProcess) has() []string {
	var out []string
	for _, pending := range p.bills.pending {
		out = append(out, pending.bill.Request)
	}
	for _, held := range p.bills.held {
		for _, bill := range held.bills {
			out = append(out, bill.Request)
		}
	}
	return out
}

// anywhere tells whether a bill is stored or some process has it.
func (w *billWorld) anywhere(id string) bool {
	if _, err := w.table.Table.Get(context.Background(), BillKey(id)); err == nil {
		return true
	}
	for _, p := range w.processes {
		if slices.Contains(p.has(), id) {
			return true
		}
	}
	return false
}

// company tells whether another process than p runs.
func (w *billWorld) company(p *billProcess) bool {
	for _, q := range w.processes {
		if q != p && !q.paused {
			return true
		}
	}
	return false
}

// work lets every process that runs adopt, store and refresh.
func (w *billWorld) work() {
	for _, p := range w.processes {
		if !p.paused {
			p.bills.Adopt(p.Live)
			_ = p.bills.Flush(context.Background())
			p.bills.refreshCopies(context.Background())
			for _, pending := range p.bills.pending {
				w.copied[pending.bill.Request] = w.company(p)
			}
		}
	}
}

// check tells whether a stored bill ever changed.
func (w *billWorld) check(t *rapid.T) int {
	rows, err := w.table.Table.List(context.Background(), billPrefix, "", 1<<20)
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	for _, row := range rows {
		if old, known := w.versions[row.Key]; known && old != row.Version {
			t.Fatalf("%s was written twice", row.Key)
		}
		w.versions[row.Key] = row.Version
	}
	return len(rows)
}

// Processes bill, pause, die and come back under the same name, over a table
// that is away, loses replies and carries writes out late: every bill is
// stored once, but for those whose process and copy were lost together.
func TestBillsAreStoredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &billWorld{table: &flakyTable{Table: standin.NewTable()}, processes: make([]*billProcess, 3), excused: map[string]bool{}, copied: map[string]bool{}, versions: map[string]uint64{}}
		for i := range w.processes {
			w.start(i, 1)
		}
		w.table.draw = func() fate { return rapid.SampledFrom(fates).Draw(t, "fate") }
		process := rapid.IntRange(0, len(w.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				p := w.processes[process.Draw(t, "process")]
				if !p.paused {
					w.added++
					p.bills.Add(context.Background(), wire.Bill{Request: fmt.Sprint(w.added)})
					w.copied[fmt.Sprint(w.added)] = w.company(p)
				}
			},
			"work":  func(*rapid.T) { w.work() },
			"flush": func(t *rapid.T) { _ = w.processes[process.Draw(t, "process")].bills.Flush(context.Background()) },
			"late":  func(*rapid.T) { w.table.carryLate() },
			"away":  func(t *rapid.T) { w.table.away = rapid.Bool().Draw(t, "away") },
			"pause": func(t *rapid.T) { w.processes[process.Draw(t, "process")].paused = rapid.Bool().Draw(t, "paused") },
			"kill":  func(t *rapid.T) { w.kill(t, process.Draw(t, "process")) },
			"":      func(t *rapid.T) { w.check(t) },
		})
		w.settle(t)
	})
}

// settle ends all faults and checks that nothing is missing or left over.
func (w *billWorld) settle(t *rapid.T) {
	w.table.draw = nil
	w.table.away = false
	for _, p := range w.processes {
		p.paused = false
	}
	w.table.carryLate()
	for range 3 {
		w.work()
	}
	w.check(t)
	for i := 1; i <= w.added; i++ {
		id := fmt.Sprint(i)
		if _, stored := w.versions[BillKey(id)]; !stored && !w.excused[id] {
			t.Fatalf("bill %s of %d is lost", id, w.added)
		}
	}
	for _, p := range w.processes {
		if p.bills.Pending() > 0 || p.bills.kept > 0 || len(p.bills.held) > 0 {
			t.Fatalf("process %v still has %d bills and %d copies", p.name, p.bills.Pending(), p.bills.kept)
		}
		for holder := range p.bills.holders {
			if w.at(holder) != nil {
				t.Fatalf("process %v still tells %v what is stored", p.name, holder)
			}
		}
	}
}

// slowTable answers when it is told to.
type slowTable struct {
	*standin.Table
	enter chan struct{}
	leave chan struct{}
}

func (s *slowTable) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	s.enter <- struct{}{}
	<-s.leave
	return s.Table.Commit(ctx, ops...)
}

// Two flushes at once, as when a node stops, lose no bill that came between.
func TestFlushesAtOnceLoseNothing(t *testing.T) {
	table := &slowTable{Table: standin.NewTable(), enter: make(chan struct{}), leave: make(chan struct{})}
	b := NewBills(table, nil, nil)
	b.Add(context.Background(), wire.Bill{Request: "1"})
	done := make(chan error, 2)
	go func() { done <- b.Flush(context.Background()) }()
	<-table.enter
	go func() { done <- b.Flush(context.Background()) }()
	b.Add(context.Background(), wire.Bill{Request: "2"})
	close(table.leave)
	go func() {
		for range table.enter {
		}
	}()
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"1", "2"} {
		if _, err := table.Get(context.Background(), BillKey(id)); err != nil {
			t.Errorf("bill %s: %v", id, err)
		}
	}
}
