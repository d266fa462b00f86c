package wire

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

// ErrEvidence means that a peer's evidence is malformed: its counts do not match
// its list of versions.
var ErrEvidence = errors.New("the evidence does not fit its list of versions: run the same version on all nodes")

// VersionEvidence is the evidence on one version that a process collected since
// its start.
type VersionEvidence struct {
	Target   config.Target
	Evidence rollout.Evidence
}

// EvidenceArgs reports the evidence on versions that processes collected since
// their start.
type EvidenceArgs struct {
	// Node, Incarnation and Evidence hold the totals of one node in the form of
	// the first release.
	Node        string
	Incarnation uint64
	Evidence    []VersionEvidence
	// Targets are the versions covered, in the order of the counts. Complete
	// means that the processes have evidence on no others.
	Targets   []config.Target
	Complete  bool
	Processes []ProcessEvidence
}

// ProcessEvidence is the evidence that one process collected.
type ProcessEvidence struct {
	Node        string
	Incarnation uint64
	// Counts holds six counts for each version: rated good and bad, served good
	// and bad, timely good and bad.
	Counts []uint64
}

// EvidenceReply is empty.
type EvidenceReply struct{}

// countsPerVersion is the number of counts of one version.
const countsPerVersion = 6

// PackEvidence encodes reports as one message. All reports must cover the same
// versions, or all must be complete.
func PackEvidence(reports []rollout.Report, complete bool) EvidenceArgs {
	targets := map[config.Target]bool{}
	for _, r := range reports {
		for t := range r.Totals {
			targets[t] = true
		}
	}
	args := EvidenceArgs{Complete: complete}
	args.Targets = slices.SortedFunc(maps.Keys(targets), func(a, b config.Target) int { return strings.Compare(a.String(), b.String()) })
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

// Reports decodes the message. It returns ErrEvidence if the message is
// malformed.
func (a EvidenceArgs) Reports() ([]rollout.Report, error) {
	reports := make([]rollout.Report, 0, len(a.Processes)+1)
	if a.Node != "" {
		reports = append(reports, a.firstReleaseReport())
	}
	for _, p := range a.Processes {
		if len(p.Counts) != countsPerVersion*len(a.Targets) {
			return nil, ErrEvidence
		}
		r := rollout.Report{Process: rollout.Process{Node: p.Node, Incarnation: p.Incarnation}, Totals: rollout.Totals{}, IsComplete: a.Complete}
		for i, t := range a.Targets {
			r.Totals[t] = decodeEvidence(p.Counts[countsPerVersion*i:])
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// firstReleaseReport decodes the totals of one node in the form of the first
// release. It leaves IsComplete false, since a version may be missing only because
// it was not asked for.
func (a EvidenceArgs) firstReleaseReport() rollout.Report {
	r := rollout.Report{Process: rollout.Process{Node: a.Node, Incarnation: a.Incarnation}, Totals: rollout.Totals{}}
	for _, e := range a.Evidence {
		r.Totals[e.Target] = e.Evidence
	}
	return r
}

// decodeEvidence decodes the first countsPerVersion counts of c.
func decodeEvidence(c []uint64) rollout.Evidence {
	return rollout.Evidence{
		Rated:  rollout.Counts{Good: int(c[0]), Bad: int(c[1])},
		Served: rollout.Counts{Good: int(c[2]), Bad: int(c[3])},
		Timely: rollout.Counts{Good: int(c[4]), Bad: int(c[5])},
	}
}
