package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Callers of one organisation that all have waiting work are served equally, to
// within two requests, whatever amounts and deadlines they request. A caller
// that joins late starts at the counter of the others.
func TestCallersAreServedEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 100
		q := NewQueue([]float64{0})
		now := time.Unix(1000, 0)
		callers := rapid.IntRange(2, 6).Draw(t, "callers")
		served, waiting := map[string]int{}, map[string]int{}
		n := 0
		push := func(caller string, count int) {
			for range count {
				n++
				waiting[caller]++
				q.Push(&Work{
					ID: fmt.Sprint(n), Organisation: "a", Caller: caller, Tokens: rapid.IntRange(1, maxTokens).Draw(t, "tokens"),
					Arrived: now, Deadline: now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "deadline")) * time.Second),
				})
			}
		}
		for i := range callers {
			push(fmt.Sprint(i), rapid.IntRange(15, 40).Draw(t, "count"))
		}
		lateStep := rapid.IntRange(10, 40).Draw(t, "late")
		for step := 0; q.Len() > 0; step++ {
			w := q.Pop(now)
			served[w.Caller] += w.Tokens
			waiting[w.Caller]--
			if step == lateStep {
				push("late", 5)
				served["late"] = served[w.Caller]
			}
			if waiting[w.Caller] == 0 {
				return
			}
			for a := range served {
				for b := range served {
					if slack := 2 * maxTokens; served[a]-served[b] > slack {
						t.Fatalf("%s was served %d tokens, %s %d", a, served[a], b, served[b])
					}
				}
			}
		}
	})
}

// New work of a caller with few requests evicts the last work of a caller that
// floods the same organisation, not the other way round. Made-up caller names
// gain nothing.
func TestEvictionTakesTheFloodingCaller(t *testing.T) {
	q := NewQueue([]float64{0})
	now := time.Unix(1000, 0)
	for i := range 5 {
		q.Push(&Work{ID: fmt.Sprint(i), Organisation: "a", Caller: "large", Tokens: 100, Arrived: now, Deadline: now.Add(time.Duration(i) * time.Second)})
	}
	small := &Work{ID: "s", Organisation: "a", Caller: "small", Tokens: 900}
	if w := q.Evictable(small, time.Time{}); w == nil || w.ID != "4" {
		t.Fatalf("%+v would be refused", w)
	}
	if w := q.Evictable(small, now.Add(time.Second)); w != nil {
		t.Fatalf("%s would be refused after a long wait", w.ID)
	}
	q.Push(small)
	if w := q.Evictable(&Work{Organisation: "a", Caller: "large", Tokens: 1}, time.Time{}); w != nil {
		t.Fatalf("%s would be refused for the flooding caller", w.ID)
	}
	q = NewQueue([]float64{0})
	for i := range 5 {
		q.Push(&Work{ID: fmt.Sprint(i), Organisation: "a", Caller: fmt.Sprint(i), Tokens: 100, Arrived: now})
	}
	if w := q.Evictable(&Work{Organisation: "a", Caller: "new", Tokens: 1}, time.Time{}); w != nil {
		t.Fatalf("%s would be refused for a made-up caller", w.ID)
	}
}

// The work of one caller runs by deadline; answers that have begun run before
// all other work.
func TestOrderWithinOrganisation(t *testing.T) {
	q := NewQueue([]float64{0})
	now := time.Unix(1000, 0)
	push := func(id, caller string, deadline int, resumed bool) {
		q.Push(&Work{ID: id, Organisation: "a", Caller: caller, Tokens: 100, Resumed: resumed, Arrived: now, Deadline: now.Add(time.Duration(deadline) * time.Second)})
	}
	push("x9", "x", 9, false)
	push("x5", "x", 5, false)
	push("x1", "x", 1, false)
	push("y20", "y", 20, false)
	push("z99", "z", 99, true)
	got := ""
	for w := q.Pop(now); w != nil; w = q.Pop(now) {
		got += w.ID + " "
	}
	if got != "z99 x1 y20 x5 x9 " {
		t.Fatalf("served %s", got)
	}
}
