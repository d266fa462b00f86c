package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// PlatformOptions sizes a platform.
type PlatformOptions struct {
	// VMLag is how late the VM list shows a change.
	VMLag time.Duration
	// RatingLag is how late a verdict comes.
	RatingLag time.Duration
	// WeightLoadsPerMinute is the weight store's rate.
	WeightLoadsPerMinute float64
}

// Platform holds all of the platform's services in memory. It is safe for
// concurrent use.
type Platform struct {
	*Table
	// ObjectFaults, VMFaults and RatingFaults are the services' states of
	// failure; the table has its own.
	ObjectFaults *Faults
	VMFaults     *Faults
	RatingFaults *Faults
	// WeightFaults is the weight store's state of failure.
	WeightFaults *Faults

	options PlatformOptions
	weights *rate.Limiter
	mu      sync.Mutex
	objects map[string][]byte // guarded by mu
	changes []vmChange        // guarded by mu
	ratings map[string]rated  // guarded by mu
}

type vmChange struct {
	at  time.Time
	vms []infra.VM
}

type rated struct {
	at      time.Time
	verdict infra.Rating
}

var (
	_ infra.ObjectStore = (*Platform)(nil)
	_ infra.VMList      = (*Platform)(nil)
	_ infra.Ratings     = (*Platform)(nil)
	_ infra.Weights     = (*Platform)(nil)
)

// NewPlatform returns an empty platform.
func NewPlatform(options PlatformOptions) *Platform {
	if options.WeightLoadsPerMinute == 0 {
		options.WeightLoadsPerMinute = 60
	}
	return &Platform{
		Table:        NewTable(),
		ObjectFaults: NewFaults(),
		VMFaults:     NewFaults(),
		RatingFaults: NewFaults(),
		WeightFaults: NewFaults(),
		options:      options,
		weights:      rate.NewLimiter(rate.Limit(options.WeightLoadsPerMinute/60), 2),
		objects:      map[string][]byte{},
		ratings:      map[string]rated{},
	}
}

// PutObject implements infra.ObjectStore.
func (p *Platform) PutObject(ctx context.Context, name string, body []byte) error {
	if err := p.ObjectFaults.Enter(ctx); err != nil {
		return errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = body
	if p.ObjectFaults.LoseReply() {
		return errors.Wrap(infra.ErrUnavailable, "the reply was lost")
	}
	return nil
}

// GetObject implements infra.ObjectStore.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.ObjectFaults.Enter(ctx); err != nil {
		return nil, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[name]
	if !ok {
		return nil, infra.ErrNotFound
	}
	return body, nil
}

// SetVMs replaces the true list; callers of VMs see it after the lag.
func (p *Platform) SetVMs(vms []infra.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now().Add(p.options.VMLag)
	if len(p.changes) == 0 {
		at = time.Now()
	}
	p.changes = append(p.changes, vmChange{at: at, vms: append([]infra.VM(nil), vms...)})
}

// VMs implements infra.VMList.
func (p *Platform) VMs(ctx context.Context) ([]infra.VM, error) {
	if err := p.VMFaults.Enter(ctx); err != nil {
		return nil, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.changes) > 1 && !p.changes[1].at.After(now) {
		p.changes = p.changes[1:]
	}
	if len(p.changes) == 0 {
		return nil, nil
	}
	return append([]infra.VM(nil), p.changes[0].vms...), nil
}

// Submit implements infra.Ratings. An answer passes with the chance that
// its text's mark gives; see PassChance.
func (p *Platform) Submit(ctx context.Context, samples []infra.Sample) error {
	if err := p.RatingFaults.Enter(ctx); err != nil {
		return errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range samples {
		draw := float64(xxhash.Sum64String(s.Request)%10_000) / 10_000
		verdict := infra.Rating{Request: s.Request, Passed: draw < PassChance(s.Answer), At: now}
		p.ratings[s.Request] = rated{at: now.Add(p.options.RatingLag), verdict: verdict}
	}
	return nil
}

// Poll implements infra.Ratings.
func (p *Platform) Poll(ctx context.Context, requests []string) ([]infra.Rating, error) {
	if err := p.RatingFaults.Enter(ctx); err != nil {
		return nil, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := []infra.Rating{}
	for _, id := range requests {
		if r, ok := p.ratings[id]; ok && !r.at.After(now) {
			out = append(out, r.verdict)
			delete(p.ratings, id)
		}
	}
	return out, nil
}

// Acquire implements infra.Weights.
func (p *Platform) Acquire(ctx context.Context, _ string) (time.Duration, error) {
	if err := p.WeightFaults.Enter(ctx); err != nil {
		return 0, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	r := p.weights.Reserve()
	wait := r.Delay()
	if wait > 0 {
		r.Cancel()
	}
	return wait, nil
}
