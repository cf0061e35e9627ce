package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// Guards against requests that count as in flight after their end: those that were
// reported, and those whose hosts have ended without sending a report.
func TestPlacements(t *testing.T) {
	directory := fleet.New()
	for _, id := range []ident.UpstreamID{"a", "b"} {
		directory.Put(fleet.Registration{
			Upstream: fleet.Upstream{
				ID:      id,
				Service: "s",
				State:   fleet.Ready,
			},
			Version: 1,
		})
	}
	snapshot := directory.Snapshot()
	start := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		report Report
		after  time.Duration
		again  bool // whether the next request goes to the same upstream
	}{
		"in flight":                {},
		"reported":                 {report: Report{Request: "r", Ending: placement.Served}, again: true},
		"reported as failed":       {report: Report{Request: "r", Ending: placement.Failed}},
		"another request reported": {report: Report{Request: "q", Ending: placement.Served}},
		"deadline has passed":      {after: 11 * time.Second, again: true},
		"deadline has not passed":  {after: 9 * time.Second},
		"reported as abandoned":    {report: Report{Request: "r", Ending: placement.Abandoned}, again: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start
			// The first request goes to "a", since nothing else differs.
			only := placement.Query{
				Service: "s",
				Exclude: map[ident.UpstreamID]bool{"b": true},
			}
			either := placement.Query{
				Service: "s",
			}
			p := newPlacements(placement.New(func() time.Time { return now }, func() float64 { return 0 }))
			job := Job{
				Job: batch.Job{
					Request:  "r",
					Deadline: now.Add(10 * time.Second),
				},
			}
			first, ok := p.place(now, job, only, snapshot)
			c.Assert(ok, qt.IsTrue)
			p.markPromptRead("r")
			p.markPromptRead("unknown")
			p.report([]Report{test.report})
			now = now.Add(test.after)
			job.Request = "r2"
			_, ok = p.place(now, job, only, snapshot) // sweeps the requests without a report
			c.Assert(ok, qt.IsTrue)
			p.report([]Report{{Request: "r2", Ending: placement.Abandoned}})
			second, ok := p.place(now, job, either, snapshot)
			c.Assert(ok, qt.IsTrue)
			c.Check(second.ID == first.ID, qt.Equals, test.again)
		})
	}
}
