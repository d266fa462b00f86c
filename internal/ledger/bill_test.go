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

// billCluster simulates processes that add bills and keep backups for each
// other.
type billCluster struct {
	table     *flakyTable
	processes []*billProcess
	added     int
	mayBeLost map[string]bool
	versions  map[string]uint64
	// mustHaveBackup holds the bills of which a second process must have a backup.
	mustHaveBackup map[string]bool
}

// billProcess is one process. A paused process does nothing and seems
// unreachable.
type billProcess struct {
	cluster  *billCluster
	name     wire.Process
	bills    *Bills
	isPaused bool
}

func (w *billCluster) running(p wire.Process) *billProcess {
	for _, q := range w.processes {
		if q.name == p && !q.isPaused {
			return q
		}
	}
	return nil
}

// Backup implements BackupPeers: the first other process that answers keeps the
// backups.
func (p *billProcess) Backup(_ context.Context, args wire.HoldBillsArgs) wire.Process {
	args.From = p.name
	for _, q := range p.cluster.processes {
		if q != p && !q.isPaused && q.bills.KeepBackups(args) == nil {
			return q.name
		}
	}
	return wire.Process{}
}

// ReportStored implements BackupPeers.
func (p *billProcess) ReportStored(_ context.Context, to wire.Process, args wire.HoldBillsArgs) bool {
	args.From = p.name
	q := p.cluster.running(to)
	return q != nil && q.bills.KeepBackups(args) == nil
}

// IsLive implements BackupPeers.
func (p *billProcess) IsLive(name wire.Process) bool { return p.cluster.running(name) != nil }

func (w *billCluster) startProcess(i int, incarnation uint64) {
	p := &billProcess{cluster: w, name: wire.Process{Node: fmt.Sprint(i), Incarnation: incarnation}}
	p.bills = NewBills(w.table, p, nil)
	w.processes[i] = p
}

// kill replaces a process by a new incarnation. A bill that only it had may be
// lost, unless there should have been a backup.
func (w *billCluster) kill(t *rapid.T, i int) {
	killed := w.processes[i]
	w.startProcess(i, killed.name.Incarnation+1)
	for _, id := range killed.billIDs() {
		if w.existsAnywhere(id) {
			w.mustHaveBackup[id] = false
			continue
		}
		if w.mustHaveBackup[id] {
			t.Fatalf("bill %s had no backup when process %v was killed", id, killed.name)
		}
		w.mayBeLost[id] = true
	}
}

// billIDs lists the bills that a process has not stored yet or keeps as backups
// for others.
func (p *billProcess) billIDs() []string {
	var out []string
	for _, pending := range p.bills.pending {
		out = append(out, pending.bill.Request)
	}
	for _, kept := range p.bills.backups {
		for _, bill := range kept.bills {
			out = append(out, bill.Request)
		}
	}
	return out
}

// existsAnywhere reports whether a bill is stored or some process has it.
func (w *billCluster) existsAnywhere(id string) bool {
	if _, err := w.table.Table.Get(context.Background(), BillKey(id)); err == nil {
		return true
	}
	for _, p := range w.processes {
		if slices.Contains(p.billIDs(), id) {
			return true
		}
	}
	return false
}

// hasOtherRunning reports whether a process other than p runs.
func (w *billCluster) hasOtherRunning(p *billProcess) bool {
	for _, q := range w.processes {
		if q != p && !q.isPaused {
			return true
		}
	}
	return false
}

// runAll has every running process take over, flush and refresh backups.
func (w *billCluster) runAll() {
	for _, p := range w.processes {
		if !p.isPaused {
			p.bills.TakeOver(p.IsLive)
			_ = p.bills.Flush(context.Background())
			p.bills.refreshBackups(context.Background())
			for _, pending := range p.bills.pending {
				w.mustHaveBackup[pending.bill.Request] = w.hasOtherRunning(p)
			}
		}
	}
}

