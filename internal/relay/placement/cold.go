package placement

import (
	"time"
)

// ColdRate limits the requests that a chooser sends to each upstream which has just started
// and is still cold, in requests per second; 0 means no limit. Cold upstreams fail under more
// than a few requests a second, and after an outage of a failure domain all of them are cold
// at once, are idle, and would be chosen first.
type ColdRate float64

const (
	// The limit of an upstream is divided between the coordinator, which places nearly all
	// requests, and the choices of the hosts themselves, which do not know of each other. The
	// rest is for intervals that begin and end within a second.
	coordinatorColdShare = 0.5
	hostsColdShare       = 0.3
)

// CoordinatorColdRate returns the rate for the coordinator of all requests, of a limit in
// requests per second for each upstream.
func CoordinatorColdRate(limit float64) ColdRate {
	return ColdRate(coordinatorColdShare * limit)
}

// HostColdRate returns the rate for one of a number of hosts.
func HostColdRate(limit float64, hosts int) ColdRate {
	return ColdRate(hostsColdShare * limit / float64(max(1, hosts)))
}

// interval returns the time between two requests.
func (r ColdRate) interval() time.Duration {
	return time.Duration(float64(time.Second) / float64(r))
}

// coldFull reports whether a cold upstream may get no request now. The first one is allowed
// after a random part of the interval, since many hosts see an upstream start at the same
// moment.
func (c *Chooser) coldFull(now time.Time, rate ColdRate, coldUntil time.Time, s *upstreamState) bool {
	if rate <= 0 || !now.Before(coldUntil) {
		return false
	}
	if s.nextCold.IsZero() {
		s.nextCold = now.Add(time.Duration(c.random() * float64(rate.interval())))
	}
	return now.Before(s.nextCold)
}

// recordCold counts a request to a cold upstream.
func (c *Chooser) recordCold(now time.Time, rate ColdRate, coldUntil time.Time, s *upstreamState) {
	if rate > 0 && now.Before(coldUntil) {
		s.nextCold = now.Add(rate.interval())
	}
}
