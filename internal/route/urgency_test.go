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
	backends := []Backend{{Service: "engines", Weight: 1}}
	stream := func(name string, rank int, pause time.Duration) Route {
		return Route{Name: name, Prefix: "/" + name + "/", Kind: Stream, Rank: rank, MaxPause: pause, Models: []string{"small", "large"}, Backends: backends}
	}
	plain := Route{Name: "plain", Prefix: "/plain/", Kind: Idempotent, Rank: 2, MaxPause: time.Second, Backends: []Backend{{Service: "plain", Weight: 1}}}
	one, seven := 1, 7
	for _, c := range []struct {
		name          string
		routes        []Route
		organisations []Organisation
		rank          int
		want          Urgency
	}{
		{"no table entry", nil, nil, 3, Urgency{}},
		{"one rank", []Route{stream("a", 5, 0), stream("b", 5, 0), plain}, nil, 5, Urgency{0, 1}},
		{"least urgent", []Route{stream("a", 1, 0), stream("b", 5, 0), stream("c", 9, 0), plain}, nil, 9, Urgency{2, 3}},
		{"between ranks", []Route{stream("a", 1, 0), stream("b", 5, 0)}, nil, 3, Urgency{0, 2}},
		{"organisation's rank beside the route's", []Route{stream("a", 3, 0)}, []Organisation{{Name: "x", Rank: &seven}, {Name: "y"}}, 7, Urgency{1, 2}},
		{"organisations' ranks only", []Route{stream("a", 3, 0)}, []Organisation{{Name: "x", Rank: &seven}, {Name: "y", Rank: &one}}, 7, Urgency{1, 2}},
	} {
		table, err := NewTable(Definition{Routes: c.routes, Organisations: c.organisations})
		is.NoErr(err)
		is.Equal(table.Urgency(c.rank), c.want) // c.name
	}
	var none *Table
	is.Equal(none.Urgency(1), Urgency{})
}

// Guards against new decisions in an earlier deployment, whose pauses are longer
// or not set, and for plain services.
func TestShortPausesOfStreamsOnly(t *testing.T) {
	is := is.New(t)
	has := func(kind Kind, pause time.Duration) bool {
		table, err := NewTable(Definition{Routes: []Route{{Prefix: "/", Kind: kind, MaxPause: pause, Backends: []Backend{{Service: "s", Weight: 1}}}}})
		is.NoErr(err)
		return table.HasShortPauses("s")
	}
	is.True(has(Stream, time.Second))
	is.True(!has(Stream, 0))
	is.True(!has(Stream, 2*time.Second))
	is.True(!has(Idempotent, time.Second))
	var none *Table
	is.True(!none.HasShortPauses("s"))
}
