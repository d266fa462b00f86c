package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Revision is one accepted state of the configuration. Numbers only rise;
// every change, a folder, a roll-out step or a withdrawal, is a new revision.
type Revision struct {
	// Number orders the revisions; 0 means none.
	Number uint64 `json:"number"`
	// Hash is the hex SHA-256 sum of the configuration's JSON.
	Hash string `json:"hash"`
	// Author tells who made the change, At when.
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Note tells in a few words what changed.
	Note string `json:"note"`
	// Stages holds the progress of each roll-out, by its name.
	Stages map[string]RolloutState `json:"stages"`
	// Withdrawn holds the versions withdrawn by command.
	Withdrawn map[Target]Withdrawal `json:"withdrawn"`
	// Config is the content. It travels apart from the rest, by hash.
	Config *Config `json:"-"`
}

// RolloutState is the progress of one roll-out.
type RolloutState struct {
	// Stage is the index into the plan's stages; -1 means not started, and
	// the number of stages means promoted.
	Stage int `json:"stage"`
	// Since is when the stage began.
	Since time.Time `json:"since"`
	// Paused keeps the stage until it is continued.
	Paused bool `json:"paused"`
}

// Withdrawal records why and when a version was withdrawn.
type Withdrawal struct {
	// Reason is in plain words.
	Reason string `json:"reason"`
	// At is when.
	At time.Time `json:"at"`
}

// Encode returns the configuration's canonical JSON and its hash.
func (c *Config) Encode() ([]byte, string, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(body)
	return body, hex.EncodeToString(sum[:]), nil
}

// DecodeConfig reads a configuration's canonical JSON and checks its hash.
func DecodeConfig(body []byte, hash string) (*Config, error) {
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != hash {
		return nil, errors.New("the configuration's content does not match its hash: fetch it again from the object store or a peer")
	}
	c := &Config{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return c, nil
}

// IsWithdrawn tells whether t takes no new work, by the folder or by command.
func (r *Revision) IsWithdrawn(t Target) bool {
	if _, ok := r.Withdrawn[t]; ok {
		return true
	}
	v := r.Version(t)
	return v == nil || v.Withdrawn
}

// Version returns the description of t, or nil if there is none.
func (r *Revision) Version(t Target) *Version {
	m := r.Config.Models[t.Model]
	if m == nil {
		return nil
	}
	return m.Versions[t.Version]
}

// Holder keeps the newest revision that a process knows of. It only moves to
// higher numbers. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Revision]
	changed chan struct{}
}

// NewHolder returns a holder with an empty revision 0.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(&Revision{Config: &Config{}})
	return h
}

// Current returns the newest revision; it must not be changed.
func (h *Holder) Current() *Revision { return h.current.Load() }

// Offer takes r if its number is higher than the current one, and tells
// whether it did.
func (h *Holder) Offer(r *Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Config == nil || r.Number <= h.current.Load().Number {
		return false
	}
	h.current.Store(r)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
