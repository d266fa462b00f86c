package measure

import (
	"fmt"
	"strconv"
)

// seedSummary summarizes one table cell over several seeds.
type seedSummary struct {
	low, high, sum float64
	n              int
}

func (s *seedSummary) add(v float64) {
	if s.n == 0 || v < s.low {
		s.low = v
	}
	if s.n == 0 || v > s.high {
		s.high = v
	}
	s.sum += v
	s.n++
}

func (s *seedSummary) mean() float64 { return s.sum / float64(s.n) }

// Summarize combines the seeds of each scenario into one result: each cell
// holds the mean with the lowest and the highest value. Results of one scenario
// must be adjacent.
func Summarize(results []Result) []Result {
	var out []Result
	for len(results) > 0 {
		n := 1
		for n < len(results) && results[n].Scenario == results[0].Scenario {
			n++
		}
		out = append(out, Result{Scenario: results[0].Scenario, Seed: results[0].Seed, Seeds: n, Table: summarizeTable(results[:n])})
		results = results[n:]
	}
	return out
}

func summarizeTable(results []Result) *Table {
	first := results[0].Table
	out := &Table{Columns: first.Columns}
	for i, row := range first.Rows {
		cells := make([]string, 0, len(row)-1)
		for j := range row[1:] {
			cells = append(cells, formatCellSummary(results, i, j+1))
		}
		out.AddRow(row[0], cells...)
	}
	return out
}

func formatCellSummary(results []Result, row, column int) string {
	s, ok := summarizeCell(results, row, column)
	if !ok {
		return results[0].Table.Rows[row][column]
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.mean(), s.low, s.high)
}

// summarizeCell summarizes one cell over the seeds; ok is false if no value is
// a number.
func summarizeCell(results []Result, row, column int) (s seedSummary, ok bool) {
	for _, r := range results {
		if v, err := strconv.ParseFloat(r.Table.Rows[row][column], 64); err == nil {
			s.add(v)
		}
	}
	return s, s.n > 0
}
