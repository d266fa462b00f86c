package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A brittle server that refused a request is left alone by each node for as long as keeps the
// refusals of all nodes within its bound, whatever it names, and no longer than a node can do
// without it.
func TestBrittleServerIsLeftAloneAfterARefusal(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	for _, c := range []struct {
		refusals float64
		nodes    int
		want     time.Duration
	}{{5, 6, 2400 * time.Millisecond}, {5, 24, 9600 * time.Millisecond}, {5, 195, maxBrittleHold}, {0, 6, maxBrittleHold}, {1e-300, 6, maxBrittleHold}, {1e300, 6, 0}} {
		m := newMember(Server{ID: "a", Slots: 4}, now)
		m.RecordBrittle(c.refusals, now)
		m.RecordRefusal(c.nodes, now, 0.5)
		if c.want > 0 {
			is.True(!m.IsAvailable(now.Add(c.want - time.Millisecond)))
		}
		is.True(m.IsAvailable(now.Add(c.want + time.Millisecond)))
	}
}

// A server that no longer says that it is brittle is used as any other at once.
func TestServerIsSoundAgainWithItsNextAnswer(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	m := newMember(Server{ID: "a", Slots: 4}, now)
	m.RecordBrittle(1, now)
	m.RecordRefusal(100, now, 0.5)
	is.True(!m.IsAvailable(now.Add(time.Second)))
	m.RecordSound()
	is.True(m.IsAvailable(now.Add(time.Second)))
}

// As many requests are under way at a brittle server as when it first said so, and half as many
// after a refusal.
func TestWindowOfABrittleServerOnlyShrinks(t *testing.T) {
	is, now := is.New(t), time.Unix(1000, 0)
	m := newMember(Server{ID: "a", Slots: 8}, now)
	for range 4 {
		is.True(m.BeginRequest(now, 0))
	}
	m.RecordBrittle(5, now)
	is.True(!m.BeginRequest(now, 0))
	m.EndRequest()
	is.True(m.BeginRequest(now, 0))
	m.RecordRefusal(1, now, 0.5)
	later := now.Add(time.Second)
	m.RecordBrittle(5, later)
	m.EndRequest()
	m.EndRequest()
	is.True(!m.BeginRequest(later, 0)) // two are under way
	m.EndRequest()
	is.True(m.BeginRequest(later, 0))
}
