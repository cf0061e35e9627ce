package loadreport

import "time"

const (
	// runningShare is the part of a call in progress that is expected to be left, since a
	// report does not state when the call has started.
	runningShare = 0.5
	// maxWait bounds the time for which an upstream is taken to be busy by a report alone,
	// so that a false one does not exclude an upstream for long. It is longer than a call
	// and two queued ones take at stage services.
	maxWait = 1500 * time.Millisecond
)

// occupancy is what is known of the calls of other hosts at an upstream.
type occupancy struct {
	busy     time.Time // when the upstream is expected to be free
	excludes bool      // reports in responses to calls do not include the call itself
}

// observe estimates when the upstream is free for a call of this host. own is the number of
// calls of this host in progress, without the one that the response belongs to; callTime
// is the usual duration of a call.
func (o *occupancy) observe(report Report, own int, limits Limits, callTime time.Duration) {
	others := report.Load.Running + report.Load.Waiting - own
	if report.Source == Completed {
		if report.Load.Running == 0 {
			o.excludes = true
		}
		if !o.excludes {
			others--
		}
	}
	free := limits.Slots - own
	if others <= 0 || others < free {
		o.busy = report.At
		return
	}
	calls := runningShare + float64(others-max(free, 0))
	wait := time.Duration(calls / float64(max(limits.Slots, 1)) * float64(callTime))
	o.busy = report.At.Add(min(wait, maxWait))
}
