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

// PlatformOptions configures a simulated platform.
type PlatformOptions struct {
	// VMLag is the delay until the VM list shows a change.
	VMLag time.Duration
	// RatingLag is the delay until a verdict is available.
	RatingLag time.Duration
	// WeightLoadsPerMinute is the rate limit of the weight store; 60 if it is
	// zero.
	WeightLoadsPerMinute float64
}

// Platform simulates all services of the platform in memory. It is safe for
// concurrent use.
type Platform struct {
	*Table
	// ObjectFaults, VMFaults and RatingFaults are the faults of the object
	// store, the VM list and the rating service; the table has its own.
	ObjectFaults *Faults
	VMFaults     *Faults
	RatingFaults *Faults
	// WeightFaults are the faults of the weight store.
	WeightFaults *Faults

	options       PlatformOptions
	weightLimiter *rate.Limiter
	mu            sync.Mutex
	objects       map[string][]byte        // guarded by mu
	changes       []vmChange               // guarded by mu; the first is the one shown
	ratings       map[string]delayedRating // guarded by mu; by request
}

// vmChange is a VM list and the time from which callers see it.
type vmChange struct {
	visibleAt time.Time
	vms       []infra.VM
}

// delayedRating is a verdict and the time from which it is available.
type delayedRating struct {
	availableAt time.Time
	verdict     infra.Rating
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
		Table:         NewTable(),
		ObjectFaults:  NewFaults(),
		VMFaults:      NewFaults(),
		RatingFaults:  NewFaults(),
		WeightFaults:  NewFaults(),
		options:       options,
		weightLimiter: rate.NewLimiter(rate.Limit(options.WeightLoadsPerMinute/60), 2),
		objects:       map[string][]byte{},
		ratings:       map[string]delayedRating{},
	}
}

// PutObject implements infra.ObjectStore.
func (p *Platform) PutObject(ctx context.Context, name string, body []byte) error {
	if err := p.ObjectFaults.BeforeCall(ctx); err != nil {
		return errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = body
	if p.ObjectFaults.ConsumeLostReply() {
		return errors.Wrap(infra.ErrUnavailable, "the reply was lost")
	}
	return nil
}

// GetObject implements infra.ObjectStore.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := p.ObjectFaults.BeforeCall(ctx); err != nil {
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

// SetVMs replaces the VM list. Callers of VMs see the first list at once and
// later lists after VMLag.
func (p *Platform) SetVMs(vms []infra.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleAt := time.Now().Add(p.options.VMLag)
	if len(p.changes) == 0 {
		visibleAt = time.Now()
	}
	p.changes = append(p.changes, vmChange{visibleAt: visibleAt, vms: append([]infra.VM(nil), vms...)})
}

// VMs implements infra.VMList.
func (p *Platform) VMs(ctx context.Context) ([]infra.VM, error) {
	if err := p.VMFaults.BeforeCall(ctx); err != nil {
		return nil, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.changes) > 1 && !p.changes[1].visibleAt.After(now) {
		p.changes = p.changes[1:]
	}
	if len(p.changes) == 0 {
		return nil, nil
	}
	return append([]infra.VM(nil), p.changes[0].vms...), nil
}

// Submit implements infra.Ratings. An answer passes with the probability that
// its text states; see PassProbability.
func (p *Platform) Submit(ctx context.Context, samples []infra.Sample) error {
	if err := p.RatingFaults.BeforeCall(ctx); err != nil {
		return errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range samples {
		draw := float64(xxhash.Sum64String(s.Request)%10_000) / 10_000
		verdict := infra.Rating{Request: s.Request, Passed: draw < PassProbability(s.Answer), At: now}
		p.ratings[s.Request] = delayedRating{availableAt: now.Add(p.options.RatingLag), verdict: verdict}
	}
	return nil
}

// Poll implements infra.Ratings.
func (p *Platform) Poll(ctx context.Context, requests []string) ([]infra.Rating, error) {
	if err := p.RatingFaults.BeforeCall(ctx); err != nil {
		return nil, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	verdicts := []infra.Rating{}
	for _, id := range requests {
		if r, ok := p.ratings[id]; ok && !r.availableAt.After(now) {
			verdicts = append(verdicts, r.verdict)
			delete(p.ratings, id)
		}
	}
	return verdicts, nil
}

// Acquire implements infra.Weights.
func (p *Platform) Acquire(ctx context.Context, _ string) (time.Duration, error) {
	if err := p.WeightFaults.BeforeCall(ctx); err != nil {
		return 0, errors.Wrap(infra.ErrUnavailable, err.Error())
	}
	reservation := p.weightLimiter.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
	}
	return wait, nil
}
