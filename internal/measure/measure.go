// Package measure runs the decisions of the router against baselines in a
// small discrete-event loop, without nodes or network. The decision code is
// the same that the nodes run.
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

// Table is the outcome of one scenario: a row for each policy.
type Table struct {
	// Columns name the figures, with their units.
	Columns []string `json:"columns"`
	// Rows hold one policy each, its name first.
	Rows [][]string `json:"rows"`
}

// Add appends a row.
func (t *Table) Add(policy string, figures ...string) {
	t.Rows = append(t.Rows, append([]string{policy}, figures...))
}

// Scenario is one trial of policies beside their baselines.
type Scenario struct {
	// Name is what the command line calls it.
	Name string
	// About tells in one sentence what it tries.
	About string
	// Run carries it out; the same seed gives the same table.
	Run func(seed uint64) *Table
}

// scenarios holds all by name; files of this package add theirs in init.
var scenarios = map[string]Scenario{}

func register(s Scenario) { scenarios[s.Name] = s }

// Scenarios lists all, sorted by name.
func Scenarios() []Scenario {
	out := []Scenario{}
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		out = append(out, scenarios[name])
	}
	return out
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, error) {
	s, ok := scenarios[name]
	if !ok {
		known := strings.Join(slices.Sorted(maps.Keys(scenarios)), ", ")
		return s, errors.Errorf("there is no scenario %q: use one of %s", name, known)
	}
	return s, nil
}

// Result is a scenario's table for one seed.
type Result struct {
	Scenario string `json:"scenario"`
	// Seed is the seed, or the first of Seeds summed up.
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

// Write prints results as "text", "csv" or "json".
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
		return errors.Errorf("there is no format %q: use text, csv or json", format)
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
