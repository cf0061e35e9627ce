package upstream_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// tableSizes holds the number of rows of a table and the number of pools over which
// they are spread.
var tableSizes = map[string]struct{ rows, pools int }{
	"0009": {rows: 9, pools: 1},
	"0120": {rows: 120, pools: 4},
	"1000": {rows: 1000, pools: 10},
	"3700": {rows: 3700, pools: 11},
}

// sizedFixture returns a fixture with the given number of rows and its members.
func sizedFixture(rows, pools int) (*fixture, []upstream.Member) {
	members := pool(rows, "a", "b", "c", "d", "e")
	for i := range members {
		members[i].Pool.Pool = ident.PoolName(fmt.Sprint(i / 5 % pools))
	}
	f := newFixture("h1", "a", 1)
	f.offer(members)
	return f, members
}

func BenchmarkChoose(b *testing.B) {
	for name, size := range tableSizes {
		for kind, prefix := range map[string]upstream.Prefix{"plain": 0, "prefix": 42} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				f, _ := sizedFixture(size.rows, size.pools)
				queries := make([]upstream.Query, size.pools)
				for i := range queries {
					queries[i] = upstream.Query{
						Pool: document.PoolRef{
							Service: engines.Service,
							Pool:    ident.PoolName(fmt.Sprint(i)),
						},
						Prefix: prefix,
					}
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					lease, err := f.table.Choose(f.now, queries[i%size.pools])
					if err != nil {
						b.Fatal(err)
					}
					f.table.Done(lease, completed(10*time.Millisecond))
					i++
				}
			})
		}
	}
}

func BenchmarkTick(b *testing.B) {
	for name, size := range tableSizes {
		for kind, merge := range map[string]bool{"steady": false, "merge": true} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				f, members := sizedFixture(size.rows, size.pools)
				b.ReportAllocs()
				for b.Loop() {
					f.now = f.now.Add(tick)
					if merge {
						f.table.Offer(members)
					}
					f.table.Tick(f.now)
				}
			})
		}
	}
}

// BenchmarkSnapshot measures a snapshot after a tick, which the poller of load
// reports takes four times a second.
func BenchmarkSnapshot(b *testing.B) {
	for name, size := range tableSizes {
		b.Run(name, func(b *testing.B) {
			f, _ := sizedFixture(size.rows, size.pools)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				f.now = f.now.Add(tick)
				f.table.Tick(f.now)
				b.StartTimer()
				f.table.Snapshot()
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a table without prefixes and with a full
// list of cached prefixes for each row.
func BenchmarkMemory(b *testing.B) {
	for name, size := range tableSizes {
		for kind, prefixes := range map[string]int{"plain": 0, "cached": 256} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				members := pool(size.rows, "a", "b", "c", "d", "e")
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := newFixture("h1", "a", 1)
				f.offer(members)
				for _, m := range members {
					events := make([]upstream.CacheEvent, prefixes)
					for i := range events {
						events[i] = upstream.CacheEvent{
							Sequence: uint64(i + 1),
							Change:   upstream.Stored,
							Prefix:   upstream.Prefix(i + 1),
						}
					}
					f.table.ApplyCacheEvents(m.Upstream, m.Incarnation, events)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(f)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-B")
			})
		}
	}
}
