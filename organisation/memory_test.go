package organisation_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/organisation"
)

// BenchmarkMemory reports the heap size of a limiter after one request of each
// organisation.
func BenchmarkMemory(b *testing.B) {
	for name, n := range organisationCounts {
		b.Run(name, func(b *testing.B) {
			ids := organisationIDs(n)
			shares := make(map[ident.OrganisationID]float64, n)
			for _, id := range ids {
				shares[id] = 1
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := newLimiter(shares)
			for _, id := range ids {
				permit, err := l.Acquire(context.Background(), id, 1, time.Now().Add(time.Hour))
				if err != nil {
					b.Fatal(err)
				}
				permit.Release(organisation.Completed{})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(l)
			runtime.KeepAlive(shares)
			runtime.KeepAlive(ids)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-B")
		})
	}
}

// BenchmarkRemote measures receiving the rates of one peer, and one admission with
// shares corrected by the rates of all peers.
func BenchmarkRemote(b *testing.B) {
	for _, peers := range []int{9, 36, 120, 360} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			now := time.Now()
			l := organisation.New(organisation.Config{
				Now: func() time.Time { return now },
			})
			usage := func(peer int) organisation.Usage {
				used := organisation.Usage{
					Total: 100,
				}
				for i := range organisation.TopSize {
					used.Top = append(used.Top, organisation.Rate{
						Organisation: ident.OrganisationID(fmt.Sprintf("organisation-%d", peer*7+i)),
						Rate:         float64(i),
					})
				}
				return used
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				l.Remote(ident.HostID(fmt.Sprintf("host-%d", i%peers)), usage(i%peers))
				if i++; i%peers == 0 {
					now = now.Add(2 * time.Second)
				}
				permit, err := l.Acquire(context.Background(), "organisation-1", 1, now.Add(time.Hour))
				if err != nil {
					b.Fatal(err)
				}
				permit.Release(organisation.Completed{})
			}
		})
	}
}
