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
	leavingLimit = 5 * time.Second // after which a leaving upstream gets no new work
	hostListLag  = 2 * time.Second
)

// markLeavingInHostList marks the upstream as leaving in the host list, whose
// updates arrive late by hostListLag.
func (d *deployment) markLeavingInHostList(_ *testing.T, host hostlist.Host) {
	d.storeFaults(platform.Faults{
		Lag: hostListLag.Milliseconds(),
	})
	host.State = hostlist.Leaving
	d.put(d.layout.PlatformAddress(), "/hosts", host)
}

// rejectAsLeaving makes the upstream reject attempts as leaving until every entry
// host has marked it, and then accept them again: the marks must stay. Meanwhile
// the other upstreams are slow, so that some host attempts a request at the
// leaving one and learns of its state.
func (d *deployment) rejectAsLeaving(t *testing.T, host hostlist.Host) {
	d.upstreamFaults(upstreams.Faults{
		Leaving: true,
	}, host)
	begin := time.Now()
	others := d.servers()[1:]
	d.upstreamFaults(upstreams.Faults{
		Slow: 120, // 600 ms, more than any host has measured at the leaving upstream
	}, others...)
	await(t, "leaving mark on every entry host", func() bool {
		for i := 1; i <= entryHosts; i++ {
			if d.upstreamState(i, ident.UpstreamID(host.Name)) != upstream.StateLeaving {
				return false
			}
		}
		return true
	})
	elapsed := time.Since(begin)
	t.Logf("leaving mark on every entry host after %v", elapsed)
	qt.Check(t, elapsed < leavingLimit, qt.IsTrue)
	d.upstreamFaults(upstreams.Faults{}, append(others, host)...)
}

// upstreamState returns the state of an upstream as entry host i sees it, "" if
// entry host i does not respond or has no row for it.
func (d *deployment) upstreamState(i int, id ident.UpstreamID) upstream.State {
	status, _ := d.status(i)
	for _, row := range status.Upstreams {
		if row.Upstream == id {
			return row.State
		}
	}
	return ""
}
