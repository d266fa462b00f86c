package wire

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/rollout"
)

// Evidence decodes to the reports that were encoded, both in the current form and
// in that of the first release. A malformed message is refused.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	reports := sampleReports(3, 2)
	args := PackEvidence(reports, false)
	got, err := args.Reports()
	is.NoErr(err)
	is.Equal(got, reports)
	target := config.Target{Model: "kuski", Version: "v1"}
	evidence := rollout.Evidence{Rated: rollout.Counts{Good: 3, Bad: 1}}
	got, err = EvidenceArgs{Node: "a", Incarnation: 7, Evidence: []VersionEvidence{{Target: target, Evidence: evidence}}}.Reports()
	is.NoErr(err)
	is.Equal(got, []rollout.Report{{Process: rollout.Process{Node: "a", Incarnation: 7}, Totals: rollout.Totals{target: evidence}}})
	args.Processes[1].Counts = args.Processes[1].Counts[1:]
	_, err = args.Reports()
	is.True(errors.Is(err, ErrEvidence))
}
