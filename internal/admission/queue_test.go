package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seed is fixed so that CI gives the same result each time.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// Work that is pushed comes out exactly once: popped, removed or expired.
func TestQueueReturnsEachWorkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue([]float64{0, 0.15, 0.05})
		now := time.Unix(0, 0)
		inside := map[string]bool{}
		next := 0
		out := func(id string) {
			if !inside[id] {
				t.Fatalf("%s came out twice or was never pushed", id)
			}
			delete(inside, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id := fmt.Sprint(next)
				next++
				inside[id] = true
				q.Push(&Work{
					ID: id, Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Tokens: rapid.IntRange(1, 500).Draw(t, "tokens"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "wait")) * time.Second),
				})
			},
			"pop": func(t *rapid.T) {
				w := q.Pop(now)
				if (w == nil) != (len(inside) == 0) {
					t.Fatalf("pop gave %v with %d waiting", w, len(inside))
				}
				if w != nil {
					out(w.ID)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, max(next, 1)).Draw(t, "id"))
				if q.Remove(id) {
					out(id)
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "step")) * time.Second)
				for _, w := range q.Expire(now) {
					out(w.ID)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(inside) {
					t.Fatalf("the queue counts %d, %d are inside", q.Len(), len(inside))
				}
			},
		})
	})
}
