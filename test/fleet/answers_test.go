package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// reorderingEngine wraps an engine and disturbs its streams: frames arrive late,
// twice, out of order, or with another attempt's ID.
type reorderingEngine struct {
	backend.Engine
	mu   sync.Mutex
	rand *rand.Rand // guarded by mu
}

func (e *reorderingEngine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	stream, err := e.Engine.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	return &reorderingStream{Stream: stream, engine: e}, nil
}

// reorderingStream buffers a few frames and returns them in random order.
type reorderingStream struct {
	backend.Stream
	engine   *reorderingEngine
	buffered []backend.Frame
	ended    bool
}

// reorderWindow is the number of buffered frames among which the order is random.
const reorderWindow = 4

func (s *reorderingStream) Next() (backend.Frame, error) {
	for !s.ended && len(s.buffered) < reorderWindow {
		f, err := s.Stream.Next()
		if err != nil {
			return f, err
		}
		s.ended = f.Final
		foreign := f
		foreign.Attempt = "foreign"
		foreign.Text = "foreign "
		s.buffered = append(s.buffered, f, f, foreign)
	}
	if len(s.buffered) == 0 {
		return backend.Frame{}, &backend.Error{Kind: backend.KindBroken, Ran: "yes", Message: "the stream has ended"}
	}
	s.engine.mu.Lock()
	index := s.engine.rand.IntN(len(s.buffered))
	s.engine.mu.Unlock()
	f := s.buffered[index]
	s.buffered = append(s.buffered[:index], s.buffered[index+1:]...)
	return f, nil
}

// reorderFrames returns a wrapper that puts a reorderingEngine in front of every
// engine.
func reorderFrames(seed uint64) func(backend.Engine) backend.Engine {
	return func(e backend.Engine) backend.Engine {
		return &reorderingEngine{Engine: e, rand: rand.New(rand.NewPCG(seed, 0))}
	}
}

// Answers are complete although frames are duplicated, reordered and mixed with
// frames of other attempts, one engine crashes, and another one freezes.
func TestAnswersStayCompleteUnderFaults(t *testing.T) {
	for _, wrap := range []func(backend.Engine) backend.Engine{nil, reorderFrames(1)} {
		withVirtualClock(t, func(f *failures) {
			sim := newSimulation(f, simulationOptions{engines: 8, engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}, wrapEngine: wrap})
			defer sim.close()
			sim.sendUnrelatedChats(12).Wait()
			running := sim.sendUnrelatedChats(24)
			sim.sleep(400 * time.Millisecond)
			sim.busiestEngine().Crash()
			sim.sleep(400 * time.Millisecond)
			for _, e := range sim.dialer.engines {
				if !e.IsDown() {
					e.Faults.Set(standin.FaultState{Frozen: true})
					break
				}
			}
			running.Wait()
		})
	}
}

// The entry node crashes during a streamed answer. The caller can tell that the
// answer is incomplete, and the same request at another node is answered completely.
func TestTruncatedAnswerIsNotMarkedComplete(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}})
		defer sim.close()
		done := make(chan answer, 1)
		body := fmt.Sprintf(`{"model":"auto","stream":true,"max_tokens":60,"messages":[{"role":"user","content":%q}]}`, "streamed")
		go func() { done <- sim.post("entry-1", org, chatPath, body, nil) }()
		sim.sleep(600 * time.Millisecond)
		sim.kill("entry-1")
		truncated := <-done
		f.check(!strings.Contains(truncated.body, "[DONE]"), "the answer of a crashed node is marked complete: %+v", truncated)
		sim.sleep(5 * time.Second)
		again := sim.post("entry-2", org, chatPath, chatBody("streamed", 60), nil)
		f.check(sim.isComplete(again, "streamed", 60), "the repeated request: %+v", again)
	})
}
