package upstream

import "time"

// Load is what an upstream reported about itself; it lags behind its true state.
type Load struct {
	Running int       // requests in progress
	Queued  int       // requests waiting
	At      time.Time // when the upstream made the report
}
