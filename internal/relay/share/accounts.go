package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// counter counts decaying cost.
type counter struct {
	offered  Cost // admitted or not
	admitted Cost
}

func (c *counter) add(cost Cost, admitted bool) {
	c.offered += cost
	if admitted {
		c.admitted += cost
	}
}

// unmet reports whether enough of the offered cost was refused for shares to apply.
func (c *counter) unmet() bool {
	return c.offered-c.admitted > minUnmet*c.offered
}

func (c *counter) decay(factor Cost) {
	c.offered *= factor
	c.admitted *= factor
}

// account is the account of one organisation.
type account struct {
	counter
	weight  Weight
	share   Cost // infinite if less is offered, or if the shares do not apply
	classes map[Class]*class
}

// class is the part of an account that belongs to one class of urgency.
type class struct {
	counter
	share Cost // infinite if less is offered, or if the shares do not apply
}

// Accounts counts the usage of one service by organisation.
type Accounts struct {
	accounts map[ident.OrganisationID]*account
	updated  time.Time // when the counters were decayed and the shares computed
}

// New returns accounts without usage.
func New() *Accounts {
	return &Accounts{
		accounts: make(map[ident.OrganisationID]*account),
	}
}

// Record counts offered work, and whether it was admitted.
func (a *Accounts) Record(now time.Time, work Work, admitted bool) {
	if work.Weight <= 0 || work.Cost <= 0 {
		return
	}
	a.update(now)
	entry, ok := a.accounts[work.Organisation]
	if !ok {
		entry = &account{
			share:   infinite,
			classes: make(map[Class]*class),
		}
		a.accounts[work.Organisation] = entry
	}
	entry.weight = work.Weight
	entry.add(work.Cost, admitted)
	part, ok := entry.classes[work.Class.counted()]
	if !ok {
		part = &class{
			share: infinite,
		}
		entry.classes[work.Class.counted()] = part
	}
	part.add(work.Cost, admitted)
}

// Ratio returns the ratio of the usage of an organisation to its share, for work of one
// class. An organisation above its share has the ratio of the class, which is at most 1
// for classes that are below their part of the share.
func (a *Accounts) Ratio(now time.Time, work Work) Ratio {
	if work.Weight <= 0 {
		return 0
	}
	a.update(now)
	entry, ok := a.accounts[work.Organisation]
	if !ok || !Ratio(entry.admitted/entry.share).Limited() {
		return 0
	}
	part, ok := entry.classes[work.Class.counted()]
	if !ok {
		return 0
	}
	return min(Ratio(part.admitted/part.share), highestRatio)
}

// Unmet reports whether enough work is refused for the shares to apply.
func (a *Accounts) Unmet(now time.Time) bool {
	a.update(now)
	return a.total().unmet()
}

// Largest returns the organisations that use most of the service, at most n of them, in
// descending order.
func (a *Accounts) Largest(now time.Time, n int) []Standing {
	a.update(now)
	perSecond := Cost(math.Ln2 / halfLife.Seconds())
	standings := make([]Standing, 0, len(a.accounts))
	for id, entry := range a.accounts {
		standing := Standing{
			Organisation: id,
			Usage:        entry.admitted * perSecond,
		}
		if entry.share < infinite {
			standing.Share = entry.share * perSecond
		}
		standings = append(standings, standing)
	}
	slices.SortFunc(standings, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.Usage, a.Usage), cmp.Compare(a.Organisation, b.Organisation))
	})
	return standings[:min(n, len(standings))]
}

// update decays the counters and computes the shares, unless this was done just before.
func (a *Accounts) update(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed < levelInterval {
		return
	}
	a.updated = now
	factor := Cost(math.Exp2(-elapsed.Seconds() / halfLife.Seconds()))
	for id, entry := range a.accounts {
		entry.decay(factor)
		for kind, part := range entry.classes {
			part.decay(factor)
			if part.offered < minCost {
				delete(entry.classes, kind)
			}
		}
		if entry.offered < minCost {
			delete(a.accounts, id)
		}
	}
	a.divide()
}

// total returns the sum of the counters of all organisations.
func (a *Accounts) total() *counter {
	total := &counter{}
	for _, entry := range a.accounts {
		total.offered += entry.offered
		total.admitted += entry.admitted
	}
	return total
}

// divide computes the shares of all organisations and of their classes.
func (a *Accounts) divide() {
	total := a.total()
	level := infinite
	if total.unmet() {
		demands := make([]demand, 0, len(a.accounts))
		for _, entry := range a.accounts {
			demands = append(demands, demand{
				offered: entry.offered,
				weight:  entry.weight,
			})
		}
		level = fairLevel(demands, total.admitted)
	}
	for _, entry := range a.accounts {
		entry.divide(level * Cost(entry.weight))
	}
}

// divide sets the share of an organisation, and divides it among its classes.
func (e *account) divide(share Cost) {
	level := infinite
	if e.offered <= share {
		share = infinite
	} else {
		demands := make([]demand, 0, len(e.classes))
		for _, part := range e.classes {
			demands = append(demands, demand{
				offered: part.offered,
				weight:  1,
			})
		}
		level = fairLevel(demands, share)
	}
	e.share = share
	for _, part := range e.classes {
		part.share = level
	}
}
