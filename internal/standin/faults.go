// Package standin holds small stand-ins for the systems around the router:
// model engines, plain services and the platform. Each can be told to fail.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped means that the stand-in is stopped.
var ErrStopped = errors.New("the stand-in is stopped")

// FaultState is how a stand-in misbehaves at present.
type FaultState struct {
	// Stopped refuses every call.
	Stopped bool `json:"stopped"`
	// Frozen lets calls wait until it is over.
	Frozen bool `json:"frozen"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseReplies is how many of the next effects take place without their
	// reply.
	LoseReplies int `json:"lose_replies"`
}

// Faults holds a stand-in's state of failure. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	state   FaultState    // guarded by mu
	changed chan struct{} // guarded by mu
}

// NewFaults returns a state without faults.
func NewFaults() *Faults { return &Faults{changed: make(chan struct{})} }

// Set replaces the state.
func (f *Faults) Set(s FaultState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
	close(f.changed)
	f.changed = make(chan struct{})
}

// State returns the present state.
func (f *Faults) State() FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Enter waits out a freeze and a delay. It returns ErrStopped or the
// context's error if the call fails before any effect.
func (f *Faults) Enter(ctx context.Context) error {
	if err := f.thaw(ctx); err != nil {
		return err
	}
	s := f.State()
	if s.Stopped {
		return ErrStopped
	}
	if s.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(s.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// thaw waits until the stand-in is not frozen.
func (f *Faults) thaw(ctx context.Context) error {
	for {
		f.mu.Lock()
		frozen, changed := f.state.Frozen, f.changed
		f.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// LoseReply tells whether the reply to an effect that took place is lost.
func (f *Faults) LoseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseReplies <= 0 {
		return false
	}
	f.state.LoseReplies--
	return true
}
