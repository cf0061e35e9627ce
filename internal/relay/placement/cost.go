package placement

import (
	"math"
	"slices"
	"time"
)

// The cost of an upstream is counted in prompt tokens that it reads.
const (
	// flightCost is the cost of a request in flight, whose output tokens delay
	// those of the other requests.
	flightCost = 300.0
	// interference is the fraction of a prompt's tokens that each request in
	// flight has to wait for.
	interference = 0.05
	// rereadCost is the additional cost of a token that another upstream has read
	// already.
	rereadCost = 2.0
	// fetchCost is the cost of a token that is fetched from another upstream which
	// has read it.
	fetchCost = 2.0
	// crossDomainCost is the cost of an upstream in another failure domain,
	// crossDomainByteCost that of each byte of results that it reads from the
	// preferred domain.
	crossDomainCost     = 1.5 * flightCost
	crossDomainByteCost = 1e-3
	// backoffCost is the cost of an upstream in backoff. It exceeds the tokens of
	// any number of requests, so the upstream is chosen only as a last resort.
	// backoffCostPerMs is added for each millisecond until the backoff ends.
	backoffCost      = 1e9
	backoffCostPerMs = 1e4
)

const (
	// paceWeight is the weight of a new pace in the moving average.
	paceWeight = 0.3
	// paceDecayTime is the time after which the effect of a pace has decayed to
	// 1/e, so that an upstream that was slow is used again.
	paceDecayTime = 10 * time.Second
	// minSlowness and maxSlowness bound the factor by which the pace of an upstream
	// changes its cost.
	minSlowness = 0.7
	maxSlowness = 20
)

// slowness returns the factor by which an upstream is slower than the median.
func (s *upstreamState) slowness(now time.Time, medianPace float64) float64 {
	if s.pace == 0 || medianPace == 0 {
		return 1
	}
	ratio := min(max(float64(s.pace)/medianPace, minSlowness), maxSlowness)
	return 1 + (ratio-1)*math.Exp(-float64(now.Sub(s.measuredAt))/float64(paceDecayTime))
}

// medianPace returns the median pace of the upstreams, or 0 if none is known.
func (p *pool) medianPace(now time.Time) float64 {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianPaceAge {
		return p.median
	}
	paces := p.paceBuffer[:0]
	for _, s := range p.states {
		if s.pace > 0 {
			paces = append(paces, float64(s.pace))
		}
	}
	slices.Sort(paces)
	p.paceBuffer, p.median = paces, 0
	if len(paces) > 0 {
		p.median, p.medianAt = paces[(len(paces)-1)/2], now
	}
	return p.median
}

// cost returns the cost of a request for which the upstream has to read some fresh
// tokens: it waits for the prompts before it, and the requests in flight wait for its
// own prompt.
func (s *upstreamState) cost(now time.Time, medianPace float64, fresh int) float64 {
	cost := float64(s.unread+fresh) + flightCost + float64(s.inFlight)*(flightCost+interference*float64(fresh))
	cost *= s.slowness(now, medianPace)
	if now.Before(s.backoffUntil) {
		cost += backoffCost + backoffCostPerMs*float64(s.backoffUntil.Sub(now).Milliseconds())
	}
	return cost
}
