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
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	dayHeight  = 6 * vg.Centimeter
)

// Plot draws the worth of the points over the value that is varied, a line for each
// variant with its spread; the ending of the file's name gives the format. Values
// that are no numbers stand side by side.
func Plot(path string, vary Series, points []Point) error {
	p := plot.New()
	p.X.Label.Text = vary.Name()
	p.Y.Label.Text = "part of the worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	numeric := true
	for _, value := range vary.Values {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
			numeric = false
		}
	}
	if !numeric {
		p.NominalX(vary.Values...)
	}
	var args []any
	for _, line := range lines(vary, points, numeric) {
		args = append(args, line.name, line)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Trace(err)
	}
	for _, line := range lines(vary, points, numeric) {
		bars, err := plotter.NewYErrorBars(line)
		if err != nil {
			return errors.Trace(err)
		}
		p.Add(bars)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}

// line is a variant over the values.
type line struct {
	name string
	plotter.XYs
	plotter.YErrors
}

func lines(vary Series, points []Point, numeric bool) []line {
	var list []line
	for i, point := range points {
		place := i % len(vary.Values)
		if place == 0 {
			list = append(list, line{
				name: point.Variant,
			})
		}
		x := float64(place)
		if numeric {
			x, _ = strconv.ParseFloat(point.Value, 64) // checked by the caller
		}
		last := &list[len(list)-1]
		last.XYs = append(last.XYs, plotter.XY{
			X: x,
			Y: point.Summary.Worth,
		})
		last.YErrors = append(last.YErrors, struct{ Low, High float64 }{
			Low:  point.Summary.Spread,
			High: point.Summary.Spread,
		})
	}
	return list
}

// Day draws the arrivals, refusals and waiting requests of a run over its seconds.
func Day(path string, report play.Report) error {
	p := plot.New()
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	curves := map[string]func(s play.Second) float64{
		"arrive":  func(s play.Second) float64 { return float64(s.Asked) },
		"on time": func(s play.Second) float64 { return float64(s.OnTime) },
		"refused": func(s play.Second) float64 { return float64(s.Refused[0] + s.Refused[1]) },
		"wait":    func(s play.Second) float64 { return float64(s.Waiting) },
	}
	var args []any
	for _, name := range []string{"arrive", "on time", "refused", "wait"} {
		var xys plotter.XYs
		for i, second := range report.Seconds {
			xys = append(xys, plotter.XY{
				X: float64(i),
				Y: curves[name](second),
			})
		}
		args = append(args, name, xys)
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Save(plotWidth, dayHeight, path))
}
