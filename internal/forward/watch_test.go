package forward

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// A silent server must be probed, but not during its backoff.
func TestNoProbeDuringBackoff(t *testing.T) {
	for _, backsOff := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is, p := is.New(t), pool.New()
			p.Update([]pool.Server{{ID: "x", Service: "s"}}, time.Now())
			m := p.Member("x")
			if backsOff {
				m.StartBackoff(time.Minute, time.Now())
			}
			var probes atomic.Int32
			dial := func(context.Context, string, string) (net.Conn, error) {
				probes.Add(1)
				return nil, errRefused
			}
			w := newStallWatch(m, dial, time.Minute, func() bool { return false }, func() {})
			time.Sleep(10 * time.Second)
			w.stop()
			synctest.Wait()
			is.Equal(probes.Load() == 0, backsOff)
		})
	}
}
