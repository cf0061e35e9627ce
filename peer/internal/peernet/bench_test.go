package peernet

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/nutmegshift/nutmegshift/peer"
)

// BenchmarkMemory reports the heap size of the table of one host and its view, per
// host in the table.
func BenchmarkMemory(b *testing.B) {
	for _, hosts := range []int{9, 36, 120, 360} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := peer.NewTable(rowOf(0, 1))
			rows := make([]peer.Row, 0, hosts)
			for i := range hosts {
				rows = append(rows, rowOf(i, 1))
			}
			table.Merge(start, rows)
			table.Snapshot()
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(table)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(hosts), "heap-B/host")
		})
	}
}
