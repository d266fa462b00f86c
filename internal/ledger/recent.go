package ledger

import "github.com/cowslipfall/cowslipfall/internal/backend"

// Bounds of the outcomes that a node remembers.
const (
	maxRecentCalls = 16_384
	maxRecentBytes = 8 << 20
)

// recentCall is an outcome that this node has seen.
type recentCall struct {
	content uint64
	reply   *backend.Reply
}

// recentCalls remembers the newest outcomes, so that a repeat at the same
// node is answered while the table is away. It is not safe for concurrent
// use.
type recentCalls struct {
	calls map[string]recentCall
	order []string
	bytes int
}

func newRecentCalls() *recentCalls { return &recentCalls{calls: map[string]recentCall{}} }

func (r *recentCalls) add(row string, c recentCall) {
	if _, known := r.calls[row]; known || len(c.reply.Body) > maxInlineReply {
		return
	}
	r.calls[row] = c
	r.order = append(r.order, row)
	r.bytes += len(row) + len(c.reply.Body)
	for len(r.order) > maxRecentCalls || r.bytes > maxRecentBytes {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.bytes -= len(oldest) + len(r.calls[oldest].reply.Body)
		delete(r.calls, oldest)
	}
}
