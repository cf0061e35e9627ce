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
	classes map[Class]*counter
}

// Accounts counts the usage of one service by organisation.
type Accounts struct {
	accounts map[ident.OrganisationID]*account
	levels   map[Class]Cost // shares per weight as seen by each class, computed when needed
	updated  time.Time      // when the counters were decayed and the levels dropped
}

// New returns accounts without usage.
func New() *Accounts {
	return &Accounts{
		accounts: make(map[ident.OrganisationID]*account),
		levels:   make(map[Class]Cost),
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
			classes: make(map[Class]*counter),
		}
		a.accounts[work.Organisation] = entry
	}
	entry.weight = work.Weight
	entry.add(work.Cost, admitted)
	part, ok := entry.classes[work.Class.counted()]
	if !ok {
		part = &counter{}
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
	if !ok {
		return 0
	}
	class := work.Class.counted()
	share := a.level(class) * Cost(entry.weight)
	if entry.demand(class) <= share || !Ratio(entry.admitted/share).Limited() {
		return 0
	}
	part, ok := entry.classes[class]
	if !ok {
		return 0
	}
	return min(Ratio(part.admitted/entry.classLevel(class, share)), highestRatio)
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
	level := a.level(maxClass)
	perSecond := Cost(math.Ln2 / halfLife.Seconds())
	standings := make([]Standing, 0, len(a.accounts))
	for id, entry := range a.accounts {
		standing := Standing{
			Organisation: id,
			Usage:        entry.admitted * perSecond,
		}
		if share := level * Cost(entry.weight); entry.offered > share {
			standing.Share = share * perSecond
		}
		standings = append(standings, standing)
	}
	slices.SortFunc(standings, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.Usage, a.Usage), cmp.Compare(a.Organisation, b.Organisation))
	})
	return standings[:min(n, len(standings))]
}

// update decays the counters and drops the levels, unless this was done just before.
func (a *Accounts) update(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed < levelInterval {
		return
	}
	a.updated = now
	clear(a.levels)
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

// level returns the share per weight of all organisations as seen by a class. It is
// infinite if shares do not apply to the class.
func (a *Accounts) level(class Class) Cost {
	level, ok := a.levels[class]
	if !ok {
		level = a.divide(class)
		a.levels[class] = level
	}
	return level
}

// divide computes the level as seen by a class.
func (a *Accounts) divide(class Class) Cost {
	var sum counter
	demands := make([]demand, 0, len(a.accounts))
	for _, entry := range a.accounts {
		offered := entry.demand(class)
		sum.offered += offered
		sum.admitted += entry.admitted
		demands = append(demands, demand{
			offered: offered,
			weight:  entry.weight,
		})
	}
	if !sum.unmet() {
		return infinite
	}
	return fairLevel(demands, sum.admitted)
}

// demand returns what an organisation demands of the capacity as seen by a class: what it
// offers of this class and of more urgent ones, and what is admitted of less urgent ones.
// Less urgent work that was refused does not compete with the class. If it counted, a
// shortage for patient work alone would limit urgent work.
func (e *account) demand(class Class) Cost {
	sum := Cost(0)
	for kind, part := range e.classes {
		sum += part.demand(kind, class)
	}
	return sum
}

// demand returns the part of a counter of one class that another one sees.
func (c *counter) demand(kind, seenBy Class) Cost {
	if kind > seenBy {
		return c.admitted
	}
	return c.offered
}

// classLevel divides the share of an organisation among its classes, as seen by one of
// them.
func (e *account) classLevel(class Class, share Cost) Cost {
	demands := make([]demand, 0, len(e.classes))
	for kind, part := range e.classes {
		demands = append(demands, demand{
			offered: part.demand(kind, class),
			weight:  1,
		})
	}
	return fairLevel(demands, share)
}
