package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/backend"
	"github.com/cowslipfall/cowslipfall/internal/outcome"
)

// ServiceCall records one call that a plain service executed.
type ServiceCall struct {
	// Key is the idempotency key of the call.
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
}

// Service simulates one replica of a plain service. It executes and records
// every call that it receives, repeats of a key included. It is safe for
// concurrent use.
type Service struct {
	// Faults are the faults that the replica injects into calls.
	Faults *Faults
	// Limit is the limit that the replica names.
	Limit Limit
	// ChecksFencing makes the replica refuse a call whose fencing number is
	// lower than one that it received before for the same key.
	ChecksFencing bool
	// WorkTime is how long a call takes. The call is recorded at its start, so
	// it counts as executed also when its caller disconnects.
	WorkTime time.Duration

	id          string
	mu          sync.Mutex
	calls       []ServiceCall     // guarded by mu
	lastFencing map[string]uint64 // guarded by mu; highest number by key
	running     int               // guarded by mu
	isDraining  bool              // guarded by mu
}

var _ backend.Service = (*Service)(nil)

// NewService returns a replica with the given VM name.
func NewService(id string) *Service {
	return &Service{id: id, Faults: NewFaults(), lastFencing: map[string]uint64{}}
}

// Do implements backend.Service.
func (s *Service) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	s.Limit.record()
	if err := s.Faults.BeforeCall(ctx); err != nil {
		return backend.Reply{}, &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	number, err := s.begin(call)
	if err != nil {
		return backend.Reply{}, err
	}
	defer s.end()
	timer := time.NewTimer(s.WorkTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return backend.Reply{}, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: ctx.Err().Error()}
	}
	if s.Faults.ConsumeLostReply() {
		return backend.Reply{}, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: "the reply was lost"}
	}
	body, _ := json.Marshal(map[string]any{"confirmed": true, "number": number, "replica": s.id, "path": call.Path})
	return backend.Reply{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

// begin records a call and returns its confirmation number, or the error with
// which the replica refuses the call.
func (s *Service) begin(call backend.Call) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDraining {
		return "", &backend.Error{Kind: backend.KindDraining, Ran: outcome.RanNo, Message: "the service is leaving"}
	}
	if s.ChecksFencing && call.Key != "" && call.Fencing < s.lastFencing[call.Key] {
		return "", &backend.Error{Kind: backend.KindFenced, Ran: outcome.RanNo, Message: "a newer claim has called"}
	}
	s.lastFencing[call.Key] = max(s.lastFencing[call.Key], call.Fencing)
	s.calls = append(s.calls, ServiceCall{Key: call.Key, Method: call.Method, Path: call.Path, At: time.Now()})
	s.running++
	return fmt.Sprintf("%s-%d", s.id, len(s.calls)), nil
}

// end counts a running call as finished.
func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Load implements backend.Service.
func (s *Service) Load(ctx context.Context) (backend.LoadReport, error) {
	s.Limit.record()
	if err := s.Faults.BeforeCall(ctx); err != nil {
		return backend.LoadReport{}, &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Limit.apply(backend.LoadReport{Running: s.running, Draining: s.isDraining, Incarnation: s.id}), nil
}

// Calls returns a record of every call executed so far.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Drain makes the replica refuse new calls.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
}
