// Package standin simulates the systems around the router for tests and demos:
// model engines, plain services and the platform. Each stand-in can inject
// faults: refused, delayed or frozen calls, and lost replies.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped is returned by calls to a stopped stand-in.
var ErrStopped = errors.New("the stand-in is stopped")

// FaultState describes the faults that a stand-in injects.
type FaultState struct {
	// Stopped makes every call fail.
	Stopped bool `json:"stopped"`
	// Frozen makes calls wait until it is reset.
	Frozen bool `json:"frozen"`
	// Delay is the time added to every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseReplies is the number of next calls that take effect but whose reply
	// is lost.
	LoseReplies int `json:"lose_replies"`
}

// Faults holds the fault state of one stand-in. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	state   FaultState    // guarded by mu
	changed chan struct{} // guarded by mu; closed when the state changes
}

// NewFaults returns a state without faults.
func NewFaults() *Faults { return &Faults{changed: make(chan struct{})} }

// Set replaces the fault state and wakes calls that wait for the end of a
// freeze.
func (f *Faults) Set(s FaultState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
	close(f.changed)
	f.changed = make(chan struct{})
}

// State returns the current fault state.
func (f *Faults) State() FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// BeforeCall waits until the stand-in is not frozen, and then for the delay. It
// returns ErrStopped or the context's error if the call is to fail before it
// has any effect.
func (f *Faults) BeforeCall(ctx context.Context) error {
	if err := f.waitWhileFrozen(ctx); err != nil {
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

// waitWhileFrozen waits until the stand-in is not frozen or the context ends.
func (f *Faults) waitWhileFrozen(ctx context.Context) error {
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

// ConsumeLostReply reports whether the reply to the current call is to be lost,
// and if so counts it off LoseReplies.
func (f *Faults) ConsumeLostReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseReplies <= 0 {
		return false
	}
	f.state.LoseReplies--
	return true
}
