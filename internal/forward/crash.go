package forward

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// crashProbeDelay is the delay between a broken answer and the probe of its
// server. A crashed process has closed its listener by then and takes seconds
// to restart.
const crashProbeDelay = 50 * time.Millisecond

// suspectCrash probes the server after its answer broke off. If the server
// accepts no connection, the request is recorded as a suspect for the crash.
// Servers that break off answers for other reasons still accept connections.
func (f *Forwarder) suspectCrash(fingerprint uint64, m *pool.Member) {
	go func() {
		time.Sleep(crashProbeDelay)
		if m.RemainingBackoff(time.Now()) > 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := f.opts.Dial(ctx, "tcp", m.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		f.opts.Suspects.Crashed(fingerprint, m.ID, time.Now())
	}()
}
