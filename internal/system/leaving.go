package system

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	leavingLimit = 5 * time.Second // after which no new work may start
	hostListLag  = 2 * time.Second
)

// listLeaving marks the upstream in the host list, which lags.
func (d *deployment) listLeaving(_ *testing.T, host hostlist.Host) {
	d.storeFaults(platform.Faults{
		Lag: hostListLag.Milliseconds(),
	})
	host.State = hostlist.Leaving
	d.put(d.layout.PlatformAddress(), "/hosts", host)
}

// refuseAsLeaving makes the upstream refuse until every entry host knows that
// it leaves. The mark has to outlast the refusals. The other upstreams are slow
// meanwhile, so that some host makes the attempt by which it learns.
func (d *deployment) refuseAsLeaving(t *testing.T, host hostlist.Host) {
	d.upstreamFaults(upstreams.Faults{
		Leaving: true,
	}, host)
	begin := time.Now()
	others := d.servers()[1:]
	d.upstreamFaults(upstreams.Faults{
		Slow: 120, // 600 ms, more than any host has measured at the leaving one
	}, others...)
	await(t, "mark on every entry host", func() bool {
		for i := 1; i <= entries; i++ {
			if d.stateAt(i, ident.UpstreamID(host.Name)) != upstream.StateLeaving {
				return false
			}
		}
		return true
	})
	took := time.Since(begin)
	t.Logf("every entry host knew after %v", took)
	qt.Check(t, took < leavingLimit, qt.IsTrue)
	d.upstreamFaults(upstreams.Faults{}, append(others, host)...)
}

// stateAt returns the state of an upstream as entry host i sees it.
func (d *deployment) stateAt(i int, id ident.UpstreamID) upstream.State {
	status, _ := d.status(i)
	for _, row := range status.Upstreams {
		if row.Upstream == id {
			return row.State
		}
	}
	return ""
}
