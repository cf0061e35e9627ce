package upstream

import "time"

// Load is a load report of an upstream; it may be out of date when received.
type Load struct {
	Running int       // requests in progress
	Queued  int       // requests waiting
	At      time.Time // when the upstream made the report
}
