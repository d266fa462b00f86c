// Package infra defines the platform services that the router uses and their
// clients: a transactional table, an object store, a list of VMs, a rating
// service and a store of model weights.
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
	// ErrConflict means that a condition of a write was not met. Nothing was
	// written.
	ErrConflict = errors.New("a condition of the write did not hold: read the row again")
	// ErrUnavailable means that the service did not answer. A write may or may
	// not have taken effect.
	ErrUnavailable = errors.New("the platform's service gave no answer: read back before writing again")
	// ErrThrottled means that this node's share of the service's rate is used
	// up. Nothing was sent.
	ErrThrottled = errors.New("the node's share of the store's rate is used up: wait and retry")
)

// AnyVersion is the expected version of an unconditional write.
const AnyVersion = ^uint64(0)

// Row is one row of the table.
type Row struct {
	// Key identifies the row. Keys are ordered bytewise.
	Key string `json:"key"`
	// Value is the content of the row.
	Value []byte `json:"value"`
	// Version increases with each write. It is never 0 for a row that exists.
	Version uint64 `json:"version"`
}

// Op is one write of a transaction.
type Op struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is the new content. If Delete is true, the row is deleted instead.
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Expect is the version that the row must have. 0 means that the row must
	// not exist, AnyVersion that the write is unconditional.
	Expect uint64 `json:"expect"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys start with prefix and are
	// greater than after, ordered by key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all ops or none. It returns the new versions in the order
	// of ops, ErrConflict if a condition was not met, or ErrUnavailable if the
	// result is unknown.
	Commit(ctx context.Context, ops ...Op) ([]uint64, error)
}

// ObjectStore stores large values.
type ObjectStore interface {
	// PutObject stores body under name. Storing the same body again has no
	// effect.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Roles of VMs.
const (
	RoleEntry   = "entry"
	RoleBackend = "backend"
)

// VM is one entry of the platform's VM list.
type VM struct {
	// ID is the name of the VM.
	ID string `json:"id"`
	// Address is the IP address and port of its main service.
	Address string `json:"address"`
	// DataCentre and Region are the VM's location.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Role is RoleEntry or RoleBackend.
	Role string `json:"role"`
	// Pool is the name of the pool or plain service that a backend server
	// belongs to.
	Pool string `json:"pool"`
	// Leaving is true if the VM will stop soon.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. It lags behind
// reality.
type VMList interface {
	// VMs returns the list as currently known to the platform.
	VMs(ctx context.Context) ([]VM, error)
}

// Rating is the verdict on one answer.
type Rating struct {
	// Request identifies the answer.
	Request string `json:"request"`
	// Passed is true if the answer is good enough.
	Passed bool `json:"passed"`
	// At is the time of the rating.
	At time.Time `json:"at"`
}

// Sample is one answer to be rated.
type Sample struct {
	// Request identifies the answer.
	Request string `json:"request"`
	// Organisation, Kind and Target are the organisation and kind of the
	// request and the version that answered.
	Organisation string `json:"organisation"`
	Kind         string `json:"kind"`
	Target       string `json:"target"`
	// Answer is the text of the answer.
	Answer string `json:"answer"`
}

// Ratings is the service that rates answers. Its verdicts arrive with a delay.
type Ratings interface {
	// Submit sends samples to be rated.
	Submit(ctx context.Context, samples []Sample) error
	// Poll returns the verdicts on the given requests that are available so
	// far.
	Poll(ctx context.Context, requests []string) ([]Rating, error)
}

// Weights is the rate-limited store of model weights.
type Weights interface {
	// Acquire asks to load target now. It returns the time to wait first, or
	// zero if the load may begin.
	Acquire(ctx context.Context, target string) (time.Duration, error)
}
