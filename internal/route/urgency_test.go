package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against decisions by the number of a rank: deployments number their
// ranks differently, and ranks that no request has must not count.
func TestUrgencyIsThePlaceAmongRanksInUse(t *testing.T) {
	is := is.New(t)
	one, seven := 1, 7
	keepsRank, isOne, isSeven := Organisation{Name: "x"}, Organisation{Name: "y", Rank: &one}, Organisation{Name: "z", Rank: &seven}
	for _, c := range []struct {
		routes        []int // ranks of stream routes with a choice of models
		organisations []Organisation
		rank          int
		want          Urgency
	}{
		{nil, nil, 3, Urgency{}},
		{[]int{5, 5}, nil, 5, Urgency{0, 1}},
		{[]int{1, 9, 5}, nil, 9, Urgency{2, 3}},
		{[]int{1, 5}, nil, 3, Urgency{0, 2}},
		{[]int{3}, []Organisation{keepsRank, isSeven}, 7, Urgency{1, 2}},
		{[]int{3, 4}, []Organisation{isOne, isSeven}, 7, Urgency{1, 2}},
	} {
		d := Definition{Organisations: c.organisations, Routes: []Route{{Prefix: "/", Kind: Idempotent, Rank: 2, Backends: []Backend{{}}}}}
		for _, rank := range c.routes {
			d.Routes = append(d.Routes, Route{Prefix: "/", Kind: Stream, Rank: rank, Models: []string{"small", "large"}, Backends: []Backend{{}}})
		}
		table, err := NewTable(d)
		is.NoErr(err)
		is.Equal(table.Urgency(c.rank), c.want)
	}
}

// Guards against new decisions in an earlier deployment, whose pauses are longer
// or not set, for plain services, and before the first configuration.
func TestShortPausesOfStreamsOnly(t *testing.T) {
	is := is.New(t)
	has := func(kind Kind, pause time.Duration) bool {
		table, err := NewTable(Definition{Routes: []Route{{Prefix: "/", Kind: kind, MaxPause: pause, Backends: []Backend{{Service: "s"}}}}})
		is.NoErr(err)
		return table.HasShortPauses("s")
	}
	is.True(has(Stream, time.Second))
	is.True(!has(Stream, 0) && !has(Stream, 2*time.Second) && !has(Idempotent, time.Second))
	var none *Table
	is.True(!none.HasShortPauses("s"))
	is.Equal(none.Urgency(1), Urgency{})
}
