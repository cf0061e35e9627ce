package system

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// Guards against a leaving upstream that is sent new work or loses work in
// progress. Without a mark the same check must find late work.
func TestLeavingUpstream(t *testing.T) {
	tests := map[string]struct {
		mark func(d *deployment, t *testing.T, host hostlist.Host)
		late bool // work starts after the limit
	}{
		"not marked":                   {mark: func(*deployment, *testing.T, hostlist.Host) {}, late: true},
		"marked in a lagging list":     {mark: (*deployment).listLeaving},
		"refuses by itself for a time": {mark: (*deployment).refuseAsLeaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{})
			l := startLoad(t, &load{
				deployment: d,
				pick:       anyHost,
				workers:    6,
			})
			leaving := d.servers()[0]
			await(t, "work at every upstream", func() bool {
				return l.count() > 100 && len(d.executions(leaving)) > 10
			})
			d.upstreamFaults(upstreams.Faults{
				Slow: 60, // 300 ms
			}, leaving)
			before := len(d.executions(leaving))
			await(t, "work in progress", func() bool { return len(d.executions(leaving)) > before })
			marked := time.Now()
			d.upstreamFaults(upstreams.Faults{}, leaving)
			test.mark(d, t, leaving)
			open := time.Now() // from here only the mark keeps work away
			await(t, "time after the limit", func() bool {
				return time.Since(marked) > leavingLimit+time.Second && time.Since(open) > time.Second
			})

			ends := make(map[string]time.Time)
			for _, w := range l.finish() {
				if w.flaw != "" {
					t.Errorf("host %d, %s: %s", w.host, w.key, w.flaw)
				}
				ends[w.key] = w.reply.end
			}
			late, through := 0, 0
			for _, e := range d.executions(leaving) {
				key := e.Body
				if key == "" {
					key = e.URI
				}
				if e.Time.After(marked.Add(leavingLimit)) {
					late++
				}
				if e.Time.Before(marked) && ends[key].After(marked) {
					through++
				}
			}
			qt.Check(t, late > 0, qt.Equals, test.late, qt.Commentf("%d executions started after the limit", late))
			qt.Check(t, through > 0, qt.IsTrue, qt.Commentf("no work was in progress"))
		})
	}
}
