package coordinator

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
)

const (
	// shareInterval is how often the gauges of organisations are set during a shortage.
	shareInterval = time.Second
	// shareLogInterval is the time between two log lines about the same shortage.
	shareLogInterval = 5 * time.Second
)

// weight returns the weight of an organisation in the present table. It is 0, so that shares
// have no effect, in deployments without the load that they are for: upstreams that share
// their machines with others, or objectives that differ widely.
func (c *Coordinator) weight(organisation ident.OrganisationID) share.Weight {
	if c.table == nil || !c.scheduler.SlackAware() && !c.scheduler.Paced() {
		return 0
	}
	return share.Weight(c.table.Weight(organisation))
}

// shareReports reports refusals and shortages to the log and the metrics.
type shareReports struct {
	meter    *meter.Meter
	log      zerolog.Logger
	next     time.Time                       // when to report again
	logged   map[ident.ServiceName]time.Time // last log line about each service that is short of capacity
	position map[ident.ServiceName]int       // highest position of which gauges are set
}

func newShareReports(m *meter.Meter, log zerolog.Logger) *shareReports {
	return &shareReports{
		meter:    m,
		log:      log,
		logged:   make(map[ident.ServiceName]time.Time),
		position: make(map[ident.ServiceName]int),
	}
}

// countRefusal counts a job that was not accepted, by reason.
func (r *shareReports) countRefusal(err error) {
	var overload *batch.Overload
	switch {
	case errors.As(err, &overload) && overload.Usage.Limited():
		r.meter.StagesRefused(meter.OverShare)
	case errors.Is(err, batch.ErrOverload):
		r.meter.StagesRefused(meter.Overload)
	case errors.Is(err, batch.ErrNoUpstream):
		r.meter.StagesRefused(meter.NoUpstream)
	}
}

// report reports the present shortages if it is time to, and returns the time until the
// next report; this is long if there is no shortage.
func (r *shareReports) report(now time.Time, scheduler *batch.Scheduler) time.Duration {
	if now.Before(r.next) {
		return r.wait(now)
	}
	r.next = now.Add(shareInterval)
	short := make(map[ident.ServiceName]bool)
	for _, shortage := range scheduler.Shortages(now) {
		short[shortage.Service] = true
		r.setGauges(shortage.Service, shortage.Largest)
		if last, ok := r.logged[shortage.Service]; !ok || now.Sub(last) >= shareLogInterval {
			r.logged[shortage.Service] = now
			r.log.Info().
				Str("service", string(shortage.Service)).
				Dur("backlog", shortage.Backlog).
				Strs("largest", describe(shortage.Largest)).
				Msg("stage: work is refused, organisations are limited to shares while the backlog is long")
		}
	}
	for service := range r.logged {
		if !short[service] {
			delete(r.logged, service)
			r.setGauges(service, nil)
			r.log.Info().Str("service", string(service)).Msg("stage: hardly any work is refused, organisations are not limited")
		}
	}
	return r.wait(now)
}

// wait returns the time until the next report.
func (r *shareReports) wait(now time.Time) time.Duration {
	if len(r.logged) == 0 {
		return time.Hour
	}
	return max(time.Millisecond, r.next.Sub(now))
}

// setGauges sets the gauges of a service, and resets those of positions that are no longer
// taken.
func (r *shareReports) setGauges(service ident.ServiceName, largest []share.Standing) {
	for i, standing := range largest {
		r.meter.Organisation(service, i+1, float64(standing.Usage), float64(standing.Share))
	}
	for position := len(largest) + 1; position <= r.position[service]; position++ {
		r.meter.Organisation(service, position, 0, 0)
	}
	r.position[service] = len(largest)
}

// describe returns the usage and the share of organisations, in upstream seconds per
// second. An organisation that offers less than its share has none.
func describe(largest []share.Standing) []string {
	var list []string
	for _, standing := range largest {
		text := fmt.Sprintf("%s uses %.2f", standing.Organisation, standing.Usage)
		if standing.Share > 0 {
			text += fmt.Sprintf(" of %.2f", standing.Share)
		}
		list = append(list, text)
	}
	return list
}
