package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/loop"
)

// endProbeDelay is the delay between the end of an answer that ended with its connection and
// the probe of its server. The kernel closes the connections and the listener of a process
// that ends within a few milliseconds of each other.
const endProbeDelay = 20 * time.Millisecond

// errServerEnded means that a server's process ended together with an answer that nothing but
// the end of its connection delimits. The answer may be cut.
var errServerEnded = errors.New("server ended together with its connection, so that its answer may be cut")

// isFramed reports whether the head of an answer tells where its body ends.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// confirmEnd returns errServerEnded if an answer without a length ended because its server
// has. The kernel closes the connections of a process that ends as regularly as the process
// itself, but its port refuses connections from then on. A relay confirms the end itself.
func (x *exchange) confirmEnd(ctx context.Context, a *attempt) error {
	if isFramed(a.resp) || a.isRelayed.Load() {
		return nil
	}
	if !stillServes(ctx, a.member.Address, x.f.links.direct, func(ended time.Time) bool { return a.member.LastProgress().After(ended) }) {
		return errServerEnded
	}
	return nil
}

// StillServes reports whether a server that has just ended a connection regularly accepts
// others. One that neither accepts nor refuses counts as serving, as its queue may be full.
func StillServes(ctx context.Context, address string, dial Dial) bool {
	return stillServes(ctx, address, dial, func(time.Time) bool { return false })
}

// stillServes needs no probe if hasProgress reports that the server has sent something else
// since.
func stillServes(ctx context.Context, address string, dial Dial, hasProgress func(since time.Time) bool) bool {
	ended := time.Now()
	loop.Sleep(ctx, endProbeDelay)
	return hasProgress(ended) || acceptsOrIsSilent(address, dial)
}
