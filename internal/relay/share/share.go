package share

import (
	"math"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// halfLife is the time in which the counters decay by half. It is longer than the time
	// after which refused callers retry, so that retries find the usage unchanged, and
	// short compared with waves of demand of about ten seconds.
	halfLife = 2 * time.Second
	// levelInterval is how long a computed level is used. Counters hardly decay meanwhile.
	levelInterval = 50 * time.Millisecond
	// minUnmet is the share of the offered cost that must have been refused for the shares
	// to apply. Less is refused in bursts that a service with enough capacity absorbs.
	minUnmet = 0.02
	// The limit of the delay falls from its full value at minRatio to 0 at maxRatio. It is half
	// of it at a ratio of 1, around which the usage stays of organisations that offer more
	// than their shares; so their work leaves half of the allowed delay to others.
	minRatio Ratio = 0.85
	maxRatio Ratio = 1.15
	// highestRatio is the highest ratio that is told from higher ones. It bounds the time
	// for which callers are asked to wait to a few seconds.
	highestRatio Ratio = 4
	// minCost is the cost, in seconds, below which a decayed counter is dropped.
	minCost Cost = 1e-4
	// Classes outside of minClass to maxClass are counted as these, which bounds the
	// number of counters.
	minClass Class = -8
	maxClass Class = 8
)

// Cost is upstream time in seconds.
type Cost float64

// Weight is the weight of an organisation relative to others. The shares do not apply to
// work with a weight of 0.
type Weight float64

// Class is a class of urgency; the work of one class is counted together.
type Class int

// counted returns the class as which work is counted.
func (c Class) counted() Class {
	return min(max(c, minClass), maxClass)
}

// Ratio is the usage of an organisation, or of one of its classes, divided by its share.
// It is 0 while the shares do not apply.
type Ratio float64

// Limited reports whether the delay is limited because of the usage.
func (r Ratio) Limited() bool {
	return r > minRatio
}

// Wait returns the time in which a usage decays so far that the delay is not limited
// because of it.
func (r Ratio) Wait() time.Duration {
	if !r.Limited() {
		return 0
	}
	return time.Duration(math.Log2(float64(r/minRatio)) * float64(halfLife))
}

// Limit returns the highest delay of work at a ratio while the service is short of
// capacity, where allowed is the highest delay of work far below the share.
func Limit(r Ratio, allowed time.Duration) time.Duration {
	part := (maxRatio - r) / (maxRatio - minRatio)
	return time.Duration(float64(min(max(part, 0), 1)) * float64(allowed))
}

// Work is work of an organisation for a service.
type Work struct {
	Organisation ident.OrganisationID
	Weight       Weight
	Class        Class
	Cost         Cost
}

// Standing is the usage of an organisation.
type Standing struct {
	Organisation ident.OrganisationID
	Usage        Cost // admitted, per second
	Share        Cost // per second; 0 if the organisation offers less than its share
}
