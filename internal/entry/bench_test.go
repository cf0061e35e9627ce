package entry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

var fleetSizes = []struct{ upstreams, entries int }{{9, 9}, {120, 36}, {1000, 120}, {3700, 360}}

func newHostList(upstreams, entries int) hostlist.List {
	var list hostlist.List
	for i := range upstreams {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Name:        fmt.Sprintf("engine-%04d", i),
			Kind:        hostlist.UpstreamHost,
			State:       hostlist.Live,
			Incarnation: 1_800_000_000_000,
			Domain:      ident.FailureDomain(fmt.Sprintf("domain-%d", i%19)),
			Region:      ident.Region(fmt.Sprintf("region-%d", i%7)),
			Service:     "nutmeg-pool",
			Pool:        ident.PoolName(fmt.Sprintf("engines-%d", i%11)),
			Address:     ident.Address(fmt.Sprintf("127.10.%d.%d:9000", 2+i/250, i%250+1)),
		})
	}
	for i := range entries {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Name:        fmt.Sprintf("host-%03d", i),
			Kind:        hostlist.EntryHost,
			State:       hostlist.Live,
			Incarnation: 1_800_000_000_000,
			Domain:      ident.FailureDomain(fmt.Sprintf("domain-%d", i%19)),
			Region:      ident.Region(fmt.Sprintf("region-%d", i%7)),
			Peer:        ident.Address(fmt.Sprintf("127.10.%d.%d:8082", 100+i/250, i%250+1)),
		})
	}
	return list
}

func newTestPeers(list hostlist.List) *peers {
	p := newPeers(peer.Row{
		Host:        "host-000",
		Address:     "127.10.100.1:8082",
		Domain:      "domain-0",
		Region:      "region-0",
		Incarnation: 1,
	}, timeline.NewClock(time.Now), nil, document.NewRegistry(), zerolog.Nop())
	p.merge(list)
	return p
}

// BenchmarkMerge measures the processing of a host list after the fetch: the
// conversion to upstreams and the merge of the entry hosts.
func BenchmarkMerge(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d upstreams, %d entry hosts", size.upstreams, size.entries), func(b *testing.B) {
			list := newHostList(size.upstreams, size.entries)
			p := newTestPeers(list)
			b.ReportAllocs()
			for b.Loop() {
				upstreamMembers(list)
				p.merge(list)
			}
		})
	}
}

// BenchmarkAround measures the computation of the document spreader's view of the
// other hosts, done on each of the syncer's ten ticks a second, and the spreader's
// tick.
func BenchmarkAround(b *testing.B) {
	for _, entries := range []int{9, 36, 120, 360} {
		b.Run(fmt.Sprintf("%d entry hosts", entries), func(b *testing.B) {
			p := newTestPeers(newHostList(9, entries))
			now := time.Now()
			p.spreader.Tick(now, p.surroundings())
			b.ReportAllocs()
			for b.Loop() {
				p.spreader.Tick(now, p.surroundings())
			}
		})
	}
}

// BenchmarkStatus measures the time and size of one response of the status page.
func BenchmarkStatus(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d upstreams, %d entry hosts", size.upstreams, size.entries), func(b *testing.B) {
			list := newHostList(size.upstreams, size.entries)
			h := New(&settings.Settings{
				Memory: 256,
				Host:   "host-000",
				Domain: "domain-0",
				Region: "region-0",
				Peers:  "127.10.100.1:8082",
				Events: 1,
			}, zerolog.Nop())
			h.table.Offer(upstreamMembers(list))
			h.peers.merge(list)
			now := time.Now()
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tableTickInterval)
				h.table.Tick(now)
				body, err := json.Marshal(h.status())
				qt.Assert(b, err, qt.IsNil)
				bytes = len(body)
			}
			b.ReportMetric(float64(bytes), "body-B/op")
		})
	}
}
