package meter

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// tableUses lists the first parts of table keys by which calls to the table are
// counted. Other keys count as "other".
var tableUses = []string{"bill", "claim", "config", "fleet", "node", "outcome", "pin", "rollout", "snapshot", "suspect"}

// Uses of the platform's other services.
const (
	useOther   = "other"
	useObjects = "objects"
	useVMs     = "vms"
	useRatings = "ratings"
	useWeights = "weights"
)

func keyUse(key string) string {
	use, _, _ := strings.Cut(key, "/")
	if slices.Contains(tableUses, use) {
		return use
	}
	return useOther
}

// storeResult returns the metric label of a call's result.
func storeResult(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, infra.ErrNotFound):
		return "not_found"
	case errors.Is(err, infra.ErrConflict):
		return "conflict"
	case errors.Is(err, infra.ErrThrottled):
		return "throttled"
	default:
		return "unavailable"
	}
}

// Store counts, times and traces the calls to the platform's services.
type Store struct {
	Next    infra.Services
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	Health  *HealthLog
}

var _ infra.Services = Store{}

// begin starts one call; the returned function ends it.
func (s Store) begin(ctx context.Context, use string) (context.Context, func(error)) {
	ctx, span := s.Tracer.Start(ctx, "store")
	span.SetString("use", use)
	start := time.Now()
	return ctx, func(err error) {
		span.End(err)
		s.Metrics.StoreCalls.WithLabelValues(use, storeResult(err)).Inc()
		s.Health.record(time.Now(), err)
		s.Metrics.StoreTime.WithLabelValues(use).Observe(time.Since(start).Seconds())
	}
}

// Get implements infra.Table.
func (s Store) Get(ctx context.Context, key string) (infra.Row, error) {
	ctx, end := s.begin(ctx, keyUse(key))
	row, err := s.Next.Get(ctx, key)
	end(err)
	return row, err
}

// List implements infra.Table.
func (s Store) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	ctx, end := s.begin(ctx, keyUse(prefix))
	rows, err := s.Next.List(ctx, prefix, after, limit)
	end(err)
	return rows, err
}

// Commit implements infra.Table.
func (s Store) Commit(ctx context.Context, ops ...infra.Op) ([]uint64, error) {
	use := useOther
	if len(ops) > 0 {
		use = keyUse(ops[0].Key)
	}
	ctx, end := s.begin(ctx, use)
	versions, err := s.Next.Commit(ctx, ops...)
	end(err)
	return versions, err
}

// PutObject implements infra.ObjectStore.
func (s Store) PutObject(ctx context.Context, name string, body []byte) error {
	ctx, end := s.begin(ctx, useObjects)
	err := s.Next.PutObject(ctx, name, body)
	end(err)
	return err
}

// GetObject implements infra.ObjectStore.
func (s Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	ctx, end := s.begin(ctx, useObjects)
	body, err := s.Next.GetObject(ctx, name)
	end(err)
	return body, err
}

// VMs implements infra.VMList.
func (s Store) VMs(ctx context.Context) ([]infra.VM, error) {
	ctx, end := s.begin(ctx, useVMs)
	vms, err := s.Next.VMs(ctx)
	end(err)
	return vms, err
}

// Submit implements infra.Ratings.
func (s Store) Submit(ctx context.Context, samples []infra.Sample) error {
	ctx, end := s.begin(ctx, useRatings)
	err := s.Next.Submit(ctx, samples)
	end(err)
	return err
}

// Poll implements infra.Ratings.
func (s Store) Poll(ctx context.Context, requests []string) ([]infra.Rating, error) {
	ctx, end := s.begin(ctx, useRatings)
	ratings, err := s.Next.Poll(ctx, requests)
	end(err)
	return ratings, err
}

// Acquire implements infra.Weights.
func (s Store) Acquire(ctx context.Context, target string) (time.Duration, error) {
	ctx, end := s.begin(ctx, useWeights)
	wait, err := s.Next.Acquire(ctx, target)
	end(err)
	return wait, err
}
