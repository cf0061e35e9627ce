package placement

import (
	"math"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// The costs of an upstream are counted in tokens of prompts that it reads.
const (
	// flightCost is the cost of a request in flight, whose tokens delay those of
	// the others.
	flightCost = 300.0
	// disturbance is the part of the tokens of a prompt that each request in flight
	// has to wait for.
	disturbance = 0.05
	// againCost is the cost of a token that is read although another upstream has
	// read it.
	againCost = 2.0
	// moveCost is the cost of a token that is fetched from the upstream that has read
	// it.
	moveCost = 2.0
	// crossingCost is the cost of another failure domain, byteCost that of a byte of
	// results which are read from there.
	crossingCost = 1.5 * flightCost
	byteCost     = 1e-3
	// avoidedCost is that of an upstream that is the last resort, beyond the tokens
	// of any number of requests; waitCost is added for each millisecond until it may
	// be used again.
	avoidedCost = 1e9
	waitCost    = 1e4
)

const (
	// paceWeight is the weight of a new pace in the average.
	paceWeight = 0.3
	// paceTime is how long a pace counts: an upstream that was slow is tried again.
	paceTime = 10 * time.Second
	// leastSlowness and mostSlowness bound what the pace of an upstream does to its
	// costs.
	leastSlowness = 0.7
	mostSlowness  = 20
)

// slowness returns how much slower an upstream is than is usual.
func (r *row) slowness(now time.Time, usual float64) float64 {
	if r.pace == 0 || usual == 0 {
		return 1
	}
	ratio := min(max(float64(r.pace)/usual, leastSlowness), mostSlowness)
	return 1 + (ratio-1)*math.Exp(-float64(now.Sub(r.paced))/float64(paceTime))
}

// usual returns the median pace of upstreams, 0 if it is not known.
func (c *Chooser) usual(list []fleet.Upstream) float64 {
	var paces []float64
	for _, upstream := range list {
		if pace := c.row(upstream).pace; pace > 0 {
			paces = append(paces, float64(pace))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// cost returns what a request with a prompt costs at the upstream: it waits for the
// prompts before it, and the requests in flight wait for its own.
func (r *row) cost(now time.Time, usual float64, fresh int) float64 {
	cost := float64(r.unread+fresh) + flightCost + float64(r.flight)*(flightCost+disturbance*float64(fresh))
	cost *= r.slowness(now, usual)
	if now.Before(r.resume) {
		cost += avoidedCost + waitCost*float64(r.resume.Sub(now).Milliseconds())
	}
	return cost
}
