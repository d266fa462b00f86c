package gossip

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Guards against changes that are missed or sent twice where they are taken from the
// newest changes instead of all rows.
func TestRecentChangesAreComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewMap(nil)
		for v := range rapid.IntRange(1, 3*maxRecent).Draw(rt, "changes") {
			m.Apply([]Row{{Table: SoftPrefix + "t", Key: strconv.Itoa(v * 7 % 97), Version: uint64(v + 1)}})
		}
		m.Forget(SoftPrefix+"t", func(r Row) bool { return r.Key != "7" })
		position := uint64(rapid.IntRange(0, int(m.position)).Draw(rt, "position"))
		versions := func() (out []uint64) { // all rows differ in it
			for _, r := range m.since(position, 0, nil, false).rows {
				out = append(out, r.Version)
			}
			slices.Sort(out)
			return out
		}
		got := versions()
		m.recent = nil
		if want := versions(); !slices.Equal(got, want) {
			rt.Fatalf("%v, want %v", got, want)
		}
	})
}
