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
	short, err := deployment.ParseChange("deployment.length=3s")
	c.Assert(err, qt.IsNil)
	plain, err := experiment.ParseVariant("as built:")
	c.Assert(err, qt.IsNil)
	host, err := experiment.ParseVariant("by host: policy.batching=host, policy.affinity=none")
	c.Assert(err, qt.IsNil)
	vary, err := experiment.ParseSeries("kind rules-chat.rate=5, 10")
	c.Assert(err, qt.IsNil)
	return experiment.Plan{
		Name:     "franchise",
		Text:     text,
		Changes:  []deployment.Change{short},
		Variants: []experiment.Variant{plain, host},
		Vary:     &vary,
		Seeds:    2,
		Workers:  3,
	}
}

// Guards against points that are mixed up between variants, values and seeds.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	p := plan(t)
	points, err := p.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(points, qt.HasLen, 4)
	var places []string
	for _, point := range points {
		places = append(places, point.Variant+" "+point.Value)
	}
	c.Check(places, qt.DeepEquals, []string{"as built 5", "as built 10", "by host 5", "by host 10"})
	p.Workers = 1
	again, err := p.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(again, qt.DeepEquals, points, qt.Commentf("the order of the runs does not count"))

	var text strings.Builder
	c.Assert(experiment.Table(&text, points), qt.IsNil)
	c.Check(strings.Count(text.String(), "\n"), qt.Equals, 5)
}

// Guards against a plan that goes on after it was broken off, and against one that
// cannot be played and says nothing.
func TestPlanErrors(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := plan(t).Run(ctx)
	c.Check(err, qt.ErrorIs, context.Canceled)

	p := plan(t)
	p.Vary.Values = []string{"5", "none"}
	_, err = p.Run(t.Context())
	c.Check(err, qt.ErrorIs, deployment.ErrInvalid)
	for _, text := range []string{"by host: batching", "x: a=1"} {
		_, err = experiment.ParseVariant(text)
		c.Check(err, qt.IsNotNil)
	}
}

// Guards against plots that cannot be drawn.
func TestPlots(t *testing.T) {
	c := qt.New(t)
	p := plan(t)
	points, err := p.Run(t.Context())
	c.Assert(err, qt.IsNil)
	sweep := filepath.Join(t.TempDir(), "sweep.svg")
	c.Assert(experiment.Plot(sweep, *p.Vary, points), qt.IsNil)
	p.Vary.Values = []string{"few", "many"}
	c.Assert(experiment.Plot(sweep, *p.Vary, points), qt.IsNil)
	drawn, err := os.ReadFile(sweep)
	c.Assert(err, qt.IsNil)
	c.Check(string(drawn), qt.Contains, "by host")

	d, err := deployment.Parse(p.Name, p.Text, p.Changes...)
	c.Assert(err, qt.IsNil)
	day := filepath.Join(t.TempDir(), "day.svg")
	report := play.Run(d, 1)
	c.Assert(experiment.Day(day, report), qt.IsNil)
	drawn, err = os.ReadFile(day)
	c.Assert(err, qt.IsNil)
	c.Check(string(drawn), qt.Contains, "arrive")
	var text strings.Builder
	c.Assert(experiment.Kinds(&text, report), qt.IsNil)
	c.Check(text.String(), qt.Contains, "rules-chat")
}
