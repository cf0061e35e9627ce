package organisation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	usageDecay = 10 * time.Second // time constant of the rates
	// countersMax bounds the organisations whose rates are counted. It is larger
	// than the number sent to peers so that the largest displace the others.
	countersMax = 64
)

// Rate is what one organisation uses, in cost a second.
type Rate struct {
	Organisation ident.OrganisationID
	Rate         float64
}

// Usage is what a host has admitted lately, in cost a second.
type Usage struct {
	Total float64 // of all organisations
	Top   []Rate  // the largest, in descending order
}

// usage counts admitted cost for the largest organisations in bounded memory, by
// the space-saving algorithm over exponentially decaying counts.
type usage struct {
	counters map[ident.OrganisationID]*counter
	total    float64
	at       time.Time // to which the counts are decayed
}

type counter struct {
	cost  float64
	error float64 // part of cost that may belong to displaced organisations
}

func newUsage() *usage {
	return &usage{
		counters: make(map[ident.OrganisationID]*counter),
	}
}

func (u *usage) add(now time.Time, organisation ident.OrganisationID, cost float64) {
	// Decay in steps keeps the exponential off the path of most requests.
	if now.Sub(u.at) > usageDecay/100 {
		u.decay(now)
	}
	u.total += cost
	c := u.counters[organisation]
	if c == nil {
		c = &counter{}
		if len(u.counters) >= countersMax {
			c.cost = u.displace()
			c.error = c.cost
		}
		u.counters[organisation] = c
	}
	c.cost += cost
}

// displace removes the smallest counter and returns its count.
func (u *usage) displace() float64 {
	var smallest ident.OrganisationID
	cost := math.Inf(1)
	for organisation, c := range u.counters {
		if c.cost < cost || c.cost == cost && organisation < smallest {
			smallest = organisation
			cost = c.cost
		}
	}
	delete(u.counters, smallest)
	return cost
}

func (u *usage) decay(now time.Time) {
	factor := math.Exp(-now.Sub(u.at).Seconds() / usageDecay.Seconds())
	u.at = now
	u.total *= factor
	for organisation, c := range u.counters {
		c.cost *= factor
		c.error *= factor
		if c.cost < 0.01 {
			delete(u.counters, organisation)
		}
	}
}

// top returns the rates of at most n organisations. A rate excludes what may
// belong to others, so that no organisation is held to account for them.
func (u *usage) top(now time.Time, n int) Usage {
	u.decay(now)
	rates := make([]Rate, 0, len(u.counters))
	for organisation, c := range u.counters {
		rates = append(rates, Rate{
			Organisation: organisation,
			Rate:         (c.cost - c.error) / usageDecay.Seconds(),
		})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Organisation, b.Organisation))
	})
	return Usage{
		Total: u.total / usageDecay.Seconds(),
		Top:   slices.Clip(rates[:min(n, len(rates))]),
	}
}
