package batch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
)

const (
	replayUpstreams = 8
	replayCapacity  = replayUpstreams * 8 / 0.36 // pieces per second in full calls
	replayWarmUp    = 8                          // seconds that are not counted
	replaySeconds   = 38
	overloaded      = 1 / 0.6 // demand of which 40% exceed the capacity
)

// requestClass is the demand of an organisation for one class of requests.
type requestClass struct {
	organisation ident.OrganisationID
	weight       share.Weight
	rank         batch.Rank
	rate         float64 // pieces per second
	retries      int     // immediate repetitions of a refused request
	idle         [2]int  // seconds from and until which there are no requests

	next            time.Time
	random          *rand.Rand
	offered, served [replaySeconds]float64 // pieces, by second
}

// between returns the rate of served pieces between two seconds, and the part of the
// demand that it is.
func (r *requestClass) between(from, until int) (rate, part float64) {
	offered, served := 0.0, 0.0
	for i := from; i < until; i++ {
		offered += r.offered[i]
		served += r.served[i]
	}
	return served / float64(until-from), served / offered
}

// zipf returns the demand of 16 organisations, of which the largest has a quarter, as a
// multiple of the capacity.
func zipf(load float64, weight share.Weight) []*requestClass {
	var classes []*requestClass
	for i := range 16 {
		classes = append(classes, &requestClass{
			organisation: ident.OrganisationID(fmt.Sprintf("o%d", i+1)),
			weight:       weight,
			rate:         load * replayCapacity * 0.253 * math.Pow(float64(i+1), -0.87),
		})
	}
	return classes
}

// shareReplay plays the demand.
func shareReplay(classes []*requestClass) {
	h := newHarness(map[ident.ServiceName]int{"a": replayUpstreams}, 1e9)
	for i, r := range classes {
		r.next = start
		r.random = rand.New(rand.NewPCG(1, uint64(i))) // so that its demand does not depend on others
	}
	for {
		r := slices.MinFunc(classes, func(a, b *requestClass) int { return a.next.Compare(b.next) })
		second := int(r.next.Sub(start).Seconds())
		if second >= replaySeconds {
			return
		}
		h.advance(r.next)
		r.next = r.next.Add(time.Duration(r.random.ExpFloat64() * 2 / r.rate * float64(time.Second)))
		pieces := 1 + r.random.IntN(3)
		if second >= r.idle[0] && second < r.idle[1] {
			continue
		}
		r.offered[second] += float64(pieces)
		for range r.retries + 1 {
			j := job("a", pieces, h.now.Add(2*time.Second).Sub(start))
			j.Organisation, j.Weight, j.Rank = r.organisation, r.weight, r.rank
			_, err := h.submit(j)
			h.plan()
			if err == nil {
				r.served[second] += float64(pieces)
				break
			}
		}
	}
}

// Guards against large organisations that crowd out small ones, of which the largest has
// a quarter of the demand while the capacity is short by 40%, and against capacity that is
// left idle because of the shares.
func TestReplayShares(t *testing.T) {
	t.Parallel()
	const level = 13.9 // pieces per second; those who demand less take 94.5 of 177.8
	c := qt.New(t)
	before := zipf(overloaded, 0)
	shareReplay(before)
	_, smallest := before[15].between(replayWarmUp, replaySeconds)
	c.Check(smallest < 0.75, qt.IsTrue, qt.Commentf("without shares, %.2f of the smallest demand is served", smallest))

	classes := zipf(overloaded, 1)
	shareReplay(classes)
	total := 0.0
	for _, r := range classes {
		rate, part := r.between(replayWarmUp, replaySeconds)
		comment := qt.Commentf("%s: demand %.1f/s, served %.1f/s (%.3f)", r.organisation, r.rate, rate, part)
		c.Logf("%s", comment)
		switch {
		case r.rate < 0.6*level:
			c.Check(part > 0.97, qt.IsTrue, comment)
		case r.rate < level:
			c.Check(part > 0.9, qt.IsTrue, comment)
		default:
			c.Check(rate > 0.85*level && rate < 1.1*level, qt.IsTrue, comment)
		}
		total += rate
	}
	c.Check(total > 0.97*replayCapacity, qt.IsTrue, qt.Commentf("%.1f served of %.1f", total, replayCapacity))
}

// Guards against retries that gain capacity for the organisation of the caller, or cost
// others theirs.
func TestReplayRetries(t *testing.T) {
	for _, index := range []int{0, 4} {
		t.Run(fmt.Sprintf("organisation %d", index+1), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			patient, retrying := zipf(overloaded, 1), zipf(overloaded, 1)
			retrying[index].retries = 3
			shareReplay(patient)
			shareReplay(retrying)
			without, _ := patient[index].between(replayWarmUp, replaySeconds)
			with, _ := retrying[index].between(replayWarmUp, replaySeconds)
			c.Check(with < 1.05*without, qt.IsTrue, qt.Commentf("%.1f/s with retries, %.1f/s without", with, without))
			_, smallest := retrying[15].between(replayWarmUp, replaySeconds)
			c.Check(smallest > 0.97, qt.IsTrue, qt.Commentf("%.3f", smallest))
		})
	}
}

// Guards against shares of idle organisations that nobody may use, and against an
// organisation that does not get its share as soon as it returns.
func TestReplayIdle(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	classes := zipf(overloaded, 1)
	for _, r := range classes[1:4] {
		r.idle = [2]int{15, 30}
	}
	shareReplay(classes)
	lent := 0.0
	for _, r := range classes {
		rate, _ := r.between(18, 30)
		lent += rate
	}
	c.Check(lent > 0.95*replayCapacity, qt.IsTrue, qt.Commentf("%.1f/s served of %.1f/s while others are idle", lent, replayCapacity))
	for _, r := range classes[1:4] {
		rate, _ := r.between(31, 33)
		c.Check(rate > 0.85*13.9, qt.IsTrue, qt.Commentf("%.1f/s served just after the return", rate))
	}
}

// Guards against an effect of the shares while the capacity suffices.
func TestReplaySufficient(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.5, 0.9} {
		without, with := zipf(load, 0), zipf(load, 1)
		shareReplay(without)
		shareReplay(with)
		for i := range with {
			qt.Check(t, with[i].served, qt.Equals, without[i].served)
		}
	}
}

// Guards against urgent requests that starve the patient ones of their organisation, and
// against shares that ignore the weights of the organisations.
func TestReplayClassesAndWeights(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	urgent := &requestClass{organisation: "o1", weight: 1, rate: replayCapacity}
	patient := &requestClass{organisation: "o1", weight: 1, rank: 2, rate: 0.05 * replayCapacity}
	heavy := &requestClass{organisation: "o2", weight: 4, rate: replayCapacity}
	shareReplay([]*requestClass{urgent, patient, heavy})
	most, _ := urgent.between(replayWarmUp, replaySeconds)
	rest, part := patient.between(replayWarmUp, replaySeconds)
	much, _ := heavy.between(replayWarmUp, replaySeconds)
	c.Check(part > 0.9, qt.IsTrue, qt.Commentf("%.3f of the patient requests", part))
	ratio := much / (most + rest)
	c.Check(ratio > 3.4 && ratio < 4.6, qt.IsTrue, qt.Commentf("%.2f times as much", ratio))
}
