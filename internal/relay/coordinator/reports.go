package coordinator

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
)

// newReport returns the load report of a response, or nil if it has none, comes from another
// upstream, or states no pace: only upstreams that share their machines with others state
// one, and the reports of others are as good as what is learned from their calls. The source
// is that of a response to a request that has run.
func newReport(from fleet.Upstream, response *upstreamhttp.Response, source loadreport.Source, at time.Time) *loadreport.Report {
	reply := response.Reply
	if reply.Load == nil || reply.Load.Pace == 0 || reply.Upstream != "" && reply.Upstream != from.ID {
		return nil
	}
	if source == loadreport.Completed && reply.NotRun {
		source = loadreport.Refused
	}
	return &loadreport.Report{
		Upstream: from,
		Load:     *reply.Load,
		Source:   source,
		At:       at,
	}
}

// endCall passes the outcome of a call and its load report to the scheduler.
func (c *Coordinator) endCall(end callEnd) {
	now := c.config.Now()
	if end.report != nil {
		c.observe(now, *end.report)
		c.sawRefusal = c.sawRefusal || end.report.Source == loadreport.Refused
	}
	if end.id != 0 {
		c.scheduler.FinishCall(now, end.id, end.outcome)
	}
}

// observe passes a load report to the scheduler.
func (c *Coordinator) observe(now time.Time, report loadreport.Report) {
	verdict, busy := c.scheduler.Observe(now, report)
	c.config.Meter.LoadReport(report.Upstream.Service, string(verdict))
	line := c.config.Log.Debug()
	if busy > 0 && report.Source != loadreport.Completed {
		line = c.config.Log.Info()
	}
	line.
		Str("upstream", string(report.Upstream.ID)).
		Stringer("source", report.Source).
		Str("verdict", string(verdict)).
		Int("running", report.Load.Running).
		Int("waiting", report.Load.Waiting).
		Int("slots", report.Load.Slots).
		Float64("pace", float64(report.Load.Pace)).
		Dur("age", now.Sub(report.At)).
		Dur("busy", busy).
		Msg("stage: load report")
}

// logForecast adds the upstream of a call, and what its expected duration is based on, to a
// log line.
func (c *Coordinator) logForecast(line *zerolog.Event, call batch.Call) *zerolog.Event {
	line = line.
		Str("upstream", string(call.Upstream.ID)).
		Dur("expected", call.Expected).
		Float64("learned", call.Forecast.Learned)
	if call.Forecast.Reported == 0 {
		return line
	}
	return line.
		Float64("pace", float64(call.Forecast.Reported)).
		Dur("pace_age", call.Forecast.Age).
		Float64("pace_weight", call.Forecast.Weight)
}
