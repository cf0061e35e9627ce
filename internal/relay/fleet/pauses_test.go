package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// Guards against requests to an upstream that has asked for none, and against a pause
// that outlives the process that asked for it.
func TestPauses(t *testing.T) {
	upstream := func(id ident.UpstreamID, started ident.Incarnation) fleet.Upstream {
		return fleet.Upstream{
			ID:      id,
			Started: started,
		}
	}
	a, b := upstream("a", 1), upstream("b", 1)
	tests := map[string]struct {
		apply    func(p *fleet.Pauses)
		at       time.Duration
		asked    []fleet.Upstream
		paused   []ident.UpstreamID
		shortest time.Duration
	}{
		"none": {apply: func(*fleet.Pauses) {}, asked: []fleet.Upstream{a, b}},
		"one of two": {
			apply:  func(p *fleet.Pauses) { p.Add(a, 3*time.Second) },
			at:     time.Second,
			asked:  []fleet.Upstream{a, b},
			paused: []ident.UpstreamID{"a"},
		},
		"both": {
			apply: func(p *fleet.Pauses) {
				p.Add(a, 3*time.Second)
				p.Add(b, 2*time.Second)
			},
			at:       time.Second,
			asked:    []fleet.Upstream{a, b},
			paused:   []ident.UpstreamID{"a", "b"},
			shortest: time.Second,
		},
		"over": {
			apply: func(p *fleet.Pauses) { p.Add(a, time.Second) },
			at:    time.Second,
			asked: []fleet.Upstream{a},
		},
		"a shorter one later": {
			apply: func(p *fleet.Pauses) {
				p.Add(a, 3*time.Second)
				p.Add(a, time.Second)
			},
			at:       2 * time.Second,
			asked:    []fleet.Upstream{a},
			paused:   []ident.UpstreamID{"a"},
			shortest: time.Second,
		},
		"restarted": {
			apply: func(p *fleet.Pauses) { p.Add(a, 3*time.Second) },
			asked: []fleet.Upstream{upstream("a", 2)},
		},
		"restarted, and asks again": {
			apply: func(p *fleet.Pauses) {
				p.Add(a, 3*time.Second)
				p.Add(upstream("a", 2), time.Second)
			},
			asked:    []fleet.Upstream{upstream("a", 2)},
			paused:   []ident.UpstreamID{"a"},
			shortest: time.Second,
		},
		"no upstreams": {apply: func(p *fleet.Pauses) { p.Add(a, 3*time.Second) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			p := fleet.NewPauses(func() time.Time { return now }, rand.Float64)
			test.apply(p)
			now = start.Add(test.at)
			paused, shortest := p.Paused(test.asked)
			c.Check(paused, qt.DeepEquals, test.paused)
			c.Check(shortest, qt.Equals, test.shortest)
		})
	}
}
