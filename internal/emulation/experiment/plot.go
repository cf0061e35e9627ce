package experiment

import (
	"strconv"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

const (
	plotWidth     = 18 * vg.Centimeter
	plotHeight    = 9 * vg.Centimeter
	runPlotHeight = 6 * vg.Centimeter
)

// Plot draws the share of the worth over the values of the sweep, with a curve and error
// bars for each variant. If a value is not a number, the values are placed at equal
// distances. The extension of the path selects the format.
func Plot(path string, sweep Sweep, points []Point) error {
	p := plot.New()
	p.X.Label.Text = sweep.Name()
	p.Y.Label.Text = "part of the worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	numeric := true
	for _, value := range sweep.Values {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
			numeric = false
		}
	}
	if !numeric {
		p.NominalX(sweep.Values...)
	}
	var args []any
	for _, c := range curves(sweep, points, numeric) {
		args = append(args, c.name, c)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Trace(err)
	}
	for _, c := range curves(sweep, points, numeric) {
		bars, err := plotter.NewYErrorBars(c)
		if err != nil {
			return errors.Trace(err)
		}
		p.Add(bars)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}

// curve is the curve of a variant over the values of a sweep.
type curve struct {
	name string
	plotter.XYs
	plotter.YErrors
}

func curves(sweep Sweep, points []Point, numeric bool) []curve {
	var list []curve // the points are ordered by variant
	for i, point := range points {
		index := i % len(sweep.Values)
		if index == 0 {
			list = append(list, curve{
				name: point.Variant,
			})
		}
		x := float64(index)
		if numeric {
			x, _ = strconv.ParseFloat(point.Value, 64) // checked by the caller
		}
		last := &list[len(list)-1]
		last.XYs = append(last.XYs, plotter.XY{
			X: x,
			Y: point.Summary.WorthShare,
		})
		last.YErrors = append(last.YErrors, struct{ Low, High float64 }{
			Low:  point.Summary.WorthDeviation,
			High: point.Summary.WorthDeviation,
		})
	}
	return list
}

// PlotRun draws the arrivals, responses on time, refusals and waiting requests of each
// second of a run. The extension of the path selects the format.
func PlotRun(path string, report play.Report) error {
	p := plot.New()
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	values := map[string]func(s play.Second) float64{
		"arrive":  func(s play.Second) float64 { return float64(s.Requests) },
		"on time": func(s play.Second) float64 { return float64(s.OnTime) },
		"refused": func(s play.Second) float64 { return float64(s.Refusals[0] + s.Refusals[1]) },
		"wait":    func(s play.Second) float64 { return float64(s.Waiting) },
	}
	var args []any
	for _, name := range []string{"arrive", "on time", "refused", "wait"} {
		var xys plotter.XYs
		for i, second := range report.Seconds {
			xys = append(xys, plotter.XY{
				X: float64(i),
				Y: values[name](second),
			})
		}
		args = append(args, name, xys)
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, runPlotHeight, path))
}
