package experiment_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/experiment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

func plan(t *testing.T) experiment.Plan {
	t.Helper()
	c := qt.New(t)
	text, err := deployment.Builtin("franchise")
	c.Assert(err, qt.IsNil)
	length, err := deployment.ParseChange("deployment.length=3s")
	c.Assert(err, qt.IsNil)
	baseline, err := experiment.ParseVariant("as built:")
	c.Assert(err, qt.IsNil)
	byHost, err := experiment.ParseVariant("by host: policy.batching=host, policy.affinity=none")
	c.Assert(err, qt.IsNil)
	sweep, err := experiment.ParseSweep("kind rules-chat.rate=5, 10")
	c.Assert(err, qt.IsNil)
	return experiment.Plan{
		Name:     "franchise",
		Text:     text,
		Changes:  []deployment.Change{length},
		Variants: []experiment.Variant{baseline, byHost},
		Sweep:    &sweep,
		Seeds:    2,
		Workers:  3,
	}
}

// Guards against results that are assigned to the wrong variant, value or seed, which
// can happen when runs end in another order than they start.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	p := plan(t)
	points, err := p.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(points, qt.HasLen, 4)
	var labels []string
	for _, point := range points {
		labels = append(labels, point.Variant+" "+point.Value)
	}
	c.Check(labels, qt.DeepEquals, []string{"as built 5", "as built 10", "by host 5", "by host 10"})
	p.Workers = 1
	again, err := p.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(again, qt.DeepEquals, points, qt.Commentf("the points depend on the number of workers"))

	var text strings.Builder
	c.Assert(experiment.Table(&text, points), qt.IsNil)
	c.Check(strings.Count(text.String(), "\n"), qt.Equals, 5)
}

// Guards against a plan that continues after its context has ended, and against invalid
// changes that are not reported.
func TestPlanErrors(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := plan(t).Run(ctx)
	c.Check(err, qt.ErrorIs, context.Canceled)

	p := plan(t)
	p.Sweep.Values = []string{"5", "none"}
	_, err = p.Run(t.Context())
	c.Check(err, qt.ErrorIs, deployment.ErrInvalid)
	for _, text := range []string{"by host: batching", "x: a=1"} {
		_, err = experiment.ParseVariant(text)
		c.Check(err, qt.IsNotNil)
	}
}

// Guards against plots that fail or lack a curve, with numeric and other values.
func TestPlots(t *testing.T) {
	c := qt.New(t)
	p := plan(t)
	points, err := p.Run(t.Context())
	c.Assert(err, qt.IsNil)
	sweepPath := filepath.Join(t.TempDir(), "sweep.svg")
	c.Assert(experiment.Plot(sweepPath, *p.Sweep, points), qt.IsNil)
	p.Sweep.Values = []string{"few", "many"}
	c.Assert(experiment.Plot(sweepPath, *p.Sweep, points), qt.IsNil)
	drawn, err := os.ReadFile(sweepPath)
	c.Assert(err, qt.IsNil)
	c.Check(string(drawn), qt.Contains, "by host")

	d, err := deployment.Parse(p.Name, p.Text, p.Changes...)
	c.Assert(err, qt.IsNil)
	runPath := filepath.Join(t.TempDir(), "day.svg")
	report := play.Run(d, 1)
	c.Assert(experiment.PlotRun(runPath, report), qt.IsNil)
	drawn, err = os.ReadFile(runPath)
	c.Assert(err, qt.IsNil)
	c.Check(string(drawn), qt.Contains, "arrive")
	var text strings.Builder
	c.Assert(experiment.KindTable(&text, report), qt.IsNil)
	c.Check(text.String(), qt.Contains, "rules-chat")
}
