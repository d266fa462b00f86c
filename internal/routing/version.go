package routing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// AnyModel is the model name with which a caller leaves the choice to the
// router.
const AnyModel = "auto"

// VersionRequest describes a choice of a version.
type VersionRequest struct {
	// Organisation is the organisation of the caller.
	Organisation string
	// Asked is the model or version that the caller named, or AnyModel.
	Asked config.Target
	// Session assigns the request to a bucket of a roll-out: the caller's
	// session, or the request's ID if there is none.
	Session string
	// Pin is the version that the session is pinned to, or zero.
	Pin config.Target
	// IsOnHold reports whether a version is on hold and should get no new sessions.
	// It may be nil.
	IsOnHold func(config.Target) bool
}

// IsAllowed reports whether an organisation may run t under rev, and t is not
// withdrawn. It is checked again before every dispatch.
func IsAllowed(rev *config.Revision, organisation string, t config.Target) bool {
	o := rev.Config.Organisations[organisation]
	if o == nil || rev.IsWithdrawn(t) {
		return false
	}
	return slices.ContainsFunc(o.Allow, func(a config.Target) bool { return a.Matches(t) })
}

// Plan holds the rules of one revision for the choice of versions, in a form
// computed once. It is immutable.
type Plan struct {
	// Revision is the revision that the plan was computed from.
	Revision *config.Revision
	models   map[string]*modelPlan
	orgs     map[string]*orgPlan
}

// modelPlan is one model with its roll-outs in progress, sorted by name.
type modelPlan struct {
	inPlace  config.Target
	rollouts []rolloutPlan
}

// rolloutPlan is one roll-out in progress.
type rolloutPlan struct {
	name    string
	to      config.Target
	buckets uint64 // of bucketCount
}

// orgPlan is one organisation with the versions that it may run now.
type orgPlan struct {
	qualityTarget float64
	allowed       map[config.Target]*config.Version
	models        []string
}

// NewPlan computes the plan of a revision.
func NewPlan(rev *config.Revision) *Plan {
	p := &Plan{Revision: rev, models: map[string]*modelPlan{}, orgs: map[string]*orgPlan{}}
	for name, m := range rev.Config.Models {
		p.models[name] = &modelPlan{inPlace: config.Target{Model: name, Version: m.Default}}
	}
	for _, name := range slices.Sorted(maps.Keys(rev.Config.Rollouts)) {
		plan := rev.Config.Rollouts[name]
		to := config.Target{Model: plan.Model, Version: plan.To}
		buckets := uint64(RolloutShare(rev, name) * bucketCount)
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
	out := &orgPlan{qualityTarget: o.QualityTarget, allowed: map[config.Target]*config.Version{}}
	for _, model := range slices.Sorted(maps.Keys(rev.Config.Models)) {
		any := false
		for version, v := range rev.Config.Models[model].Versions {
			t := config.Target{Model: model, Version: version}
			if IsAllowed(rev, name, t) {
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

// Versions returns the versions that the request may run on, the preferred one
// first. A valid pin is the only candidate.
func Versions(rev *config.Revision, req VersionRequest) []config.Target {
	return NewPlan(rev).Versions(nil, req)
}

// Versions appends to dst the versions that the request may run on, the
// preferred one first. A valid pin is the only candidate. Versions on hold come
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
		if t, ok := p.versionInForce(req.Asked.Model, req); ok && o.allowed[t] != nil {
			dst = append(dst, t)
		}
		return dst
	}
	for _, model := range o.models {
		if t, ok := p.versionInForce(model, req); ok && o.allowed[t] != nil {
			dst = append(dst, t)
		}
	}
	slices.SortFunc(dst[start:], func(a, b config.Target) int {
		return cmp.Or(byHold(req.IsOnHold, a, b), byCost(o.qualityTarget, o.allowed[a], o.allowed[b]), cmp.Compare(a.Model, b.Model))
	})
	return dst
}

// Version returns the configuration of t if the organisation may run it now, or
// nil.
func (p *Plan) Version(organisation string, t config.Target) *config.Version {
	if o := p.orgs[organisation]; o != nil {
		return o.allowed[t]
	}
	return nil
}

// QualityTarget returns the quality target of the organisation, or 0 if it is
// unknown.
func (p *Plan) QualityTarget(organisation string) float64 {
	if o := p.orgs[organisation]; o != nil {
		return o.qualityTarget
	}
	return 0
}

// IsRollingOut reports whether a roll-out to t is in progress.
func (p *Plan) IsRollingOut(t config.Target) bool {
	m := p.models[t.Model]
	return m != nil && slices.ContainsFunc(m.rollouts, func(r rolloutPlan) bool { return r.to == t && r.buckets < bucketCount })
}

// HasRollout reports whether a roll-out of the model is in progress.
func (p *Plan) HasRollout(model string) bool {
	m := p.models[model]
	return m != nil && slices.ContainsFunc(m.rollouts, func(r rolloutPlan) bool { return r.buckets < bucketCount })
}

// VerdictVersion returns the version whose verdicts are used to choose t. During a
// roll-out to t it is the version in place, so that both versions get the same
// kinds of work and their ratings are comparable.
func (p *Plan) VerdictVersion(t config.Target) config.Target {
	if p.IsRollingOut(t) {
		return p.models[t.Model].inPlace
	}
	return t
}

// versionInForce returns the version of a model that the request would get.
func (p *Plan) versionInForce(model string, req VersionRequest) (config.Target, bool) {
	m := p.models[model]
	if m == nil {
		return config.Target{}, false
	}
	if req.Asked.Version != "" {
		return config.Target{Model: model, Version: req.Asked.Version}, true
	}
	for i := range m.rollouts {
		r := &m.rollouts[i]
		isHeld := req.IsOnHold != nil && r.to != m.inPlace && req.IsOnHold(r.to)
		if !isHeld && sessionBucket(r.name, req.Session) < r.buckets {
			return r.to, true
		}
	}
	return m.inPlace, true
}

// RolloutShare returns the fraction of new sessions, 0 to 1, that the new version of a
// roll-out gets now.
func RolloutShare(rev *config.Revision, name string) float64 {
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

// bucketCount is the number of buckets into which a roll-out divides sessions.
const bucketCount = 10_000

// sessionBucket returns the bucket of a session in one roll-out.
func sessionBucket(rollout, session string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(rollout)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(session)
	return d.Sum64() % bucketCount
}

// byHold sorts versions on hold last.
func byHold(isOnHold func(config.Target) bool, a, b config.Target) int {
	if isOnHold == nil {
		return 0
	}
	heldA, heldB := isOnHold(a), isOnHold(b)
	switch {
	case heldA == heldB:
		return 0
	case heldA:
		return 1
	default:
		return -1
	}
}

// byCost sorts versions that meet the quality target first, by cost. The others
// follow by quality.
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
