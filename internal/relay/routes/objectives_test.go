package routes_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Guards against a spread that includes routes without stages, whose objectives are often
// far shorter.
func TestObjectiveSpread(t *testing.T) {
	staged := func(objective time.Duration) *routes.Route {
		return &routes.Route{
			Stages:    make([]routes.Stage, 1),
			Objective: objective,
		}
	}
	plain := &routes.Route{
		Objective: 100 * time.Millisecond,
	}
	tests := map[string]struct {
		routes []*routes.Route
		want   float64
	}{
		"no routes":     {},
		"without stage": {routes: []*routes.Route{plain}},
		"one":           {routes: []*routes.Route{plain, staged(time.Second)}, want: 1},
		"several":       {routes: []*routes.Route{staged(2 * time.Second), plain, staged(800 * time.Millisecond), staged(4 * time.Second)}, want: 5},
		"none stated":   {routes: []*routes.Route{staged(0), staged(time.Second)}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, table(1, test.routes...).ObjectiveSpread(), qt.Equals, test.want)
		})
	}
}
