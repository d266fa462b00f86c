package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// passed counts the replicas that a choice passed over, by reason.
type passed struct {
	unusable, other, notLoaded, quiet, tried, others int
}

// ExplainReplica tells in plain words which replica was chosen and why the
// others were passed over; chosen is ChooseReplica's answer.
func ExplainReplica(replicas []Replica, req ReplicaRequest, chosen int) string {
	var p passed
	next, nextCost := -1, time.Duration(0)
	for i := range replicas {
		r := &replicas[i]
		switch {
		case i == chosen:
		case req.Pool != "" && r.Pool != req.Pool:
			p.other++
		case req.Pool == "" && !slices.Contains(r.Targets, req.Target):
			p.notLoaded++
		case !r.Usable:
			p.unusable++
		case slices.Contains(req.Excluded, r.ID):
			p.tried++
		case !eligible(r, &req):
			p.quiet++
		default:
			p.others++
			if cost := replicaCost(r, &req); next < 0 || cost < nextCost {
				next, nextCost = i, cost
			}
		}
	}
	text := "no replica"
	if chosen >= 0 {
		r := &replicas[chosen]
		text = fmt.Sprintf("replica %s in %s, estimated %s", r.ID, r.DataCentre, replicaCost(r, &req).Round(time.Millisecond))
	}
	text += p.String()
	if next >= 0 {
		text += fmt.Sprintf(" (the best is %s, estimated %s)", replicas[next].ID, nextCost.Round(time.Millisecond))
	}
	return text
}

// String lists the reasons that occurred.
func (p passed) String() string {
	var parts []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{p.unusable, "unusable"}, {p.notLoaded, "without the version"}, {p.other, "of another pool"},
		{p.tried, "tried before"}, {p.quiet, "in quiet hours"}, {p.others, "usable"},
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

// Explain tells in plain words which versions a request may run on, in their
// order, and why the others were passed over; chosen is the answer of
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
				reasons = append(reasons, t.String()+" "+p.whyNot(req, t))
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

// whyNot tells why t is no candidate.
func (p *Plan) whyNot(req VersionRequest, t config.Target) string {
	switch {
	case p.Revision.IsWithdrawn(t):
		return "is withdrawn"
	case !Allowed(p.Revision, req.Organisation, t):
		return "is not allowed"
	case req.Pin != (config.Target{}):
		return "is not the session's"
	case req.Asked.Model != AnyModel && req.Asked.Model != t.Model:
		return "was not asked for"
	case req.Asked.Version != "" && req.Asked.Version != t.Version:
		return "was not asked for"
	case req.Held != nil && req.Held(t):
		return "is held as suspect"
	default:
		return "is not in force for this session"
	}
}
