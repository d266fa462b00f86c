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

// Revision is one accepted state of the configuration. Every change (a new folder,
// a roll-out step or a withdrawal) makes a new revision with a higher number.
type Revision struct {
	// Number orders the revisions; 0 means that there is none.
	Number uint64 `json:"number"`
	// Hash is the hex SHA-256 sum of the configuration's JSON.
	Hash string `json:"hash"`
	// Author is who made the change, At the time of it.
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Note is a short description of the change.
	Note string `json:"note"`
	// Stages holds the progress of each roll-out, by its name.
	Stages map[string]RolloutState `json:"stages"`
	// Withdrawn holds the versions withdrawn by command.
	Withdrawn map[Target]Withdrawal `json:"withdrawn"`
	// Config is the content. It is stored and sent separately, by its hash.
	Config *Config `json:"-"`
}

// RolloutState is the progress of one roll-out.
type RolloutState struct {
	// Stage is the index into the plan's stages. -1 means not started, the
	// number of stages means promoted.
	Stage int `json:"stage"`
	// Since is when the stage began.
	Since time.Time `json:"since"`
	// Paused keeps the roll-out at its stage until it is resumed.
	Paused bool `json:"paused"`
}

// Withdrawal records why and when a version was withdrawn.
type Withdrawal struct {
	// Reason is a description for operators.
	Reason string `json:"reason"`
	// At is the time of the withdrawal.
	At time.Time `json:"at"`
}

// Encode returns the configuration's canonical JSON and its hex SHA-256 sum.
func (c *Config) Encode() ([]byte, string, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(body)
	return body, hex.EncodeToString(sum[:]), nil
}

// DecodeConfig decodes a configuration's canonical JSON. It returns an error if
// the JSON does not match the hash.
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

// IsWithdrawn reports whether t accepts no new work: it does not exist, or it was
// withdrawn in the folder or by command.
func (r *Revision) IsWithdrawn(t Target) bool {
	if _, ok := r.Withdrawn[t]; ok {
		return true
	}
	v := r.Version(t)
	return v == nil || v.Withdrawn
}

// Version returns the configuration of t, or nil if there is none.
func (r *Revision) Version(t Target) *Version {
	m := r.Config.Models[t.Model]
	if m == nil {
		return nil
	}
	return m.Versions[t.Version]
}

// Holder holds the newest revision that a process has received. Its revision
// number only increases. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Revision]
	changed chan struct{} // guarded by mu; closed when the revision changes
}

// NewHolder returns a holder with an empty revision 0.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(&Revision{Config: &Config{}})
	return h
}

// Current returns the newest revision, which must not be modified.
func (h *Holder) Current() *Revision { return h.current.Load() }

// ReplaceIfNewer replaces the current revision by r if r has content and a higher
// number, and reports whether it did.
func (h *Holder) ReplaceIfNewer(r *Revision) bool {
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

// Changed returns a channel that is closed when the revision changes next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
