package system

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// Guards against a leaving upstream that gets new work or loses work in progress.
// The case without a mark shows that the check detects late work.
func TestLeavingUpstream(t *testing.T) {
	tests := map[string]struct {
		mark     func(d *deployment, t *testing.T, host hostlist.Host)
		lateWork bool // executions start after leavingLimit
	}{
		"not marked":                    {mark: func(*deployment, *testing.T, hostlist.Host) {}, lateWork: true},
		"marked in a lagging host list": {mark: (*deployment).markLeavingInHostList},
		"rejects attempts for a time":   {mark: (*deployment).rejectAsLeaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{})
			workload := startLoad(t, &load{
				deployment: d,
				pickHost:   pickAnyHost,
				workers:    6,
			})
			leaving := d.servers()[0]
			await(t, "work at every upstream", func() bool {
				return workload.count() > 100 && len(d.executions(leaving)) > 10
			})
			d.upstreamFaults(upstreams.Faults{
				Slow: 60, // 300 ms
			}, leaving)
			before := len(d.executions(leaving))
			await(t, "work in progress", func() bool { return len(d.executions(leaving)) > before })
			marked := time.Now()
			d.upstreamFaults(upstreams.Faults{}, leaving)
			test.mark(d, t, leaving)
			markInEffect := time.Now() // from here on only the mark prevents new work
			await(t, "time after the limit", func() bool {
				return time.Since(marked) > leavingLimit+time.Second && time.Since(markInEffect) > time.Second
			})

			ends := make(map[string]time.Time)
			for _, request := range workload.finish() {
				if request.failure != "" {
					t.Errorf("host %d, %s: %s", request.host, request.key, request.failure)
				}
				ends[request.key] = request.response.end
			}
			lateWork, unfinished := 0, 0
			for _, execution := range d.executions(leaving) {
				key := execution.Body
				if key == "" {
					key = execution.URI
				}
				if execution.Time.After(marked.Add(leavingLimit)) {
					lateWork++
				}
				if execution.Time.Before(marked) && ends[key].After(marked) {
					unfinished++
				}
			}
			qt.Check(t, lateWork > 0, qt.Equals, test.lateWork, qt.Commentf("%d executions started after the limit", lateWork))
			qt.Check(t, unfinished > 0, qt.IsTrue, qt.Commentf("no work was in progress"))
		})
	}
}
