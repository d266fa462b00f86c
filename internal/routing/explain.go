package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// skippedCounts counts the replicas that a choice skipped, by reason.
type skippedCounts struct {
	unusable, otherPool, notLoaded, quiet, tried, alternatives int
}

// ExplainReplica describes which replica was chosen and why the others were
// skipped. chosen is the result of ChooseReplica.
func ExplainReplica(replicas []Replica, req ReplicaRequest, chosen int) string {
	var skipped skippedCounts
	bestOther, bestOtherCost := -1, time.Duration(0)
	for i := range replicas {
		r := &replicas[i]
		switch {
		case i == chosen:
		case req.Pool != "" && r.Pool != req.Pool:
			skipped.otherPool++
		case req.Pool == "" && !slices.Contains(r.Targets, req.Target):
			skipped.notLoaded++
		case !r.Usable:
			skipped.unusable++
		case slices.Contains(req.Excluded, r.ID):
			skipped.tried++
		case !eligible(r, &req):
			skipped.quiet++
		default:
			skipped.alternatives++
			if cost := replicaCost(r, &req); bestOther < 0 || cost < bestOtherCost {
				bestOther, bestOtherCost = i, cost
			}
		}
	}
	text := "no replica"
	if chosen >= 0 {
		r := &replicas[chosen]
		text = fmt.Sprintf("replica %s in %s, estimated %s", r.ID, r.DataCentre, replicaCost(r, &req).Round(time.Millisecond))
	}
	text += skipped.String()
	if bestOther >= 0 {
		text += fmt.Sprintf(" (the best is %s, estimated %s)", replicas[bestOther].ID, bestOtherCost.Round(time.Millisecond))
	}
	return text
}

// String lists the reasons with a count above zero.
func (s skippedCounts) String() string {
	var parts []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{s.unusable, "unusable"}, {s.notLoaded, "without the version"}, {s.otherPool, "of another pool"},
		{s.tried, "tried before"}, {s.quiet, "in quiet hours"}, {s.alternatives, "usable"},
	} {
		if c.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "; passed over: " + strings.Join(parts, ", ")
}

// Explain describes which versions a request may run on, in order of
// preference, and why the others were skipped. chosen is the result of
// Versions.
func (p *Plan) Explain(req VersionRequest, chosen []config.Target) string {
	var names, reasons []string
	for _, t := range chosen {
		names = append(names, t.String())
	}
	models := p.Revision.Config.Models
	for _, model := range slices.Sorted(maps.Keys(models)) {
		for _, version := range slices.Sorted(maps.Keys(models[model].Versions)) {
			t := config.Target{Model: model, Version: version}
			if !slices.Contains(chosen, t) {
				reasons = append(reasons, t.String()+" "+p.skipReason(req, t))
			}
		}
	}
	text := "versions in order: " + strings.Join(names, ", ")
	if len(names) == 0 {
		text = "no version"
	}
	if len(reasons) > 0 {
		text += "; passed over: " + strings.Join(reasons, ", ")
	}
	return text
}

// skipReason returns why t is not a candidate.
func (p *Plan) skipReason(req VersionRequest, t config.Target) string {
	switch {
	case p.Revision.IsWithdrawn(t):
		return "is withdrawn"
	case !IsAllowed(p.Revision, req.Organisation, t):
		return "is not allowed"
	case req.Pin != (config.Target{}):
		return "is not the session's"
	case req.Asked.Model != AnyModel && req.Asked.Model != t.Model:
		return "was not asked for"
	case req.Asked.Version != "" && req.Asked.Version != t.Version:
		return "was not asked for"
	case req.IsOnHold != nil && req.IsOnHold(t):
		return "is on hold"
	default:
		return "is not in force for this session"
	}
}
