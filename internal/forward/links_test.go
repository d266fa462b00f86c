package forward

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// way is one way to a server, with its state and the number of tries.
type way struct {
	up    atomic.Bool
	delay atomic.Int64 // until a connection stands or fails, in nanoseconds
	tries atomic.Int32
}

// dial implements Dial.
func (w *way) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	w.tries.Add(1)
	timer := time.NewTimer(time.Duration(w.delay.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !w.up.Load() {
		return nil, errors.New("refused")
	}
	c, _ := net.Pipe()
	return c, nil
}

// newWays returns links with the state of both ways.
func newWays(direct, relayed bool) (l *links, d, r *way, changes *atomic.Int32) {
	d, r, changes = &way{}, &way{}, &atomic.Int32{}
	d.up.Store(direct)
	r.up.Store(relayed)
	l = newLinks(d.dial, r.dial, func(string, bool) { changes.Add(1) })
	return l, d, r, changes
}

// A server that is down costs the other nodes one ask a second, however many requests there
// are, and its link does not count as cut.
func TestServerThatIsDownIsNotTakenForACutLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, direct, relayed, _ := newWays(false, false)
		for range 50 {
			_, err := l.dial(t.Context(), "tcp", "a")
			is.True(err != nil)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(l.countCut(), 0)
		is.Equal(direct.tries.Load(), int32(50))
		is.True(relayed.tries.Load() <= 6)
	})
}

// A link that is only slow is used through another node for a moment, and directly again
// once the direct connection stands.
func TestSlowLinkIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, direct, _, _ := newWays(true, true)
		direct.delay.Store(int64(relayDelay + 50*time.Millisecond))
		_, err := l.dial(t.Context(), "tcp", "a")
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(l.countCut(), 0)
	})
}

// A sound link never asks another node.
func TestSoundLinkAsksNoOtherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, direct, relayed, _ := newWays(true, true)
		direct.delay.Store(int64(40 * time.Millisecond))
		for range 20 {
			_, err := l.dial(t.Context(), "tcp", "a")
			is.NoErr(err)
		}
		is.Equal(relayed.tries.Load(), int32(0))
	})
}

// A cut link is tried directly once a second while requests use the other way, and is used
// again as soon as it has healed. It does not flap meanwhile.
func TestHealedLinkIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, direct, _, changes := newWays(false, true)
		direct.delay.Store(int64(time.Hour))
		began := time.Now()
		_, err := l.dial(t.Context(), "tcp", "a")
		is.NoErr(err)
		is.True(time.Since(began) <= relayDelay)
		is.True(l.isCut("a"))
		tries := direct.tries.Load()
		for range 100 {
			_, err := l.dialCut(t.Context(), "tcp", "a")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
		}
		is.True(direct.tries.Load()-tries <= 5)
		is.Equal(changes.Load(), int32(1))
		direct.up.Store(true)
		direct.delay.Store(0)
		time.Sleep(linkProbeInterval)
		_, err = l.dialCut(t.Context(), "tcp", "a")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		is.True(!l.isCut("a"))
		is.Equal(changes.Load(), int32(2))
	})
}

// If the other nodes lose the server too, the direct way is tried: all nodes may be cut off
// for a moment, or the verdict was false.
func TestCutLinkFallsBackToTheDirectWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, direct, relayed, _ := newWays(false, true)
		_, err := l.dial(t.Context(), "tcp", "a")
		is.NoErr(err)
		is.True(l.isCut("a"))
		relayed.up.Store(false)
		direct.up.Store(true)
		_, err = l.dialCut(t.Context(), "tcp", "a")
		is.NoErr(err)
		is.True(!l.isCut("a"))
	})
}

// Once several links are lost, both ways are tried at the same time.
func TestLostLinksMakeANodeDistrustTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, direct, _, _ := newWays(false, true)
		direct.delay.Store(int64(time.Hour))
		for _, address := range []string{"a", "b"} {
			_, err := l.dial(t.Context(), "tcp", address)
			is.NoErr(err)
		}
		is.True(l.isSuspicious())
		began := time.Now()
		_, err := l.dial(t.Context(), "tcp", "c")
		is.NoErr(err)
		is.True(time.Since(began) < relayDelay)
		direct.up.Store(true)
		direct.delay.Store(0)
		_, err = l.direct(t.Context(), "tcp", "d")
		is.NoErr(err)
		l.record("d", false)
		is.True(!l.isSuspicious())
		l.keep(map[string]bool{"a": true})
		is.Equal(l.countCut(), 1) // servers that are gone do not count
	})
}
