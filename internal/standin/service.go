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

// ServiceCall records one call that a plain service carried out.
type ServiceCall struct {
	// Key is the idempotency key, Method and Path the call.
	Key    string    `json:"key"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	At     time.Time `json:"at"`
}

// Service is one replica of a plain service. It carries out every call that
// it gets, also the same one twice, and counts them. It is safe for
// concurrent use.
type Service struct {
	// Faults is its state of failure.
	Faults *Faults
	// ChecksFencing refuses calls with an older number than one seen for the
	// same key.
	ChecksFencing bool
	// WorkTime is how long a call takes; a caller who leaves does not stop it.
	WorkTime time.Duration

	id       string
	mu       sync.Mutex
	calls    []ServiceCall     // guarded by mu
	fencing  map[string]uint64 // guarded by mu
	running  int               // guarded by mu
	draining bool              // guarded by mu
}

var _ backend.Service = (*Service)(nil)

// NewService returns a replica.
func NewService(id string) *Service {
	return &Service{id: id, Faults: NewFaults(), fencing: map[string]uint64{}}
}

// Do implements backend.Service.
func (s *Service) Do(ctx context.Context, call backend.Call) (backend.Reply, error) {
	if err := s.Faults.Enter(ctx); err != nil {
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
	if s.Faults.LoseReply() {
		return backend.Reply{}, &backend.Error{Kind: backend.KindBroken, Ran: outcome.RanMaybe, Message: "the reply was lost"}
	}
	body, _ := json.Marshal(map[string]any{"confirmed": true, "number": number, "replica": s.id, "path": call.Path})
	return backend.Reply{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

func (s *Service) begin(call backend.Call) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return "", &backend.Error{Kind: backend.KindDraining, Ran: outcome.RanNo, Message: "the service is leaving"}
	}
	if s.ChecksFencing && call.Key != "" && call.Fencing < s.fencing[call.Key] {
		return "", &backend.Error{Kind: backend.KindFenced, Ran: outcome.RanNo, Message: "a newer claim has called"}
	}
	s.fencing[call.Key] = max(s.fencing[call.Key], call.Fencing)
	s.calls = append(s.calls, ServiceCall{Key: call.Key, Method: call.Method, Path: call.Path, At: time.Now()})
	s.running++
	return fmt.Sprintf("%s-%d", s.id, len(s.calls)), nil
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Load implements backend.Service.
func (s *Service) Load(ctx context.Context) (backend.LoadReport, error) {
	if err := s.Faults.Enter(ctx); err != nil {
		return backend.LoadReport{}, &backend.Error{Kind: backend.KindConnect, Ran: outcome.RanNo, Message: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return backend.LoadReport{Running: s.running, Draining: s.draining, Incarnation: s.id}, nil
}

// Calls returns every call carried out so far.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Drain makes the replica refuse new work.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}
