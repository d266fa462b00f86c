package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Services combines all services of the platform.
type Services interface {
	Table
	ObjectStore
	VMList
	Ratings
	Weights
}

// Limited is a client of the platform that keeps one node within its share of
// the store's rate. Calls are ordered by their use. After failures calls are
// paused with jitter, so that nodes do not all retry at once. It is safe for
// concurrent use.
type Limited struct {
	Services
	limits  FleetLimits
	reads   *rateLimiter
	writes  *rateLimiter
	table   backoff
	objects backoff
}

var _ Services = (*Limited)(nil)

// NewLimited returns a client of s for a single node. SetNodes sets the number
// of nodes that share the limits.
func NewLimited(s Services, limits FleetLimits) *Limited {
	return &Limited{Services: s, limits: limits, reads: newRateLimiter(limits.Reads), writes: newRateLimiter(limits.Writes)}
}

// SetNodes divides the fleet's rate by the number of nodes that use the store.
func (l *Limited) SetNodes(n int) {
	l.reads.setRate(l.limits.Reads / float64(max(n, 1)))
	l.writes.setRate(l.limits.Writes / float64(max(n, 1)))
}

type backgroundKey struct{}

// WithLowestPriority returns a context whose calls to the store have the lowest
// priority, whatever rows they concern.
func WithLowestPriority(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// call makes one call once the limiter and the pause allow it. If it returns
// ErrThrottled, nothing was sent.
func (l *Limited) call(ctx context.Context, limiter *rateLimiter, pause *backoff, use Use, do func() error) error {
	if ctx.Value(backgroundKey{}) != nil {
		use = UseBackground
	}
	if pause.blockOrProbe(time.Now()) {
		return errors.Wrap(ErrThrottled, "the service did not answer a moment ago")
	}
	if err := limiter.acquire(ctx, use); err != nil {
		return err
	}
	err := do()
	if pause.recordResult(time.Now(), errors.Is(err, ErrUnavailable)) {
		l.reads.empty()
		l.writes.empty()
	}
	return err
}

// Get implements Table.
func (l *Limited) Get(ctx context.Context, key string) (row Row, err error) {
	err = l.call(ctx, l.reads, &l.table, UseForKey(key), func() error {
		row, err = l.Services.Get(ctx, key)
		return err
	})
	return row, err
}

// List implements Table.
func (l *Limited) List(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	err = l.call(ctx, l.reads, &l.table, UseForKey(prefix), func() error {
		rows, err = l.Services.List(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements Table.
func (l *Limited) Commit(ctx context.Context, ops ...Op) (versions []uint64, err error) {
	use := UseBackground
	for _, op := range ops {
		use = min(use, UseForKey(op.Key))
	}
	err = l.call(ctx, l.writes, &l.table, use, func() error {
		versions, err = l.Services.Commit(ctx, ops...)
		return err
	})
	return versions, err
}

// PutObject implements ObjectStore.
func (l *Limited) PutObject(ctx context.Context, name string, body []byte) error {
	return l.call(ctx, l.writes, &l.objects, UseConfig, func() error { return l.Services.PutObject(ctx, name, body) })
}

// GetObject implements ObjectStore.
func (l *Limited) GetObject(ctx context.Context, name string) (body []byte, err error) {
	err = l.call(ctx, l.reads, &l.objects, UseConfig, func() error {
		body, err = l.Services.GetObject(ctx, name)
		return err
	})
	return body, err
}

// VMs implements VMList.
func (l *Limited) VMs(ctx context.Context) (vms []VM, err error) {
	err = l.call(ctx, l.reads, &backoff{}, UseBackground, func() error {
		vms, err = l.Services.VMs(ctx)
		return err
	})
	return vms, err
}
