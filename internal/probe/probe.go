// Package probe tells whether a server still serves, by connecting to it.
package probe

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/loop"
)

const (
	// Timeout bounds a probe. A busy server accepts within a few milliseconds plus two link
	// delays.
	Timeout = 350 * time.Millisecond
	// endDelay is the delay between the end of a connection and the probe of its server. The
	// kernel closes the connections and the listener of a process that ends within a few
	// milliseconds of each other.
	endDelay = 20 * time.Millisecond
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// IsFramed reports whether the head of an answer tells where its body ends. Otherwise only the
// end of its connection does.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// AcceptsOrIsSilent reports whether a server accepts a connection, or does not refuse it
// within the probe's timeout.
func AcceptsOrIsSilent(address string, dial Dial) bool {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return true
	}
	var netErr net.Error
	return ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
}

// StillServes reports whether a server that has just ended a connection regularly accepts
// others: the kernel closes the connections of a process that ends as regularly as the process
// itself, but its port refuses connections from then on. A server that neither accepts nor
// refuses counts as serving, as its queue may be full. What is read from the server's other
// connections meanwhile shows nothing, as it may have been sent before this end.
func StillServes(ctx context.Context, address string, dial Dial) bool {
	loop.Sleep(ctx, endDelay)
	return AcceptsOrIsSilent(address, dial)
}
