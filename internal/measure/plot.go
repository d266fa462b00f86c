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

// Dimensions of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// Plot draws one column of the results as a bar chart: for each policy the mean
// over the seeds, with error bars to the lowest and the highest value. The
// extension of the file name selects the format, such as ".svg" or ".png".
func Plot(file, column string, results []Result) error {
	if len(results) == 0 {
		return errors.New("no results to plot: name a scenario")
	}
	scenario := results[0].Scenario
	for _, r := range results {
		if r.Scenario != scenario {
			return errors.New("results of several scenarios cannot be plotted together: name one scenario")
		}
	}
	table := results[0].Table
	columnIndex := slices.Index(table.Columns, column)
	if columnIndex < 0 {
		return errors.Errorf("unknown column %q: use one of %s", column, strings.Join(table.Columns, ", "))
	}
	p := plot.New()
	p.Title.Text = scenario
	p.Y.Label.Text = column
	p.Y.Min = 0
	if err := addBars(p, results, columnIndex+1); err != nil {
		return err
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write the plot")
}

// errorBars holds the means and their distances to the lowest and the highest
// value.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

func addBars(p *plot.Plot, results []Result, column int) error {
	var names []string
	var means plotter.Values
	var bounds errorBars
	for row := range results[0].Table.Rows {
		s, ok := summarizeCell(results, row, column)
		if !ok {
			continue
		}
		bounds.XYs = append(bounds.XYs, plotter.XY{X: float64(len(names)), Y: s.mean()})
		bounds.YErrors = append(bounds.YErrors, struct{ Low, High float64 }{s.mean() - s.low, s.high - s.mean()})
		means = append(means, s.mean())
		names = append(names, results[0].Table.Rows[row][0])
	}
	chart, err := plotter.NewBarChart(means, barWidth)
	if err != nil {
		return errors.Wrap(err, "draw the bars")
	}
	chart.Color = plotutil.Color(2)
	errorBarChart, err := plotter.NewYErrorBars(bounds)
	if err != nil {
		return errors.Wrap(err, "draw the error bars")
	}
	p.Add(chart, errorBarChart)
	p.NominalX(names...)
	return nil
}
