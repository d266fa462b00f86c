// Package measure simulates the router's decisions beside baseline policies in
// a discrete-event loop, without nodes or network. It calls the same decision
// code that the nodes run.
package measure

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table holds the results of one scenario: a row for each policy.
type Table struct {
	// Columns names the values of a row, with their units.
	Columns []string `json:"columns"`
	// Rows holds one policy each, its name first.
	Rows [][]string `json:"rows"`
}

// AddRow appends the values of a policy.
func (t *Table) AddRow(policy string, values ...string) {
	t.Rows = append(t.Rows, append([]string{policy}, values...))
}

// Scenario is one simulated comparison of policies with their baselines.
type Scenario struct {
	// Name selects the scenario on the command line.
	Name string
	// Description says in one sentence what is compared.
	Description string
	// Run executes the scenario; the same seed gives the same table.
	Run func(seed uint64) *Table
}

// scenarios holds all scenarios by name; the files of this package register
// theirs in init.
var scenarios = map[string]Scenario{}

func registerScenario(s Scenario) { scenarios[s.Name] = s }

// Scenarios returns all scenarios, sorted by name.
func Scenarios() []Scenario {
	out := []Scenario{}
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		out = append(out, scenarios[name])
	}
	return out
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, error) {
	s, ok := scenarios[name]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(scenarios)), ", ")
		return s, errors.Errorf("unknown scenario %q: use one of %s", name, names)
	}
	return s, nil
}

// Result is a scenario's table for one seed, or its summary over several.
type Result struct {
	Scenario string `json:"scenario"`
	// Seed is the seed, or the first of the Seeds that Table summarizes.
	Seed  uint64 `json:"seed"`
	Seeds int    `json:"seeds,omitempty"`
	Table *Table `json:"table"`
}

func (r Result) title() string {
	if r.Seeds > 1 {
		return fmt.Sprintf("%s, seeds %d to %d: mean (lowest to highest)", r.Scenario, r.Seed, r.Seed+uint64(r.Seeds)-1)
	}
	return fmt.Sprintf("%s, seed %d", r.Scenario, r.Seed)
}

// Write prints results in the format "text", "csv" or "json".
func Write(w io.Writer, format string, results []Result) error {
	switch format {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	case "csv":
		return writeCSV(w, results)
	case "text":
		return writeText(w, results)
	default:
		return errors.Errorf("unknown format %q: use text, csv or json", format)
	}
}

func writeCSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	for _, r := range results {
		_ = out.Write(append([]string{"scenario", "seed", "policy"}, r.Table.Columns...))
		for _, row := range r.Table.Rows {
			_ = out.Write(append([]string{r.Scenario, fmt.Sprint(r.Seed)}, row...))
		}
	}
	out.Flush()
	return out.Error()
}

func writeText(w io.Writer, results []Result) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range results {
		fmt.Fprintln(out, r.title())
		fmt.Fprintln(out, "policy\t"+strings.Join(r.Table.Columns, "\t"))
		for _, row := range r.Table.Rows {
			fmt.Fprintln(out, strings.Join(row, "\t"))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
