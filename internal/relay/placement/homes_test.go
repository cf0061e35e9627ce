package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// Guards against a request that reaches an upstream outside the regions to which its route
// and its organisation are bound, also by the proposal of a coordinator.
func TestHomes(t *testing.T) {
	directory := fleet.New()
	for id, region := range map[ident.UpstreamID]ident.Region{"a": "north", "b": "south", "c": "east", "d": ""} {
		directory.Put(fleet.Registration{
			Upstream: fleet.Upstream{ID: id, Service: "pool", Region: region, State: fleet.Ready},
			Version:  1,
		})
	}
	tests := map[string]struct {
		homes [][]ident.Region
		want  map[ident.UpstreamID]bool
	}{
		"none":                    {want: map[ident.UpstreamID]bool{"a": true, "b": true, "c": true, "d": true}},
		"one region":              {homes: [][]ident.Region{{"north"}}, want: map[ident.UpstreamID]bool{"a": true}},
		"route and organisation":  {homes: [][]ident.Region{{"north", "south"}, {"south", "east"}}, want: map[ident.UpstreamID]bool{"b": true}},
		"contradictory":           {homes: [][]ident.Region{{"north"}, {"south"}}, want: map[ident.UpstreamID]bool{}},
		"region without upstream": {homes: [][]ident.Region{{"west"}}, want: map[ident.UpstreamID]bool{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			chooser := placement.New(time.Now, func() float64 { return 0 })
			query := placement.Query{
				Service: "pool",
				Homes:   test.homes,
			}
			proposed := make(map[ident.UpstreamID]bool)
			for _, id := range []ident.UpstreamID{"a", "b", "c", "d"} {
				if _, ok := chooser.PlaceAt(query, id, "", directory.Snapshot()); ok {
					proposed[id] = true
				}
			}
			c.Check(proposed, qt.DeepEquals, test.want)
			chosen := make(map[ident.UpstreamID]bool)
			for range 20 {
				if placed, ok := chooser.Choose(query, directory.Snapshot()); ok {
					chosen[placed.ID] = true
				}
			}
			c.Check(chosen, qt.DeepEquals, test.want)
		})
	}
}
