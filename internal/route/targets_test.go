package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Deployments without short targets for pauses must be served as before: a service has a
// shortest target only if one of its streams tolerates pauses of at most a second.
func TestShortestTargetOfAService(t *testing.T) {
	is := is.New(t)
	stream := func(name, service string, pause, target time.Duration) Route {
		return Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: Stream, Backends: []Backend{{Service: service, Weight: 1}}, MaxPause: pause, Target: target}
	}
	plain := stream("plain", "engines", 0, time.Millisecond)
	plain.Kind = Idempotent
	table, err := NewTable(Definition{Routes: []Route{
		stream("short", "engines", 500*time.Millisecond, 800*time.Millisecond), stream("long", "engines", 2*time.Second, 3*time.Second), plain,
		stream("old", "slow", 1500*time.Millisecond, 400*time.Millisecond), stream("older", "slow", 0, 0),
		stream("fast", "quick", time.Second, 300*time.Millisecond),
	}})
	is.NoErr(err)
	is.Equal(table.ShortestTarget("engines"), 500*time.Millisecond)
	is.Equal(table.ShortestTarget("slow"), time.Duration(0))
	is.Equal(table.ShortestTarget("quick"), 300*time.Millisecond)
	is.Equal(table.ShortestTarget("other"), time.Duration(0))
	is.Equal((*Table)(nil).ShortestTarget("engines"), time.Duration(0))
}
