package measure

import (
	"fmt"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/admission"
)

// usageKnowledge selects what an owner learns of the usage of organisations.
type usageKnowledge int

const (
	// usageReported is what the entry nodes report of the streams that they
	// carried.
	usageReported usageKnowledge = iota
	// usageOfReplica is what the replica itself served.
	usageOfReplica
	// usageOfFleet is what the whole fleet served, without delay.
	usageOfFleet
	// usageReportedLate is reported late, usageRarelyReported with one slot
	// request in ten.
	usageReportedLate
	usageRarelyReported
)

const (
	usageReportDelay = 30 * time.Second
	usageReportShare = 0.1
)

// recordUsage counts the tokens of a stream that ends.
func (f *fleet) recordUsage(t *simAttempt) {
	node, name := f.nodes[t.request.entryNode], orgName(t.request.organisation)
	f.usage.Add(f.ev.now, name, t.tokens)
	if f.policy.usageKnowledge == usageReportedLate {
		f.ev.after(usageReportDelay, func() { node.usage.Add(f.ev.now, name, t.tokens) })
		return
	}
	node.usage.Add(f.ev.now, name, t.tokens)
}

// addUsage adds the usage that the entry node reports to new work.
func (f *fleet) addUsage(w *admission.Work, r *simRequest) {
	switch {
	case f.policy.usageKnowledge == usageOfReplica:
	case f.policy.usageKnowledge == usageOfFleet:
		w.Node, w.Used = "all", f.usage.Tokens(f.ev.now, w.Organisation)
	case f.policy.usageKnowledge == usageRarelyReported && f.rng.Float64() > usageReportShare:
	default:
		w.Node, w.Used = fmt.Sprint(r.entryNode), f.nodes[r.entryNode].usage.Tokens(f.ev.now, w.Organisation)
	}
}
