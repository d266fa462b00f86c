package routing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// AnyModel is the model name by which a caller leaves the choice to the
// router.
const AnyModel = "auto"

// VersionRequest is what the choice of a version needs to know.
type VersionRequest struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Asked is the model or version the caller named, or AnyModel.
	Asked config.Target
	// Session places the request in a roll-out: the caller's session, or the
	// request's identity where there is none.
	Session string
	// Pin is the version that the session is on, or zero.
	Pin config.Target
	// Held tells which versions should get no new sessions; may be nil.
	Held func(config.Target) bool
}

// Allowed tells whether an organisation may run t under rev, and t is not
// withdrawn. It is the check repeated before every dispatch.
func Allowed(rev *config.Revision, organisation string, t config.Target) bool {
	o := rev.Config.Organisations[organisation]
	if o == nil || rev.IsWithdrawn(t) {
		return false
	}
	return slices.ContainsFunc(o.Allow, func(a config.Target) bool { return a.Matches(t) })
}

// Plan holds what one revision says of the choice of versions, worked out
// once. It is immutable.
type Plan struct {
	// Revision is what the plan was made of.
	Revision *config.Revision
	models   map[string]*modelPlan
	orgs     map[string]*orgPlan
}

// modelPlan is one model with the roll-outs that are under way, by name.
type modelPlan struct {
	inPlace  config.Target
	rollouts []rolloutPlan
}

// rolloutPlan is one roll-out under way.
type rolloutPlan struct {
	name    string
	to      config.Target
	buckets uint64 // of bucketCount
}

// orgPlan is one organisation with the versions that it may run at present.
type orgPlan struct {
	target  float64
	allowed map[config.Target]*config.Version
	models  []string
}

// NewPlan works a revision out.
func NewPlan(rev *config.Revision) *Plan {
	p := &Plan{Revision: rev, models: map[string]*modelPlan{}, orgs: map[string]*orgPlan{}}
	for name, m := range rev.Config.Models {
		p.models[name] = &modelPlan{inPlace: config.Target{Model: name, Version: m.Default}}
	}
	for _, name := range slices.Sorted(maps.Keys(rev.Config.Rollouts)) {
		plan := rev.Config.Rollouts[name]
		to := config.Target{Model: plan.Model, Version: plan.To}
		buckets := uint64(Share(rev, name) * bucketCount)
		if m := p.models[plan.Model]; m != nil && buckets > 0 && !rev.IsWithdrawn(to) {
			m.rollouts = append(m.rollouts, rolloutPlan{name: name, to: to, buckets: buckets})
		}
	}
	for name, o := range rev.Config.Organisations {
		p.orgs[name] = newOrgPlan(rev, name, o)
	}
	return p
}

func newOrgPlan(rev *config.Revision, name string, o *config.Organisation) *orgPlan {
	out := &orgPlan{target: o.QualityTarget, allowed: map[config.Target]*config.Version{}}
	for _, model := range slices.Sorted(maps.Keys(rev.Config.Models)) {
		any := false
		for version, v := range rev.Config.Models[model].Versions {
			t := config.Target{Model: model, Version: version}
			if Allowed(rev, name, t) {
				out.allowed[t] = v
				any = true
			}
		}
		if any {
			out.models = append(out.models, model)
		}
	}
	return out
}

// Versions returns the versions that the request may run on, the preferred
// one first. A valid pin is the only candidate.
func Versions(rev *config.Revision, req VersionRequest) []config.Target {
	return NewPlan(rev).Versions(nil, req)
}

