package wire

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

// ErrEvidence means that a peer's evidence is malformed.
var ErrEvidence = errors.New("the evidence does not fit its list of versions: run the same version on all nodes")

// VersionEvidence is what a process saw of one version since its start.
type VersionEvidence struct {
	Target   config.Target
	Evidence rollout.Evidence
}

// EvidenceArgs tells what processes saw of versions since their start.
type EvidenceArgs struct {
	// Node, Incarnation and Evidence are how a node of the first release tells
	// its own totals.
	Node        string
	Incarnation uint64
	Evidence    []VersionEvidence
	// Targets are the versions spoken of, in the order of the counts; Complete
	// tells that the processes saw no others.
	Targets   []config.Target
	Complete  bool
	Processes []ProcessEvidence
}

// ProcessEvidence is what one process saw.
type ProcessEvidence struct {
	Node        string
	Incarnation uint64
	// Counts are, for each version: rated good and bad, served good and bad,
	// timely good and bad.
	Counts []uint64
}

// EvidenceReply is empty.
type EvidenceReply struct{}

// countsPerVersion is the number of counts of one version.
const countsPerVersion = 6

// PackEvidence writes reports that all cover the same versions, or are all
// complete, as one message.
func PackEvidence(reports []rollout.Report, complete bool) EvidenceArgs {
	seen := map[config.Target]bool{}
	for _, r := range reports {
		for t := range r.Totals {
			seen[t] = true
		}
	}
	args := EvidenceArgs{Complete: complete}
	args.Targets = slices.SortedFunc(maps.Keys(seen), func(a, b config.Target) int { return strings.Compare(a.String(), b.String()) })
	for _, r := range reports {
		p := ProcessEvidence{Node: r.Node, Incarnation: r.Incarnation, Counts: make([]uint64, 0, countsPerVersion*len(args.Targets))}
		for _, t := range args.Targets {
			e := r.Totals[t]
			for _, c := range []rollout.Counts{e.Rated, e.Served, e.Timely} {
				p.Counts = append(p.Counts, uint64(c.Good), uint64(c.Bad))
			}
		}
		args.Processes = append(args.Processes, p)
	}
	return args
}

// Reports reads the message. It returns ErrEvidence if it is malformed.
func (a EvidenceArgs) Reports() ([]rollout.Report, error) {
	out := make([]rollout.Report, 0, len(a.Processes)+1)
	if a.Node != "" {
		out = append(out, a.single())
	}
	for _, p := range a.Processes {
		if len(p.Counts) != countsPerVersion*len(a.Targets) {
			return nil, ErrEvidence
		}
		r := rollout.Report{Process: rollout.Process{Node: p.Node, Incarnation: p.Incarnation}, Totals: rollout.Totals{}, Complete: a.Complete}
		for i, t := range a.Targets {
			r.Totals[t] = evidenceOf(p.Counts[countsPerVersion*i:])
		}
		out = append(out, r)
	}
	return out, nil
}

// single reads the totals of one node as the first release tells them; what it
// leaves out it has not seen, but may not have been asked for.
func (a EvidenceArgs) single() rollout.Report {
	r := rollout.Report{Process: rollout.Process{Node: a.Node, Incarnation: a.Incarnation}, Totals: rollout.Totals{}}
	for _, e := range a.Evidence {
		r.Totals[e.Target] = e.Evidence
	}
	return r
}

func evidenceOf(c []uint64) rollout.Evidence {
	return rollout.Evidence{
		Rated:  rollout.Counts{Good: int(c[0]), Bad: int(c[1])},
		Served: rollout.Counts{Good: int(c[2]), Bad: int(c[3])},
		Timely: rollout.Counts{Good: int(c[4]), Bad: int(c[5])},
	}
}
