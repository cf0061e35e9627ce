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

// Guards against the late orders of a holder that was frozen past its lease:
// whether or not an engine checks fencing numbers, it ends in the state that was
// declared last. Guards also against loads above the weight store's rate and a
// lease that outlives a planned stop.
func TestFrozenOrderHolder(t *testing.T) {
	t.Parallel()
	d := start(t, setup{
		firstNet: ordersNet,
		settings: fmt.Sprintf("loads = %d\n", loadRate),
		standins: func(text string) string {
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
	// Two neighbours: one of them checks fencing numbers, the other does not.
	relays := []*relay{d.insert(engines[0], 1), d.insert(engines[1], 2)}
	await(t, "first model", func() bool {
		return !slices.ContainsFunc(engines, func(e hostlist.Host) bool { return !d.settled(e, "first") })
	})
	d.awaitModel(engines, "second")

	former, fence := d.orderHolder()
	for _, r := range relays {
		r.hold("late")
	}
	d.setModel(engines, "late")
	await(t, "orders that are held back", func() bool { return relays[0].holds() && relays[1].holds() })
	d.hosts[former].freeze(t)
	later := 0
	var laterFence ident.FencingNumber
	await(t, "another holder", func() bool {
		later, laterFence = d.orderHolder()
		return later != 0 && later != former
	})
	qt.Assert(t, laterFence > fence, qt.IsTrue)
	for _, r := range relays {
		r.hold("")
	}
	d.awaitModel(engines, "last")

	var statuses []int
	for _, r := range relays {
		close(r.deliver)
		await(t, "late orders", func() bool { return r.statuses() != nil })
		statuses = append(statuses, r.statuses()[0])
	}
	slices.Sort(statuses)
	// One engine refuses the late order; the other one runs it.
	qt.Assert(t, statuses, qt.DeepEquals, []int{http.StatusOK, http.StatusConflict})
	d.hosts[former].thaw(t)
	d.awaitReady(former)
	await(t, "last model", func() bool {
		return !slices.ContainsFunc(engines, func(e hostlist.Host) bool { return !d.settled(e, "last") })
	})
	const ticks = 3 * time.Second // several ticks of every host
	for end := time.Now().Add(ticks); time.Now().Before(end); time.Sleep(pollTime) {
		for _, engine := range engines {
			qt.Assert(t, d.settled(engine, "last"), qt.IsTrue, qt.Commentf("%s: %+v", engine.Name, d.orders(engine)))
		}
	}
	holder, _ := d.orderHolder()
	qt.Assert(t, holder, qt.Equals, later)

	for i := 1; i <= entries; i++ {
		d.hosts[i].signal(t, syscall.SIGTERM)
	}
	for i := 1; i <= entries; i++ {
		qt.Check(t, d.hosts[i].exit(t), qt.Equals, 0)
	}
	holder, _ = d.orderHolder()
	qt.Assert(t, holder, qt.Equals, 0)
}