// Versions appends the versions that the request may run on to dst, the
// preferred one first. A valid pin is the only candidate; held versions come
// last.
func (p *Plan) Versions(dst []config.Target, req VersionRequest) []config.Target {
	o := p.orgs[req.Organisation]
	if o == nil {
		return dst
	}
	if o.allowed[req.Pin] != nil {
		return append(dst, req.Pin)
	}
	start := len(dst)
	if req.Asked.Model != AnyModel {
		if t, ok := p.inForce(req.Asked.Model, req); ok && o.allowed[t] != nil {
			dst = append(dst, t)
		}
		return dst
	}
	for _, model := range o.models {
		if t, ok := p.inForce(model, req); ok && o.allowed[t] != nil {
			dst = append(dst, t)
		}
	}
	slices.SortFunc(dst[start:], func(a, b config.Target) int {
		return cmp.Or(byHold(req.Held, a, b), byCost(o.target, o.allowed[a], o.allowed[b]), cmp.Compare(a.Model, b.Model))
	})
	return dst
}

// Version returns what is configured of t if the organisation may run it now.
func (p *Plan) Version(organisation string, t config.Target) *config.Version {
	if o := p.orgs[organisation]; o != nil {
		return o.allowed[t]
	}
	return nil
}

// QualityTarget returns the organisation's target.
func (p *Plan) QualityTarget(organisation string) float64 {
	if o := p.orgs[organisation]; o != nil {
		return o.target
	}
	return 0
}

// RollingOut tells whether t comes in by a roll-out that is under way.
func (p *Plan) RollingOut(t config.Target) bool {
	m := p.models[t.Model]
	return m != nil && slices.ContainsFunc(m.rollouts, func(r rolloutPlan) bool { return r.to == t && r.buckets < bucketCount })
}

// Changing tells whether a roll-out of the model is under way.
func (p *Plan) Changing(model string) bool {
	m := p.models[model]
	return m != nil && slices.ContainsFunc(m.rollouts, func(r rolloutPlan) bool { return r.buckets < bucketCount })
}

// Learned returns the version by whose verdicts t is chosen: while t comes in,
// that of the version in place, so that both get work of the same kinds and
// their ratings compare.
func (p *Plan) Learned(t config.Target) config.Target {
	if p.RollingOut(t) {
		return p.models[t.Model].inPlace
	}
	return t
}

// inForce returns the version of a model that the request would get.
func (p *Plan) inForce(model string, req VersionRequest) (config.Target, bool) {
	m := p.models[model]
	if m == nil {
		return config.Target{}, false
	}
	if req.Asked.Version != "" {
		return config.Target{Model: model, Version: req.Asked.Version}, true
	}
	for i := range m.rollouts {
		r := &m.rollouts[i]
		held := req.Held != nil && r.to != m.inPlace && req.Held(r.to)
		if !held && bucket(r.name, req.Session) < r.buckets {
			return r.to, true
		}
	}
	return m.inPlace, true
}

// Share returns the share of new sessions, 0 to 1, that a roll-out's new
// version gets at present.
func Share(rev *config.Revision, name string) float64 {
	plan := rev.Config.Rollouts[name]
	state, ok := rev.Stages[name]
	if plan == nil || !ok || state.Stage < 0 {
		return 0
	}
	if state.Stage >= len(plan.Stages) {
		return 1
	}
	return plan.Stages[state.Stage].Percent / 100
}

// bucketCount is into how many parts a roll-out divides sessions.
const bucketCount = 10_000

// bucket places a session for one roll-out.
func bucket(rollout, session string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(rollout)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(session)
	return d.Sum64() % bucketCount
}

// byHold sorts versions that should get no new sessions last.
func byHold(held func(config.Target) bool, a, b config.Target) int {
	if held == nil {
		return 0
	}
	heldA, heldB := held(a), held(b)
	switch {
	case heldA == heldB:
		return 0
	case heldA:
		return 1
	default:
		return -1
	}
}

// byCost sorts versions that meet the quality target first, by cost; the
// others follow by quality.
func byCost(target float64, a, b *config.Version) int {
	okA, okB := a.Quality >= target, b.Quality >= target
	switch {
	case okA && !okB:
		return -1
	case okB && !okA:
		return 1
	case okA:
		return cmp.Compare(a.CostPerMillionTokens, b.CostPerMillionTokens)
	default:
		return cmp.Compare(b.Quality, a.Quality)
	}
}
