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

// fate is what becomes of one write.
type fate int

const (
	fateDone fate = iota
	fateLostBefore
	fateLostAfter
	fateLate
)

var fates = []fate{fateDone, fateDone, fateDone, fateLostBefore, fateLostAfter, fateLate}

// flakyTable loses writes, their replies, or carries them out late.
type flakyTable struct {
	*standin.Table
	draw func() fate
	late [][]infra.Op
	away bool
}

func (f *flakyTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if f.away {
		return infra.Row{}, infra.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

func (f *flakyTable) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	next := fateDone
	if f.draw != nil {
		next = f.draw()
	}
	switch {
	case f.away || next == fateLostBefore:
		return nil, infra.ErrUnavailable
	case next == fateLate:
		f.late = append(f.late, ops)
		return nil, infra.ErrUnavailable
	}
	versions, err := f.Table.Commit(ctx, ops...)
	if next == fateLostAfter && err == nil {
		return nil, infra.ErrUnavailable
	}
	return versions, err
}

// carryLate carries the late writes out.
func (f *flakyTable) carryLate() {
	for _, ops := range f.late {
		_, _ = f.Table.Commit(context.Background(), ops...)
	}
	f.late = nil
}

// claimWorld is a few processes that try the same calls.
type claimWorld struct {
	table     *flakyTable
	processes []*Claims
	cut       []bool
	held      []*heldClaim
	runs      map[string]int
	tokens    int
	// clocks are the processes' own; nil is the system's.
	clocks []func() time.Time
	// past holds keys that ran a life ago, which may run again.
	past map[string]bool
	// sent is told of each send.
	sent func(key string)
}

// heldClaim is a call that a process pauses in: looked up, claimed, or sent.
type heldClaim struct {
	owner *Claims
	id    CallID
	claim *Claim
	sent  bool
}

func (w *claimWorld) start(i int) {
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
				if fmt.Sprint(j) == node && !w.cut[j] {
					return w.processes[j].Ask(args), nil
				}
			}
			return wire.ClaimReply{}, errors.New("cut off")
		},
	})
}

// try begins a call at a process.
func (w *claimWorld) try(t *rapid.T, i int, key string) {
	h := &heldClaim{owner: w.processes[i], id: CallID{Organisation: "o", Service: "s", Key: key}}
	reply, err := h.owner.Lookup(context.Background(), h.id, 1)
	w.said(t, key, reply, err)
	if reply == nil && err == nil {
		w.held = append(w.held, h)
	}
}

// said checks what a caller is told.
func (w *claimWorld) said(t *rapid.T, key string, reply *backend.Reply, err error) {
	if reply != nil && (w.runs[key] != 1 && !w.past[key] || string(reply.Body) != key) {
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

// step lets a paused call go on by one stage.
func (w *claimWorld) step(t *rapid.T) {
	if len(w.held) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.held)-1).Draw(t, "call")
	h := w.held[at]
	ctx := context.Background()
	ends := rapid.IntRange(0, 3).Draw(t, "ends") == 0
	switch {
	case h.claim == nil:
		claim, reply, err := h.owner.Begin(ctx, h.id, 1)
		w.said(t, h.id.Key, reply, err)
		h.claim = claim
		ends = claim == nil
	case !h.sent && ends:
		h.owner.GiveUp(ctx, h.claim)
	case !h.sent:
		for range 2 {
			if h.owner.Send(h.claim) {
				h.sent = true
				w.runs[h.id.Key]++
				if w.sent != nil {
					w.sent(h.id.Key)
				}
			}
		}
		if !h.sent {
			h.owner.GiveUp(ctx, h.claim)
			ends = true
		}
	case ends:
		h.owner.Finish(ctx, h.claim, nil, nil)
	default:
		h.owner.Finish(ctx, h.claim, &backend.Reply{Body: []byte(h.id.Key)}, nil)
		ends = true
	}
	if ends {
		w.held = append(w.held[:at], w.held[at+1:]...)
	}
}

// Processes try the same keys, pause, restart under the same name and cannot
// reach each other, over a table that loses writes and replies and carries
// writes out late: no key runs twice, and no refusal says "not run" of a key
// that ran.
func TestClaimsRunEachCallAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimWorld{table: &flakyTable{Table: standin.NewTable()}, processes: make([]*Claims, 3), cut: make([]bool, 3), runs: map[string]int{}}
		for i := range w.processes {
			w.start(i)
		}
		w.table.draw = func() fate { return rapid.SampledFrom(fates).Draw(t, "fate") }
		process := rapid.IntRange(0, len(w.processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"try": func(t *rapid.T) {
				w.try(t, process.Draw(t, "process"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))
			},
			"step": w.step,
			"late": func(*rapid.T) { w.table.carryLate() },
			"store": func(t *rapid.T) {
				for _, p := range w.processes {
					p.storeAll(context.Background())
				}
			},
			"away":    func(t *rapid.T) { w.table.away = rapid.Bool().Draw(t, "away") },
			"cut":     func(t *rapid.T) { w.cut[process.Draw(t, "process")] = rapid.Bool().Draw(t, "cut") },
			"restart": func(t *rapid.T) { w.start(process.Draw(t, "process")) },
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

// A large answer lies in the object store and comes back whole.
func TestLargeAnswerComesBackWhole(t *testing.T) {
	w := &claimWorld{table: &flakyTable{Table: standin.NewTable()}, processes: make([]*Claims, 1), cut: make([]bool, 1), runs: map[string]int{}}
	w.start(0)
	c := w.processes[0]
	id := CallID{Organisation: "o", Service: "s", Key: "large"}
	claim, _, err := c.Begin(context.Background(), id, 1)
	if err != nil || !c.Send(claim) {
		t.Fatalf("begin: %v", err)
	}
	large := strings.Repeat("x", 10*maxInlineReply)
	c.Finish(context.Background(), claim, &backend.Reply{Body: []byte(large)}, nil)
	other := NewClaims(c.ClaimsOptions)
	reply, err := other.Lookup(context.Background(), id, 1)
	if err != nil || string(reply.Body) != large {
		t.Fatalf("the answer came back as %d bytes, %v", len(reply.Body), err)
	}
	row, err := w.table.Table.Get(context.Background(), id.row())
	if err != nil || len(row.Value) > maxInlineReply {
		t.Fatalf("the row has %d bytes, %v", len(row.Value), err)
	}
}
