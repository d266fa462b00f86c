package node

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

var (
	descName   = regexp.MustCompile(`fqName: "(cowslipfall_[a-z_]+)"`)
	descLabels = regexp.MustCompile(`variableLabels: \{([a-z_,]*)\}`)
	docRow     = regexp.MustCompile("^\\| `(cowslipfall_[a-z_]+)` \\|([^|]*)\\|")
)

// programMetrics lists the metrics of nodes and of routes as "name: labels".
func programMetrics() []string {
	own := telemetry.NewMetrics().Registry
	own.MustRegister(gaugeCollector{})
	routes := telemetry.NewForwardMetrics()
	routes.RegisterGauges(telemetry.ForwardState{})
	ch := make(chan *prometheus.Desc)
	go func() {
		own.Describe(ch)
		routes.Registry.Describe(ch)
		close(ch)
	}()
	var out []string
	for d := range ch {
		text := d.String()
		if m := descName.FindStringSubmatch(text); m != nil {
			out = append(out, m[1]+": "+descLabels.FindStringSubmatch(text)[1])
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a metrics page that is out of date: docs/metrics.md must list
// exactly the metrics and labels of the program.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	var documented []string
	for line := range strings.SplitSeq(string(raw), "\n") {
		if m := docRow.FindStringSubmatch(line); m != nil {
			documented = append(documented, m[1]+": "+strings.ReplaceAll(strings.TrimSpace(m[2]), " ", ""))
		}
	}
	slices.Sort(documented)
	is.Equal(programMetrics(), documented)
	is.True(len(documented) > 20)
}
