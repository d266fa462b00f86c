package dispatch

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

const (
	// maxHeldFrames bounds the frames that wait for a missing one.
	maxHeldFrames = 1024
	// firstFrameWait and frameWait are how long a stream may be silent before
	// its first frame and after it.
	firstFrameWait = 15 * time.Second
	frameWait      = 5 * time.Second
)

// splice puts the frames of one attempt in order: it drops those of other
// attempts and repeats, and holds back those that come too early.
type splice struct {
	attempt string
	next    int
	held    map[int]backend.Frame
	dropped int
}

func newSplice(attempt string, offset int) *splice {
	return &splice{attempt: attempt, next: offset, held: map[int]backend.Frame{}}
}

// accept takes a frame and returns those whose turn has come, in order.
func (s *splice) accept(f backend.Frame) ([]backend.Frame, error) {
	_, repeat := s.held[f.Offset]
	if f.Attempt != s.attempt || f.Offset < s.next || repeat {
		s.dropped++
		return nil, nil
	}
	if len(s.held) >= maxHeldFrames {
		return nil, broken("a frame is missing")
	}
	s.held[f.Offset] = f
	var ready []backend.Frame
	for {
		f, ok := s.held[s.next]
		if !ok {
			return ready, nil
		}
		delete(s.held, s.next)
		ready = append(ready, f)
		if f.Final {
			return ready, nil
		}
		s.next++
	}
}

func broken(message string) *backend.Error {
	return &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanYes, Message: message}
}

// arrival is a frame or the end of a stream.
type arrival struct {
	frame backend.Frame
	err   error
}

// arrivals reads a stream until it fails or ctx ends.
func arrivals(ctx context.Context, s backend.Stream) <-chan arrival {
	out := make(chan arrival)
	go func() {
		for {
			f, err := s.Next()
			select {
			case out <- arrival{f, err}:
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
