package system

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
)

// Guards against an engine that is left in the wrong state by the late orders of a
// lease holder that was frozen until its lease had expired: whether or not the
// engine checks fencing numbers, it ends in the state that was declared last.
// Guards also against loads above the weight store's rate and a lease that is not
// released by a planned stop.
func TestFrozenOrderHolder(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, setup{
		firstNet:      ordersFirstNet,
		extraSettings: fmt.Sprintf("loads = %d\n", loadRate),
		editStandins: func(text string) string {
			sections := strings.Split(text, "\n[")
			for i, section := range sections {
				if strings.Contains(section, "kind = engine") {
					sections[i] += "loading = 300ms\n"
					if i%2 == 0 {
						sections[i] += "fencing = check\n"
					}
				}
			}
			return strings.Join(sections, "\n[")
		},
	})
	engines := d.pool(nutmegPool, "engines")
	d.setModel(engines, "first")
	// Of these two engines, one checks fencing numbers and the other does not.
	proxies := []*engineProxy{d.insertProxy(engines[0], 1), d.insertProxy(engines[1], 2)}
	await(t, "first model", func() bool {
		return !slices.ContainsFunc(engines, func(e hostlist.Host) bool { return !d.hasOnlyModel(e, "first") })
	})
	d.awaitModel(engines, "second")

	formerHolder, formerFencing := d.orderLeaseHolder()
	for _, proxy := range proxies {
		proxy.delayLoads("late")
	}
	d.setModel(engines, "late")
	await(t, "delayed orders", func() bool { return proxies[0].hasDelayedLoads() && proxies[1].hasDelayedLoads() })
	d.hosts[formerHolder].freeze(t)
	newHolder := 0
	var newFencing ident.FencingNumber
	await(t, "new lease holder", func() bool {
		newHolder, newFencing = d.orderLeaseHolder()
		return newHolder != 0 && newHolder != formerHolder
	})
	qt.Assert(t, newFencing > formerFencing, qt.IsTrue)
	for _, proxy := range proxies {
		proxy.delayLoads("")
	}
	d.awaitModel(engines, "last")

	var statuses []int
	for _, proxy := range proxies {
		close(proxy.release)
		await(t, "late orders", func() bool { return proxy.deliveredStatuses() != nil })
		statuses = append(statuses, proxy.deliveredStatuses()[0])
	}
	slices.Sort(statuses)
	// The engine that checks fencing numbers rejects the late order; the other
	// runs it.
	qt.Assert(t, statuses, qt.DeepEquals, []int{http.StatusOK, http.StatusConflict})
	d.hosts[formerHolder].thaw(t)
	d.awaitReady(formerHolder)
	await(t, "last model", func() bool {
		return !slices.ContainsFunc(engines, func(e hostlist.Host) bool { return !d.hasOnlyModel(e, "last") })
	})
	const watchTime = 3 * time.Second // several reconciliation rounds of every host
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, engine := range engines {
			qt.Assert(t, d.hasOnlyModel(engine, "last"), qt.IsTrue, qt.Commentf("%s: %+v", engine.Name, d.engineState(engine)))
		}
	}
	current, _ := d.orderLeaseHolder()
	qt.Assert(t, current, qt.Equals, newHolder)

	for i := 1; i <= entryHosts; i++ {
		d.hosts[i].signal(t, syscall.SIGTERM)
	}
	for i := 1; i <= entryHosts; i++ {
		qt.Check(t, d.hosts[i].exit(t), qt.Equals, 0)
	}
	current, _ = d.orderLeaseHolder()
	qt.Assert(t, current, qt.Equals, 0)
}
