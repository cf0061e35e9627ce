package batch

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
)

// foreignFill is the part of a full call that the calls of other hosts are expected to
// carry: reports count calls, not items.
const foreignFill = 0.5

// Observe records a load report of an upstream. The report in the response to a call has to
// be recorded before the outcome of the call. It returns the verdict on the report, and how
// long the upstream is expected to be busy with calls of other hosts.
func (s *Scheduler) Observe(now time.Time, report loadreport.Report) (loadreport.Verdict, time.Duration) {
	w, ok := s.workers[report.Upstream.ID]
	if !ok || w.upstream.Started != report.Upstream.Started || w.upstream.Address != report.Upstream.Address {
		return loadreport.Outdated, 0
	}
	usage := loadreport.Usage{
		Own:      len(w.calls),
		CallTime: w.foreignCallTime(),
	}
	if report.Source == loadreport.Completed || report.Source == loadreport.Refused {
		usage.Own = max(0, usage.Own-1)
	}
	if report.Source == loadreport.Health && report.Load.Running+report.Load.Waiting > usage.Own {
		w.markDelayed()
	}
	s.paced = s.paced || report.Load.Pace != 0
	verdict := w.reports.Observe(report, usage, loadreport.Limits{
		Slots: w.pool.limits.Slots,
		Queue: w.pool.limits.Queue,
	})
	free := w.reports.FreeAt()
	if report.Source != loadreport.Refused && free.After(w.backoffUntil) {
		w.backoffUntil = free
	}
	return verdict, max(0, free.Sub(now))
}

// markDelayed records that the calls in progress may wait at the upstream for calls of other
// hosts, so that their durations do not tell how long work takes there.
func (w *worker) markDelayed() {
	for _, c := range w.calls {
		c.delayed = true
	}
}

// Paced reports whether an upstream has reported its pace.
func (s *Scheduler) Paced() bool {
	return s.paced
}

// refresh updates the forecasts of all workers. Without reported paces they change only with
// the durations of calls.
func (s *Scheduler) refresh(now time.Time) {
	if !s.paced {
		return
	}
	for _, p := range s.order {
		for _, w := range p.workers {
			w.refresh(now)
		}
	}
}

// foreignCallTime returns the expected duration of a call of another host.
func (w *worker) foreignCallTime() time.Duration {
	limits := w.pool.limits
	work := time.Duration(foreignFill * float64(limits.Items) * float64(limits.ItemTime))
	return time.Duration(float64(limits.CallTime+work) * w.slowdown())
}
