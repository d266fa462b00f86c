package measure

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// Plot draws one column of the results as bars to a file, whose name's ending
// chooses the format, such as ".svg" or ".png": the mean over the seeds of
// each policy, with the lowest and the highest.
func Plot(file, column string, results []Result) error {
	if len(results) == 0 {
		return errors.New("there is nothing to plot: name a scenario")
	}
	scenario := results[0].Scenario
	for _, r := range results {
		if r.Scenario != scenario {
			return errors.New("a plot shows one scenario: name one")
		}
	}
	table := results[0].Table
	at := slices.Index(table.Columns, column)
	if at < 0 {
		return errors.Errorf("there is no column %q: use one of %s", column, strings.Join(table.Columns, ", "))
	}
	p := plot.New()
	p.Title.Text = scenario
	p.Y.Label.Text = column
	p.Y.Min = 0
	if err := addBars(p, results, at+1); err != nil {
		return err
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write the plot")
}

// bars holds the means with their distance to the lowest and the highest.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

func addBars(p *plot.Plot, results []Result, column int) error {
	var names []string
	var means plotter.Values
	var errs bars
	for row := range results[0].Table.Rows {
		s, ok := figures(results, row, column)
		if !ok {
			continue
		}
		errs.XYs = append(errs.XYs, plotter.XY{X: float64(len(names)), Y: s.mean()})
		errs.YErrors = append(errs.YErrors, struct{ Low, High float64 }{s.mean() - s.low, s.high - s.mean()})
		means = append(means, s.mean())
		names = append(names, results[0].Table.Rows[row][0])
	}
	chart, err := plotter.NewBarChart(means, barWidth)
	if err != nil {
		return errors.Wrap(err, "draw the bars")
	}
	chart.Color = plotutil.Color(2)
	spread, err := plotter.NewYErrorBars(errs)
	if err != nil {
		return errors.Wrap(err, "draw the spread")
	}
	p.Add(chart, spread)
	p.NominalX(names...)
	return nil
}
