package loadreport

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Source is the kind of response that carried a report.
type Source uint8

// The sources of reports.
const (
	// Completed is the response to a call that has run. Its running requests may or may
	// not include that call.
	Completed Source = iota + 1
	// Refused is the response to a call that did not run.
	Refused
	// Health is the response to a health check.
	Health
	// Release is the response to a release of results. The upstream may run calls of this
	// host at the time, so only its pace is used.
	Release
)

// String returns the source in lower case.
func (s Source) String() string {
	switch s {
	case Completed:
		return "completed"
	case Refused:
		return "refused"
	case Health:
		return "health"
	case Release:
		return "release"
	default:
		return "unknown"
	}
}

// Report is a load report of an upstream.
type Report struct {
	Upstream fleet.Upstream
	Load     wire.Load
	Source   Source
	At       time.Time // earliest time at which the upstream can have made the report
}

// Verdict says what has become of a report.
type Verdict string

// The verdicts on reports.
const (
	Used          Verdict = "used"
	Bounded       Verdict = "bounded"       // a figure was implausible and has been cut
	Contradictory Verdict = "contradictory" // its counts contradict each other or the response, and were not used
	Outdated      Verdict = "outdated"      // a later report is known, or the upstream has restarted since
)

// Limits are the numbers of calls that an upstream runs and queues according to the
// routing table.
type Limits struct {
	Slots int
	Queue int
}

const (
	// The pace that is used is between minPace and maxPace. A call that takes longer is
	// lost by its time-out.
	minPace = 0.25
	maxPace = 8
)

// check returns the report with its figures cut to plausible ones, and the verdict on it.
func check(report Report, limits Limits) (wire.Load, Verdict) {
	load, verdict := report.Load, Used
	cut := func(n *int, most int) {
		if *n > most {
			*n, verdict = most, Bounded
		}
	}
	cut(&load.Running, limits.Slots)
	cut(&load.Waiting, limits.Queue)
	if load.Pace != 0 {
		plausible := min(max(load.Pace, minPace), maxPace)
		if plausible != load.Pace {
			load.Pace, verdict = plausible, Bounded
		}
	}
	// Requests that have just arrived may still wait while a slot is free, but not a
	// refused call while the queue has room.
	idle := load.Running == 0 && load.Waiting > 0
	room := report.Source == Refused && load.Running+load.Waiting < limits.Slots+limits.Queue
	if idle || room || report.Load.Slots != limits.Slots {
		verdict = Contradictory
	}
	return load, verdict
}
