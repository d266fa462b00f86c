package routing

import (
	"cmp"
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
	// Session identifies the caller's session, or is empty.
	Session string
	// Pin is the version that the session is on, or zero.
	Pin config.Target
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

// Versions returns the versions that the request may run on, the preferred
// one first. A valid pin is the only candidate.
func Versions(rev *config.Revision, req VersionRequest) []config.Target {
	if req.Pin != (config.Target{}) && Allowed(rev, req.Organisation, req.Pin) {
		return []config.Target{req.Pin}
	}
	o := rev.Config.Organisations[req.Organisation]
	if o == nil {
		return nil
	}
	var out []config.Target
	for name := range rev.Config.Models {
		t, ok := inForce(rev, name, req)
		if ok && Allowed(rev, req.Organisation, t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b config.Target) int {
		return cmp.Or(byCost(rev, o.QualityTarget, a, b), cmp.Compare(a.String(), b.String()))
	})
	return out
}

// inForce returns the version of a model that the request would get.
func inForce(rev *config.Revision, model string, req VersionRequest) (config.Target, bool) {
	if req.Asked.Model != AnyModel && req.Asked.Model != model {
		return config.Target{}, false
	}
	if req.Asked.Version != "" {
		return config.Target{Model: model, Version: req.Asked.Version}, true
	}
	t := config.Target{Model: model, Version: rev.Config.Models[model].Default}
	for name, plan := range rev.Config.Rollouts {
		if plan.Model != model {
			continue
		}
		to := config.Target{Model: model, Version: plan.To}
		if Share(rev, name)*100 > float64(bucket(name, req.Session)) && !rev.IsWithdrawn(to) {
			return to, true
		}
	}
	return t, true
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

// bucket places a session within 0 to 100 for one roll-out.
func bucket(rollout, session string) uint64 {
	return xxhash.Sum64String(rollout+"/"+session) % 100
}

// byCost sorts versions that meet the quality target first, by cost; the
// others follow by quality.
func byCost(rev *config.Revision, target float64, a, b config.Target) int {
	va, vb := rev.Version(a), rev.Version(b)
	okA, okB := va.Quality >= target, vb.Quality >= target
	switch {
	case okA && !okB:
		return -1
	case okB && !okA:
		return 1
	case okA:
		return cmp.Compare(va.CostPerMillionTokens, vb.CostPerMillionTokens)
	default:
		return cmp.Compare(vb.Quality, va.Quality)
	}
}
