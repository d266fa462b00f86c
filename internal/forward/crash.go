package forward

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// crashProbeDelay is how long after a broken answer its server is tried: a
// process that dies has closed its listener by then, and takes seconds to come
// back.
const crashProbeDelay = 50 * time.Millisecond

// suspectCrash notes that a request may have brought a server down, if the
// server takes no connection after its answer broke off. Servers that break off
// answers for other reasons do.
func (f *Forwarder) suspectCrash(fingerprint uint64, m *pool.Member) {
	go func() {
		time.Sleep(crashProbeDelay)
		if m.Hold(time.Now()) > 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := f.o.Dial(ctx, "tcp", m.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		f.o.Suspects.Crashed(fingerprint, m.ID, time.Now())
	}()
}
