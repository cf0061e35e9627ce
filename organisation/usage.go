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
	// maxCounters limits the number of organisations with a counter. It is larger
	// than the number sent to peers, so that the largest organisations reliably
	// displace the others.
	maxCounters = 64
)

// Rate is the admission rate of one organisation, in cost per second.
type Rate struct {
	Organisation ident.OrganisationID
	Rate         float64
}

// Usage holds the recent admission rates of a host, in cost per second.
type Usage struct {
	Total float64 // of all organisations
	Top   []Rate  // the organisations with the highest rates, in descending order
}

// usage counts the admitted cost of the organisations with the highest rates in
// bounded memory, by the space-saving algorithm with exponentially decaying counts.
type usage struct {
	counters  map[ident.OrganisationID]*counter
	total     float64
	decayedAt time.Time // time of the last decay of the counts
}

type counter struct {
	cost         float64
	overestimate float64 // upper bound of the part of cost that belongs to evicted organisations
}

func newUsage() *usage {
	return &usage{
		counters: make(map[ident.OrganisationID]*counter),
	}
}

func (u *usage) add(now time.Time, organisation ident.OrganisationID, cost float64) {
	// Decaying in steps saves most requests the exponential function.
	if now.Sub(u.decayedAt) > usageDecay/100 {
		u.decay(now)
	}
	u.total += cost
	c := u.counters[organisation]
	if c == nil {
		c = &counter{}
		if len(u.counters) >= maxCounters {
			c.cost = u.evictSmallest()
			c.overestimate = c.cost
		}
		u.counters[organisation] = c
	}
	c.cost += cost
}

// evictSmallest removes the counter with the lowest cost and returns that cost.
func (u *usage) evictSmallest() float64 {
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
	factor := math.Exp(-now.Sub(u.decayedAt).Seconds() / usageDecay.Seconds())
	u.decayedAt = now
	u.total *= factor
	for organisation, c := range u.counters {
		c.cost *= factor
		c.overestimate *= factor
		if c.cost < 0.01 {
			delete(u.counters, organisation)
		}
	}
}

// top returns the highest rates, of at most n organisations. A rate excludes cost
// that may belong to evicted organisations, so that no organisation is charged
// for others.
func (u *usage) top(now time.Time, n int) Usage {
	u.decay(now)
	rates := make([]Rate, 0, len(u.counters))
	for organisation, c := range u.counters {
		rates = append(rates, Rate{
			Organisation: organisation,
			Rate:         (c.cost - c.overestimate) / usageDecay.Seconds(),
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
