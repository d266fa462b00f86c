package dispatch

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

const (
	// maxPendingFrames bounds the frames that wait for a missing one.
	maxPendingFrames = 1024
	// firstFrameTimeout is how long a stream may take until its first frame.
	// frameTimeout is how long it may be silent between later frames.
	firstFrameTimeout = 15 * time.Second
	frameTimeout      = 5 * time.Second
)

// frameReorderer puts the frames of one attempt in order, starting at the
// offset where the answer resumes. It drops duplicates and frames of other
// attempts, and keeps frames that arrive too early until their turn.
type frameReorderer struct {
	attempt string
	next    int
	pending map[int]backend.Frame
	dropped int
}

func newFrameReorderer(attempt string, offset int) *frameReorderer {
	return &frameReorderer{attempt: attempt, next: offset, pending: map[int]backend.Frame{}}
}

// accept processes a frame and returns the frames that are now in order.
func (r *frameReorderer) accept(f backend.Frame) ([]backend.Frame, error) {
	_, isDuplicate := r.pending[f.Offset]
	if f.Attempt != r.attempt || f.Offset < r.next || isDuplicate {
		r.dropped++
		return nil, nil
	}
	if len(r.pending) >= maxPendingFrames {
		return nil, brokenStream("a frame is missing")
	}
	r.pending[f.Offset] = f
	var ready []backend.Frame
	for {
		f, ok := r.pending[r.next]
		if !ok {
			return ready, nil
		}
		delete(r.pending, r.next)
		ready = append(ready, f)
		if f.Final {
			return ready, nil
		}
		r.next++
	}
}

func brokenStream(message string) *backend.Error {
	return &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanYes, Message: message}
}

// streamEvent is a frame or the error that ended the stream.
type streamEvent struct {
	frame backend.Frame
	err   error
}

// streamEvents reads a stream until it fails or ctx ends.
func streamEvents(ctx context.Context, s backend.Stream) <-chan streamEvent {
	out := make(chan streamEvent)
	go func() {
		for {
			f, err := s.Next()
			select {
			case out <- streamEvent{f, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}
