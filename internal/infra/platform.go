// Package infra defines what the router needs of the platform it runs on,
// a transactional table, an object store, a list of VMs, a rating service and
// a weight store, and holds the clients for them.
package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition of a write did not hold; nothing
	// was written.
	ErrConflict = errors.New("a condition of the write did not hold: read the row again")
	// ErrUnavailable means that the service gave no answer; a write may or
	// may not have taken effect.
	ErrUnavailable = errors.New("the platform's service gave no answer: read back before writing again")
	// ErrThrottled means that this node's share of the service's rate is
	// used up; nothing was sent.
	ErrThrottled = errors.New("the node's share of the store's rate is used up: wait and retry")
)

// AnyVersion is the expected version of a write without a condition.
const AnyVersion = ^uint64(0)

// Row is one row of the table.
type Row struct {
	// Key identifies the row; keys sort bytewise.
	Key string `json:"key"`
	// Value is the content.
	Value []byte `json:"value"`
	// Version rises with each write; it is never 0 for a row that exists.
	Version uint64 `json:"version"`
}

// Op is one write of a transaction.
type Op struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is the new content; Delete removes the row instead.
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Expect is the version that the row must have; 0 means that it must not
	// exist, AnyVersion that it does not matter.
	Expect uint64 `json:"expect"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys begin with prefix and are
	// greater than after, in the order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all ops or none. It returns the new versions in the
	// order of ops, ErrConflict if a condition did not hold, or
	// ErrUnavailable if the outcome is unknown.
	Commit(ctx context.Context, ops ...Op) ([]uint64, error)
}

// ObjectStore keeps large values.
type ObjectStore interface {
	// PutObject stores body under name; storing the same again is harmless.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Roles of VMs.
const (
	RoleEntry   = "entry"
	RoleBackend = "backend"
)

// VM is one entry of the VM list.
type VM struct {
	// ID is the VM's name.
	ID string `json:"id"`
	// Address is the IP and port of its main service.
	Address string `json:"address"`
	// DataCentre and Region tell where it stands.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Role is RoleEntry or RoleBackend.
	Role string `json:"role"`
	// Pool is the backend server's pool or plain service.
	Pool string `json:"pool"`
	// Leaving tells that the VM will stop soon.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	// VMs returns the list as the platform knows it at present.
	VMs(ctx context.Context) ([]VM, error)
}

// Rating is the verdict on one answer.
type Rating struct {
	// Request identifies the answer.
	Request string `json:"request"`
	// Passed tells whether the answer is good enough.
	Passed bool `json:"passed"`
	// At is when it was rated.
	At time.Time `json:"at"`
}

// Sample is one answer sent to be rated.
type Sample struct {
	// Request identifies the answer.
	Request string `json:"request"`
	// Organisation, Kind and Target tell whose it is and what made it.
	Organisation string `json:"organisation"`
	Kind         string `json:"kind"`
	Target       string `json:"target"`
	// Answer is the text.
	Answer string `json:"answer"`
}

// Ratings is the service that rates answers. Its verdicts come late.
type Ratings interface {
	// Submit sends samples to be rated.
	Submit(ctx context.Context, samples []Sample) error
	// Poll returns the verdicts on the given requests that are there by now.
	Poll(ctx context.Context, requests []string) ([]Rating, error)
}

// Weights is the rate-limited store of model weights.
type Weights interface {
	// Acquire asks to load t now; it returns how long to wait first, zero
	// when the load may begin.
	Acquire(ctx context.Context, target string) (time.Duration, error)
}
