package prefix

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// A part counts as cached only if all parts before it are cached.
func TestCachedCountsLeadingParts(t *testing.T) {
	is, x := is.New(t), New()
	a, b, c := HashPart("m", "a"), HashPart("m", "b"), HashPart("m", "c")
	one, two, three := HashServer("1", 0), HashServer("2", 0), HashServer("3", 0)
	x.RecordUse(one, []Part{a, b, c}, start)
	x.RecordUse(two, []Part{a}, start)
	x.RecordUse(three, []Part{b, c}, start)
	is.Equal(x.Cached([]Part{a, b, c}, start), map[Server]int{one: 3, two: 1})
	is.Equal(x.Cached([]Part{HashPart("other", "a")}, start), map[Server]int{})
	is.True(HashServer("1", 0) != HashServer("1", 1)) // another incarnation has an empty cache
}

// Parts expire if they are not used, and a repeated use renews them.
func TestUnusedPartsExpire(t *testing.T) {
	is, x := is.New(t), New()
	p, s := []Part{HashPart("m", "a")}, HashServer("1", 0)
	x.RecordUse(s, p, start)
	x.RecordUse(s, p, start.Add(entryTTL))
	is.Equal(len(x.Cached(p, start.Add(entryTTL+entryTTL/2))), 1)
	is.Equal(len(x.Cached(p, start.Add(3*entryTTL))), 0)
	x.Prune(start.Add(3 * entryTTL))
	is.Equal(len(x.parts), 0)
}

// A use must be published once, and again before it expires at other nodes.
// Entries received from other nodes must not be published again.
func TestUsesArePublishedOnce(t *testing.T) {
	is, x, other := is.New(t), New(), New()
	p, s := []Part{HashPart("m", "a")}, HashServer("1", 0)
	is.Equal(x.RecordUse(s, p, start), p)
	is.Equal(len(x.RecordUse(s, p, start.Add(time.Second))), 0)
	published := x.ConsumePending()
	is.Equal(published, []Entry{{p[0], s}})
	other.Merge(published, start)
	is.Equal(len(other.ConsumePending()), 0)
	is.Equal(other.Cached(p, start), map[Server]int{s: 1})
	x.RecordUse(s, p, start.Add(time.Second+republishAge+time.Millisecond))
	is.Equal(len(x.ConsumePending()), 1)
}

// A server that refused a request or broke off has not read its parts.
func TestRemovedPartsAreNotCached(t *testing.T) {
	is, x := is.New(t), New()
	p, s := []Part{HashPart("m", "a"), HashPart("m", "b")}, HashServer("1", 0)
	x.RecordUse(s, p[:1], start)
	added := x.RecordUse(s, p, start.Add(time.Second))
	x.Remove(s, added)
	is.Equal(x.Cached(p, start), map[Server]int{s: 1}) // parts cached before stay
}

// Decode must return the encoded entries and ignore trailing bytes.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Entry
		for range rapid.IntRange(0, 20).Draw(t, "entries") {
			list = append(list, Entry{Part(rapid.Uint32().Draw(t, "part")), Server(rapid.Uint32().Draw(t, "server"))})
		}
		rest := make([]byte, rapid.IntRange(0, EntryBytes-1).Draw(t, "rest"))
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
