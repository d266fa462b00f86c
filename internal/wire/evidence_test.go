package wire

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

// Evidence arrives as it was told, by way of a gatherer or from a node of the
// first release; a malformed message is refused.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	reports := someReports(3, 2)
	args := PackEvidence(reports, false)
	got, err := args.Reports()
	is.NoErr(err)
	is.Equal(got, reports)
	target := config.Target{Model: "kuski", Version: "v1"}
	seen := rollout.Evidence{Rated: rollout.Counts{Good: 3, Bad: 1}}
	got, err = EvidenceArgs{Node: "a", Incarnation: 7, Evidence: []VersionEvidence{{Target: target, Evidence: seen}}}.Reports()
	is.NoErr(err)
	is.Equal(got, []rollout.Report{{Process: rollout.Process{Node: "a", Incarnation: 7}, Totals: rollout.Totals{target: seen}}})
	args.Processes[1].Counts = args.Processes[1].Counts[1:]
	_, err = args.Reports()
	is.True(errors.Is(err, ErrEvidence))
}
