package loadreport

import "time"

// Record holds the reports of one incarnation of an upstream, and the durations of its
// calls. New returns one without any.
type Record struct {
	latest    time.Time // time of the latest report
	occupancy occupancy
	pace      pace
}

// New returns a record without reports, of an upstream with the normal pace.
func New() *Record {
	return &Record{
		pace: pace{
			learned: 1,
			usual:   1,
			gain:    initialGain,
		},
	}
}

// Usage describes the use of an upstream by this host when a report arrives.
type Usage struct {
	Own      int           // calls in progress, without the one that the response belongs to
	CallTime time.Duration // usual duration of a call
}

// Observe records a report and returns the verdict on it.
func (r *Record) Observe(report Report, usage Usage, limits Limits) Verdict {
	if report.At.Before(r.latest) {
		return Outdated
	}
	r.latest = report.At
	load, verdict := check(report, limits)
	report.Load = load
	// A call of this host that starts during a health check may or may not be among the
	// reported ones.
	counts := report.Source != Release && (report.Source != Health || usage.Own == 0)
	if counts && verdict != Contradictory {
		r.occupancy.observe(report, usage.Own, limits, usage.CallTime)
	}
	if load.Pace != 0 {
		r.pace.observe(load.Pace, report.At)
	}
	return verdict
}

// Forecast returns the expected duration of a call that starts now. Without a reported pace
// it depends only on the durations of earlier calls.
func (r *Record) Forecast(now time.Time) Forecast {
	return r.pace.forecast(now)
}

// Learn corrects the estimates by the duration of a call, as a multiple of the normal one.
// The forecast is the one at the start of the call. The report in the response is observed
// before, since it describes the end of the call.
func (r *Record) Learn(took float64, forecast Forecast) {
	r.pace.learn(took, forecast)
}

// FreeAt returns when the calls of other hosts that the latest report has counted are
// expected to leave a slot free; it is zero if no report has counted any.
func (r *Record) FreeAt() time.Time {
	return r.occupancy.busy
}
