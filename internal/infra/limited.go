package infra

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Services are all of the platform's services.
type Services interface {
	Table
	ObjectStore
	VMList
	Ratings
	Weights
}

// Limited keeps one node within its share of the store's rate. Calls take
// turns by their use; after a failure they pause, so that nodes do not come
// back all at once. It is safe for concurrent use.
type Limited struct {
	Services
	limits  FleetLimits
	reads   *rated
	writes  *rated
	table   outage
	objects outage
}

var _ Services = (*Limited)(nil)

// NewLimited returns a client of s for one node of a fleet; SetNodes tells how
// many there are.
func NewLimited(s Services, limits FleetLimits) *Limited {
	return &Limited{Services: s, limits: limits, reads: newRated(limits.Reads), writes: newRated(limits.Writes)}
}

// SetNodes divides the fleet's rate by the number of nodes that may use it.
func (l *Limited) SetNodes(n int) {
	l.reads.setRate(l.limits.Reads / float64(max(n, 1)))
	l.writes.setRate(l.limits.Writes / float64(max(n, 1)))
}

type background struct{}

// Background returns a context whose calls of the store come after all others,
// whatever their rows are.
func Background(ctx context.Context) context.Context {
	return context.WithValue(ctx, background{}, true)
}

// call makes one call in its turn. Nothing is sent if it returns ErrThrottled.
func (l *Limited) call(ctx context.Context, b *rated, o *outage, use Use, do func() error) error {
	if ctx.Value(background{}) != nil {
		use = UseBackground
	}
	if o.closed(time.Now()) {
		return errors.Wrap(ErrThrottled, "the service did not answer a moment ago")
	}
	if err := b.take(ctx, use); err != nil {
		return err
	}
	err := do()
	if o.note(time.Now(), errors.Is(err, ErrUnavailable)) {
		l.reads.empty()
		l.writes.empty()
	}
	return err
}

// Get implements Table.
func (l *Limited) Get(ctx context.Context, key string) (row Row, err error) {
	err = l.call(ctx, l.reads, &l.table, UseOf(key), func() error {
		row, err = l.Services.Get(ctx, key)
		return err
	})
	return row, err
}

// List implements Table.
func (l *Limited) List(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	err = l.call(ctx, l.reads, &l.table, UseOf(prefix), func() error {
		rows, err = l.Services.List(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements Table.
func (l *Limited) Commit(ctx context.Context, ops ...Op) (versions []uint64, err error) {
	use := UseBackground
	for _, op := range ops {
		use = min(use, UseOf(op.Key))
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
	err = l.call(ctx, l.reads, &outage{}, UseBackground, func() error {
		vms, err = l.Services.VMs(ctx)
		return err
	})
	return vms, err
}
