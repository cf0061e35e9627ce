package peernet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Guards against reports of crashes that arrive late because there are many, most of them
// of hosts that only had bystanders at the upstream: all hosts have to know three reports
// that name the cause within the contact bound of the deployment after the fifth crash.
func TestCrashReportsSpreadInTime(t *testing.T) {
	tests := map[string]struct {
		hosts     int
		perSecond int // crashes
		reporters int // hosts that report each crash
		contact   time.Duration
	}{
		"9 hosts":   {hosts: 9, perSecond: 5, reporters: 6, contact: 3 * time.Second},
		"74 hosts":  {hosts: 74, perSecond: 15, reporters: 10, contact: 4 * time.Second},
		"295 hosts": {hosts: 295, perSecond: 30, reporters: 16, contact: 5 * time.Second},
	}
	const (
		causeReports = 3 // that a host needs
		grace        = 5 // crashes before the contact bound begins
		seeds        = 5
	)
	for name, test := range tests {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				n := newNetwork(seed, test.hosts)
				known := make(map[*node]map[ident.UpstreamID]bool) // crashes of which a host knows the cause
				learn := func(at *node, rumour peer.Rumour) {
					report, ok := rumour.(peer.CrashReported)
					if !ok || len(report.Suspects) == 0 {
						return
					}
					if known[at] == nil {
						known[at] = make(map[ident.UpstreamID]bool)
					}
					known[at][report.Upstream] = true
				}
				published, due := 0, 0.0
				publish := func() {
					for due += float64(test.perSecond) * peer.UrgentInterval.Seconds(); published < int(due); published++ {
						for i, host := range n.random.Perm(test.hosts)[:test.reporters] {
							report := peer.CrashReported{
								Host:        n.node(host).row.Host,
								Upstream:    ident.UpstreamID(fmt.Sprint(published)),
								Incarnation: 1,
								At:          n.now,
							}
							if i == 0 { // this host sent the request that is the cause
								report.Suspects = []peer.CrashSuspect{{Fingerprints: []peer.Fingerprint{{1}}}}
							}
							n.node(host).gossip.Publish(report)
							learn(n.node(host), report)
						}
					}
				}
				var from time.Time
				for ticks := int(2 * test.contact / peer.UrgentInterval); ticks > 0; ticks-- {
					publish()
					if from.IsZero() && published >= grace {
						from = n.now
					}
					n.advance()
					for _, address := range n.order {
						at := n.nodes[address]
						for _, rumour := range at.received {
							learn(at, rumour)
						}
						at.received = nil
					}
					if n.count(func(at *node) bool { return len(known[at]) >= causeReports }) == test.hosts {
						break
					}
				}
				took := time.Duration(0)
				if !from.IsZero() {
					took = n.now.Sub(from)
				}
				t.Logf("%d crashes, %s after the fifth", published, took)
				qt.Check(t, took <= test.contact, qt.IsTrue)
			})
		}
	}
}
