package loadreport_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = loadreport.Limits{Slots: 1, Queue: 2}
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// load returns a load report of an upstream that runs one call at a time.
func load(running, waiting int) wire.Load {
	return wire.Load{Running: running, Waiting: waiting, Slots: 1}
}

// Guards against upstreams that stay unused because a report is false, was delayed by a slow
// link or counts the call that it responds to, and against calls to upstreams that are busy.
func TestFreeAt(t *testing.T) {
	completed, refused, health, release := loadreport.Completed, loadreport.Refused, loadreport.Health, loadreport.Release
	tests := map[string]struct {
		source  loadreport.Source
		loads   []wire.Load // one every 10 ms, or earlier by as much if late
		late    bool
		own     int
		verdict loadreport.Verdict // on the last report
		wait    time.Duration
	}{
		"full":                             {source: refused, loads: []wire.Load{load(1, 2)}, verdict: "used", wait: ms(500)},
		"full, counts the refused call":    {source: refused, loads: []wire.Load{load(1, 3)}, verdict: "bounded", wait: ms(500)},
		"full of millions":                 {source: refused, loads: []wire.Load{load(1e6, 1e6)}, verdict: "bounded", wait: ms(500)},
		"refused with room":                {source: refused, loads: []wire.Load{load(1, 1)}, verdict: "contradictory"},
		"other slots":                      {source: refused, loads: []wire.Load{{Running: 8, Slots: 8}}, verdict: "contradictory"},
		"waits without a call":             {source: health, loads: []wire.Load{load(0, 2)}, verdict: "contradictory"},
		"idle":                             {source: health, loads: []wire.Load{load(0, 0)}, verdict: "used"},
		"runs another call":                {source: health, loads: []wire.Load{load(1, 0)}, verdict: "used", wait: ms(100)},
		"runs another call, one waits":     {source: health, loads: []wire.Load{load(1, 1)}, verdict: "used", wait: ms(300)},
		"may count a call of this host":    {source: health, loads: []wire.Load{load(1, 1)}, own: 1, verdict: "used"},
		"counts the call itself":           {source: completed, loads: []wire.Load{load(1, 0)}, verdict: "used"},
		"counts the call itself, one more": {source: completed, loads: []wire.Load{load(1, 1)}, verdict: "used", wait: ms(100)},
		"does not count the call":          {source: completed, loads: []wire.Load{load(0, 0), load(1, 0)}, verdict: "used", wait: ms(100)},
		"free again":                       {source: health, loads: []wire.Load{load(1, 2), load(0, 0)}, verdict: "used"},
		"delayed":                          {source: health, loads: []wire.Load{load(0, 0), load(1, 2)}, late: true, verdict: "outdated", wait: ms(10)},
		"while it may run anything":        {source: release, loads: []wire.Load{load(1, 2)}, verdict: "used"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			record := loadreport.New()
			var verdict loadreport.Verdict
			last, step := start, ms(10)
			if test.late {
				step = -step
			}
			for _, reported := range test.loads {
				last = last.Add(step)
				verdict = record.Observe(loadreport.Report{Load: reported, Source: test.source, At: last}, loadreport.Usage{Own: test.own, CallTime: ms(200)}, limits)
			}
			c.Check(verdict, qt.Equals, test.verdict)
			c.Check(max(0, record.FreeAt().Sub(last)), qt.Equals, test.wait)
		})
	}
}
