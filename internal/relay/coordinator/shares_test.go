package coordinator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Guards against a series for each organisation, against refusals that are counted with
// another reason, and against gauges and a log that still show a shortage after its end.
func TestShareReports(t *testing.T) {
	c := qt.New(t)
	var log, metrics bytes.Buffer
	reports := newShareReports(meter.New(), zerolog.New(&log))
	scheduler := batch.New(batch.DefaultPolicy())
	scheduler.Configure(map[ident.ServiceName]*routes.Service{
		"stage": {Batch: &routes.Batch{Slots: 1, Items: 8, CallTime: 200 * time.Millisecond}},
	}, func(name ident.ServiceName) []fleet.Upstream {
		return []fleet.Upstream{{ID: "u", Service: name}}
	})
	now := time.Unix(1_700_000_000, 0)
	for i := range 200 {
		_ = scheduler.Submit(now, batch.Job{
			ID:           batch.JobID(i),
			Stages:       []batch.Stage{{Service: "stage", Pieces: 1}},
			Objective:    now.Add(2 * time.Second),
			Deadline:     now.Add(4 * time.Second),
			Organisation: ident.OrganisationID(fmt.Sprint(i % 10)),
			Weight:       1,
		})
	}
	c.Check(reports.report(now, scheduler), qt.Equals, shareInterval)
	c.Check(log.String(), qt.Contains, "organisations are limited")
	reports.countRefusal(&batch.Overload{Usage: 1.2})
	reports.meter.Write(&metrics)
	c.Check(metrics.String(), qt.Contains, `relay_stages_refused_total{reason="share"} 1`)
	c.Check(metrics.String(), qt.Contains, `relay_organisation_usage{service="stage",position="4"} 0.`)
	c.Check(metrics.String(), qt.Not(qt.Contains), `position="5"`)

	metrics.Reset()
	c.Check(reports.report(now.Add(time.Minute), scheduler) > time.Minute, qt.IsTrue)
	c.Check(log.String(), qt.Contains, "organisations are not limited")
	reports.meter.Write(&metrics)
	c.Check(metrics.String(), qt.Contains, `relay_organisation_usage{service="stage",position="4"} 0`+"\n")
}