// check fails if a stored bill was written again. It returns the number of
// stored bills.
func (w *billCluster) check(t *rapid.T) int {
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

// Processes add bills, pause, crash and restart under the same name, over a
// table that becomes unavailable, loses replies and commits late. Every bill
// must be stored exactly once, except those whose process and backup were lost
// together.
func TestBillsAreStoredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &billCluster{table: &flakyTable{Table: standin.NewTable()}, processes: make([]*billProcess, 3), mayBeLost: map[string]bool{}, mustHaveBackup: map[string]bool{}, versions: map[string]uint64{}}
		for i := range w.processes {
			w.startProcess(i, 1)
		}
		w.table.draw = func() writeFault { return rapid.SampledFrom(writeFaults).Draw(t, "fate") }
		process := rapid.IntRange(0, len(w.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				p := w.processes[process.Draw(t, "process")]
				if !p.isPaused {
					w.added++
					p.bills.Add(context.Background(), wire.Bill{Request: fmt.Sprint(w.added)})
					w.mustHaveBackup[fmt.Sprint(w.added)] = w.hasOtherRunning(p)
				}
			},
			"work":  func(*rapid.T) { w.runAll() },
			"flush": func(t *rapid.T) { _ = w.processes[process.Draw(t, "process")].bills.Flush(context.Background()) },
			"late":  func(*rapid.T) { w.table.commitDelayed() },
			"away":  func(t *rapid.T) { w.table.isUnavailable = rapid.Bool().Draw(t, "away") },
			"pause": func(t *rapid.T) { w.processes[process.Draw(t, "process")].isPaused = rapid.Bool().Draw(t, "paused") },
			"kill":  func(t *rapid.T) { w.kill(t, process.Draw(t, "process")) },
			"":      func(t *rapid.T) { w.check(t) },
		})
		w.recoverAndCheck(t)
	})
}

// recoverAndCheck ends all faults and checks that no bill is missing and no
// backup is left.
func (w *billCluster) recoverAndCheck(t *rapid.T) {
	w.table.draw = nil
	w.table.isUnavailable = false
	for _, p := range w.processes {
		p.isPaused = false
	}
	w.table.commitDelayed()
	for range 3 {
		w.runAll()
	}
	w.check(t)
	for i := 1; i <= w.added; i++ {
		id := fmt.Sprint(i)
		if _, stored := w.versions[BillKey(id)]; !stored && !w.mayBeLost[id] {
			t.Fatalf("bill %s of %d is lost", id, w.added)
		}
	}
	for _, p := range w.processes {
		if p.bills.Pending() > 0 || p.bills.backupCount > 0 || len(p.bills.backups) > 0 {
			t.Fatalf("process %v still has %d bills and %d backups", p.name, p.bills.Pending(), p.bills.backupCount)
		}
		for holder := range p.bills.holders {
			if w.running(holder) != nil {
				t.Fatalf("process %v still reports to %v what is stored", p.name, holder)
			}
		}
	}
}

// blockingTable blocks each commit until the test lets it proceed.
type blockingTable struct {
	*standin.Table
	entered chan struct{}
	proceed chan struct{}
}

func (b *blockingTable) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	b.entered <- struct{}{}
	<-b.proceed
	return b.Table.Commit(ctx, ops...)
}

// Two concurrent flushes, as when a node shuts down, must not lose a bill that
// was added between them.
func TestConcurrentFlushesLoseNoBill(t *testing.T) {
	table := &blockingTable{Table: standin.NewTable(), entered: make(chan struct{}), proceed: make(chan struct{})}
	b := NewBills(table, nil, nil)
	b.Add(context.Background(), wire.Bill{Request: "1"})
	done := make(chan error, 2)
	go func() { done <- b.Flush(context.Background()) }()
	<-table.entered
	go func() { done <- b.Flush(context.Background()) }()
	b.Add(context.Background(), wire.Bill{Request: "2"})
	close(table.proceed)
	go func() {
		for range table.entered {
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
