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

// shuffler disturbs an engine's streams: frames come late, twice, in another
// order, or from another attempt.
type shuffler struct {
	backend.Engine
	mu   sync.Mutex
	rand *rand.Rand // guarded by mu
}

func (s *shuffler) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	stream, err := s.Engine.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	return &shuffled{Stream: stream, owner: s}, nil
}

// shuffled holds a few frames back and hands them out in any order.
type shuffled struct {
	backend.Stream
	owner *shuffler
	held  []backend.Frame
	ended bool
}

// shuffleDepth is how many frames may change places.
const shuffleDepth = 4

func (s *shuffled) Next() (backend.Frame, error) {
	for !s.ended && len(s.held) < shuffleDepth {
		f, err := s.Stream.Next()
		if err != nil {
			return f, err
		}
		s.ended = f.Final
		foreign := f
		foreign.Attempt = "foreign"
		foreign.Text = "foreign "
		s.held = append(s.held, f, f, foreign)
	}
	if len(s.held) == 0 {
		return backend.Frame{}, &backend.Error{Kind: backend.KindBroken, Ran: "yes", Message: "the stream has ended"}
	}
	s.owner.mu.Lock()
	at := s.owner.rand.IntN(len(s.held))
	s.owner.mu.Unlock()
	f := s.held[at]
	s.held = append(s.held[:at], s.held[at+1:]...)
	return f, nil
}

// shuffle returns a wrap that puts a shuffler before every engine.
func shuffle(seed uint64) func(backend.Engine) backend.Engine {
	return func(e backend.Engine) backend.Engine {
		return &shuffler{Engine: e, rand: rand.New(rand.NewPCG(seed, 0))}
	}
}

// Answers are whole though frames are doubled, shuffled and mixed with
// foreign ones, and engines die, freeze and are preempted under them.
func TestAnswersAreWhole(t *testing.T) {
	for _, wrap := range []func(backend.Engine) backend.Engine{nil, shuffle(1)} {
		virtual(t, func(f *faults) {
			w := newWorld(f, worldOptions{engines: 8, engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}, wrap: wrap})
			defer w.close()
			w.innocents(12).Wait()
			running := w.innocents(24)
			w.sleep(400 * time.Millisecond)
			w.busiest().Crash()
			w.sleep(400 * time.Millisecond)
			for _, e := range w.dialer.engines {
				if !e.IsDown() {
					e.Faults.Set(standin.FaultState{Frozen: true})
					break
				}
			}
			running.Wait()
		})
	}
}

// The entry node dies under a streamed answer: the caller sees that it is
// not whole, and the same request elsewhere is.
func TestAnswerOfDyingNodeIsNotTakenForWhole(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{engine: standin.EngineOptions{BaseInterval: 30 * time.Millisecond}})
		defer w.close()
		done := make(chan answer, 1)
		body := fmt.Sprintf(`{"model":"auto","stream":true,"max_tokens":60,"messages":[{"role":"user","content":%q}]}`, "streamed")
		go func() { done <- w.post("entry-1", org, chatPath, body, nil) }()
		w.sleep(600 * time.Millisecond)
		w.kill("entry-1")
		cut := <-done
		f.check(!strings.Contains(cut.body, "[DONE]"), "the answer of a dead node ended as whole: %+v", cut)
		w.sleep(5 * time.Second)
		again := w.post("entry-2", org, chatPath, chatBody("streamed", 60), nil)
		f.check(w.whole(again, "streamed", 60), "again: %+v", again)
	})
}
