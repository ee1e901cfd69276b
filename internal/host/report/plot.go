package report

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the chart and its bars.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 0.15 * vg.Inch
)

// Draw writes the burn rates over all data centres to a PNG file, as a bar
// chart with a cluster of bars per class and one bar per window in each.
func (b Burn) Draw(file string) error {
	p := plot.New()
	p.Title.Text = "Service-level burn"
	p.Y.Label.Text = "Burn rate (1 uses the budget up just in time)"
	classes, rates := b.burnRates()
	if len(classes) == 0 {
		return errors.Errorf("cannot draw %s: the report has no rows over all data centres", file)
	}
	for i, window := range []string{"5m", "1h", "6h", "3d"} {
		bars, err := plotter.NewBarChart(rates[window], barWidth)
		if err != nil {
			return errors.WithStack(err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		// The four bars of a class are centred on its position, 1.5 bars from the
		// first.
		bars.Offset = barWidth * vg.Length(float64(i)-1.5)
		p.Add(bars)
		p.Legend.Add(window, bars)
	}
	p.Legend.Top = true
	p.NominalX(classes...)
	return errors.WithStack(p.Save(plotWidth, plotHeight, file))
}

// burnRates returns the classes and, for each window, the burn rate of each
// class in the same order. The rate is zero if the report has no row for it. Rows of
// windows that are not plotted, as those of a newer proxy may be, are left out.
func (b Burn) burnRates() ([]string, map[string]plotter.Values) {
	var classes []string
	rates := map[string]plotter.Values{}
	for _, r := range b.Rows {
		if r.DataCentre != "" {
			continue
		}
		if len(classes) == 0 || classes[len(classes)-1] != r.Class {
			classes = append(classes, r.Class)
			for window := range windowOrder {
				rates[window] = append(rates[window], 0)
			}
		}
		if rate, ok := rates[r.Window]; ok {
			rate[len(classes)-1] = r.BurnRate
		}
	}
	return classes, rates
}
