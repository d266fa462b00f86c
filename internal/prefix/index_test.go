package prefix

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// A part is cached only where all parts before it are.
func TestCachedCountsFromTheHead(t *testing.T) {
	is, x := is.New(t), New()
	a, b, c := PartOf("m", "a"), PartOf("m", "b"), PartOf("m", "c")
	one, two, three := ServerOf("1", 0), ServerOf("2", 0), ServerOf("3", 0)
	x.Use(one, []Part{a, b, c}, start)
	x.Use(two, []Part{a}, start)
	x.Use(three, []Part{b, c}, start)
	is.Equal(x.Cached([]Part{a, b, c}, start), map[Server]int{one: 3, two: 1})
	is.Equal(x.Cached([]Part{PartOf("other", "a")}, start), map[Server]int{})
	is.True(ServerOf("1", 0) != ServerOf("1", 1)) // another start holds nothing
}

// Parts yield after a while without use, unless they are used again.
func TestPartsYield(t *testing.T) {
	is, x := is.New(t), New()
	p, s := []Part{PartOf("m", "a")}, ServerOf("1", 0)
	x.Use(s, p, start)
	x.Use(s, p, start.Add(life))
	is.Equal(len(x.Cached(p, start.Add(life+life/2))), 1)
	is.Equal(len(x.Cached(p, start.Add(3*life))), 0)
	x.Prune(start.Add(3 * life))
	is.Equal(len(x.parts), 0)
}

// A use is told once, and again before the others forget it; what others told
// is not told on.
func TestUsesAreToldOnce(t *testing.T) {
	is, x, other := is.New(t), New(), New()
	p, s := []Part{PartOf("m", "a")}, ServerOf("1", 0)
	is.Equal(x.Use(s, p, start), p)
	is.Equal(len(x.Use(s, p, start.Add(time.Second))), 0)
	told := x.Take()
	is.Equal(told, []Entry{{p[0], s}})
	other.Merge(told, start)
	is.Equal(len(other.Take()), 0)
	is.Equal(other.Cached(p, start), map[Server]int{s: 1})
	x.Use(s, p, start.Add(time.Second+toldAgain+time.Millisecond))
	is.Equal(len(x.Take()), 1)
}

// A server that refused or broke off has read nothing.
func TestDroppedPartsAreNotCached(t *testing.T) {
	is, x := is.New(t), New()
	p, s := []Part{PartOf("m", "a"), PartOf("m", "b")}, ServerOf("1", 0)
	x.Use(s, p[:1], start)
	unknown := x.Use(s, p, start.Add(time.Second))
	x.Drop(s, unknown)
	is.Equal(x.Cached(p, start), map[Server]int{s: 1}) // what it had before stays
}

func TestEntriesSurviveTheWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Entry
		for range rapid.IntRange(0, 20).Draw(t, "entries") {
			list = append(list, Entry{Part(rapid.Uint32().Draw(t, "part")), Server(rapid.Uint32().Draw(t, "server"))})
		}
		rest := make([]byte, rapid.IntRange(0, entryBytes-1).Draw(t, "rest"))
		got := Decode(append(Encode(list), rest...))
		if len(got) != len(list) {
			t.Fatalf("%d entries of %d", len(got), len(list))
		}
		for i, e := range list {
			if got[i] != e {
				t.Fatalf("entry %d is %v, not %v", i, got[i], e)
			}
		}
	})
}
