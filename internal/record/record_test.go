package record

import (
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// seed is fixed so that CI gives the same result each time.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

func TestAliasFindsNewest(t *testing.T) {
	is := is.New(t)
	l := NewLog("entry-1")
	l.Alias("trip", "a")
	l.Add("a", "first of %s", "a")
	l.Alias("trip", "b")
	l.Add("b", "first of b")
	is.Equal(l.Steps("trip")[0].Text, "first of b")
	is.Equal(l.Steps("a")[0].Text, "first of a")
	is.Equal(len(l.Steps("c")), 0)
}

// The log stays within its bounds, its byte count is correct, and the newest
// request is kept, whatever is added.
func TestLogStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLog("entry-1")
		text := strings.Repeat("x", 2*maxStepBytes)
		ids := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3}`), 1, 2000).Draw(t, "ids")
		for i, id := range ids {
			for range 1 + i%70 {
				l.Add(id, "%s", text)
			}
			l.Alias(id, id)
			if len(l.Steps(id)) == 0 {
				t.Fatalf("the newest request %s has no steps", id)
			}
		}
		sum := 0
		for _, e := range l.entries {
			sum += e.bytes
			if len(e.steps) > maxSteps {
				t.Fatalf("%d steps of one request", len(e.steps))
			}
		}
		if sum != l.bytes || l.bytes > maxBytes+maxSteps*(stepBytes+maxStepBytes) {
			t.Fatalf("%d bytes are held, %d counted", sum, l.bytes)
		}
		if len(l.entries) != len(l.order) || len(l.aliases) > len(l.entries) {
			t.Fatalf("%d entries, %d in order, %d aliases", len(l.entries), len(l.order), len(l.aliases))
		}
	})
}
