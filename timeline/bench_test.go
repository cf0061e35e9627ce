package timeline_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/timeline"
)

var ringSizes = []int{1024, 8192, timeline.DefaultSize}

// filled returns a ring full of events of requests with ten events each.
func filled(size int) *timeline.Ring {
	ring := timeline.NewRing("host-000", timeline.NewClock(time.Now), size)
	for i := range size {
		ring.Record(event(i))
	}
	return ring
}

func event(i int) timeline.Event {
	return timeline.Event{
		Request: ident.RequestID(fmt.Sprintf("host-000-mabcdefg-%d", i/10)),
		Attempt: ident.AttemptID(fmt.Sprintf("host-000-mabcdefg-%d", i)),
		Part:    "pipeline",
		Name:    "dispatched",
		Fields: []timeline.Field{
			{
				Name:  "upstream",
				Value: fmt.Sprintf("engine-%04d", i%3700),
			},
			{
				Name:  "stage",
				Value: "generate",
			},
		},
	}
}

// BenchmarkRecord measures one event in a full ring.
func BenchmarkRecord(b *testing.B) {
	for _, size := range ringSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ring := filled(size)
			recorded := event(1)
			b.ReportAllocs()
			for b.Loop() {
				ring.Record(recorded)
			}
		})
	}
}

// BenchmarkEvents measures the answer to a query for one request, during which
// no event can be recorded.
func BenchmarkEvents(b *testing.B) {
	for _, size := range ringSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ring := filled(size)
			b.ReportAllocs()
			for b.Loop() {
				ring.Events("host-000-mabcdefg-7")
			}
		})
	}
}

// BenchmarkMemory reports the heap of a full ring for each event.
func BenchmarkMemory(b *testing.B) {
	for _, size := range ringSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ring := filled(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(ring)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(size), "heap-B/event")
		})
	}
}
