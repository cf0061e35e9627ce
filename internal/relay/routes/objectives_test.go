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
	tests := map[string]struct {
		objectives []time.Duration // of routes with stages
		want       float64
	}{
		"no routes":   {},
		"one":         {objectives: []time.Duration{time.Second}, want: 1},
		"several":     {objectives: []time.Duration{2 * time.Second, 800 * time.Millisecond, 4 * time.Second}, want: 5},
		"none stated": {objectives: []time.Duration{0, time.Second}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := []*routes.Route{{Objective: time.Millisecond}}
			for _, objective := range test.objectives {
				all = append(all, &routes.Route{Stages: make([]routes.Stage, 1), Objective: objective})
			}
			qt.Assert(t, table(1, all...).ObjectiveSpread(), qt.Equals, test.want)
		})
	}
}
