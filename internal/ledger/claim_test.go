package ledger

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
	"github.com/cowslipfall/cowslipfall/internal/standin"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "60")
}

// writeFault is the fault injected into one write.
type writeFault int

const (
	faultNone writeFault = iota
	faultLostRequest
	faultLostReply
	faultDelayed
)

var writeFaults = []writeFault{faultNone, faultNone, faultNone, faultLostRequest, faultLostReply, faultDelayed}

// flakyTable loses writes or their replies, or commits writes late.
type flakyTable struct {
	*standin.Table
	draw          func() writeFault
	delayed       [][]infra.Op
	isUnavailable bool
}

func (f *flakyTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if f.isUnavailable {
		return infra.Row{}, infra.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

func (f *flakyTable) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	fault := faultNone
	if f.draw != nil {
		fault = f.draw()
	}
	switch {
	case f.isUnavailable || fault == faultLostRequest:
		return nil, infra.ErrUnavailable
	case fault == faultDelayed:
		f.delayed = append(f.delayed, ops)
		return nil, infra.ErrUnavailable
	}
	versions, err := f.Table.Commit(ctx, ops...)
	if fault == faultLostReply && err == nil {
		return nil, infra.ErrUnavailable
	}
	return versions, err
}

// commitDelayed commits the delayed writes.
func (f *flakyTable) commitDelayed() {
	for _, ops := range f.delayed {
		_, _ = f.Table.Commit(context.Background(), ops...)
	}
	f.delayed = nil
}

// claimCluster simulates processes that try the same calls.
type claimCluster struct {
	table     *flakyTable
	processes []*Claims
	isCut     []bool
	pending   []*pendingCall
	runs      map[string]int
	tokens    int
	// clocks are the clocks of the processes. Nil means the system clock.
	clocks []func() time.Time
	// mayRunAgain holds keys whose last run is a lifetime ago.
	mayRunAgain map[string]bool
	// onSent is called with the key of each call sent.
	onSent func(key string)
}

// pendingCall is a call that its process has looked up, claimed or sent, but not
// finished.
type pendingCall struct {
	owner  *Claims
	id     CallID
	claim  *Claim
	isSent bool
}

func (w *claimCluster) startProcess(i int) {
	var now func() time.Time
	if w.clocks != nil {
		now = w.clocks[i]
	}
	w.processes[i] = NewClaims(ClaimsOptions{
		Now:   now,
		Table: w.table, Objects: standin.NewPlatform(standin.PlatformOptions{}), Node: fmt.Sprint(i),
		NewToken: func() string { w.tokens++; return fmt.Sprint(w.tokens) },
		AskSender: func(_ context.Context, node string, args wire.ClaimArgs) (wire.ClaimReply, error) {
			for j := range w.processes {
				if fmt.Sprint(j) == node && !w.isCut[j] {
					return w.processes[j].AnswerClaimQuery(args), nil
				}
			}
			return wire.ClaimReply{}, errors.New("the process cannot be reached")
		},
	})
}

// startCall begins a call at a process.
func (w *claimCluster) startCall(t *rapid.T, i int, key string) {
	call := &pendingCall{owner: w.processes[i], id: CallID{Organisation: "o", Service: "s", Key: key}}
	reply, err := call.owner.Lookup(context.Background(), call.id, 1)
	w.checkReply(t, key, reply, err)
	if reply == nil && err == nil {
		w.pending = append(w.pending, call)
	}
}

// checkReply checks what a caller receives.
func (w *claimCluster) checkReply(t *rapid.T, key string, reply *backend.Reply, err error) {
	if reply != nil && (w.runs[key] != 1 && !w.mayRunAgain[key] || string(reply.Body) != key) {
		t.Fatalf("%s answered %q after %d runs", key, reply.Body, w.runs[key])
	}
	if err == nil {
		return
	}
	refusal := outcome.AsRefusal(err)
	if refusal.Ran == outcome.RanNo && refusal.Earlier == "" && w.runs[key] > 0 {
		t.Fatalf("%s ran and was refused with %v", key, refusal)
	}
}

// step advances a pending call by one stage.
func (w *claimCluster) step(t *rapid.T) {
	if len(w.pending) == 0 {
		return
	}
	index := rapid.IntRange(0, len(w.pending)-1).Draw(t, "call")
	call := w.pending[index]
	ctx := context.Background()
	isFinished := rapid.IntRange(0, 3).Draw(t, "ends") == 0
	switch {
	case call.claim == nil:
		claim, reply, err := call.owner.Begin(ctx, call.id, 1)
		w.checkReply(t, call.id.Key, reply, err)
		call.claim = claim
		isFinished = claim == nil
	case !call.isSent && isFinished:
		call.owner.GiveUp(ctx, call.claim)
	case !call.isSent:
		for range 2 {
			if call.owner.MarkSent(call.claim) {
				call.isSent = true
				w.runs[call.id.Key]++
				if w.onSent != nil {
					w.onSent(call.id.Key)
				}
			}
		}
		if !call.isSent {
			call.owner.GiveUp(ctx, call.claim)
			isFinished = true
		}
	case isFinished:
		call.owner.Finish(ctx, call.claim, nil, nil)
	default:
		call.owner.Finish(ctx, call.claim, &backend.Reply{Body: []byte(call.id.Key)}, nil)
		isFinished = true
	}
	if isFinished {
		w.pending = append(w.pending[:index], w.pending[index+1:]...)
	}
}

// Processes try the same keys, pause, restart under the same name and can't
// reach each other, over a table that loses writes and replies and commits late.
// No key may run twice, and no refusal may say "not run" of a key that ran.
func TestClaimsRunEachCallAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimCluster{table: &flakyTable{Table: standin.NewTable()}, processes: make([]*Claims, 3), isCut: make([]bool, 3), runs: map[string]int{}}
		for i := range w.processes {
			w.startProcess(i)
		}
		w.table.draw = func() writeFault { return rapid.SampledFrom(writeFaults).Draw(t, "fate") }
		process := rapid.IntRange(0, len(w.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"try": func(t *rapid.T) {
				w.startCall(t, process.Draw(t, "process"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
			},
			"step": w.step,
			"late": func(*rapid.T) { w.table.commitDelayed() },
			"store": func(t *rapid.T) {
				for _, p := range w.processes {
					p.storePendingOutcomes(context.Background())
				}
			},
			"away":    func(t *rapid.T) { w.table.isUnavailable = rapid.Bool().Draw(t, "away") },
			"cut":     func(t *rapid.T) { w.isCut[process.Draw(t, "process")] = rapid.Bool().Draw(t, "cut") },
			"restart": func(t *rapid.T) { w.startProcess(process.Draw(t, "process")) },
			"": func(t *rapid.T) {
				for key, n := range w.runs {
					if n > 1 {
						t.Fatalf("%s ran %d times", key, n)
					}
				}
			},
		})
	})
}

// A large answer must be kept in the object store, not in the row, and be
// returned unchanged.
func TestLargeAnswerIsReturnedUnchanged(t *testing.T) {
	w := &claimCluster{table: &flakyTable{Table: standin.NewTable()}, processes: make([]*Claims, 1), isCut: make([]bool, 1), runs: map[string]int{}}
	w.startProcess(0)
	c := w.processes[0]
	id := CallID{Organisation: "o", Service: "s", Key: "large"}
	claim, _, err := c.Begin(context.Background(), id, 1)
	if err != nil || !c.MarkSent(claim) {
		t.Fatalf("begin: %v", err)
	}
	large := strings.Repeat("x", 10*maxInlineReply)
	c.Finish(context.Background(), claim, &backend.Reply{Body: []byte(large)}, nil)
	other := NewClaims(c.ClaimsOptions)
	reply, err := other.Lookup(context.Background(), id, 1)
	if err != nil || string(reply.Body) != large {
		t.Fatalf("the answer came back as %d bytes, %v", len(reply.Body), err)
	}
	row, err := w.table.Table.Get(context.Background(), id.rowKey())
	if err != nil || len(row.Value) > maxInlineReply {
		t.Fatalf("the row has %d bytes, %v", len(row.Value), err)
	}
}
