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

// newFullRing returns a full ring of events, ten for each request.
func newFullRing(size int) *timeline.Ring {
	ring := timeline.NewRing("host-000", timeline.NewClock(time.Now), size)
	for i := range size {
		ring.Record(newEvent(i))
	}
	return ring
}

func newEvent(i int) timeline.Event {
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

// BenchmarkRecord measures recording one event in a full ring.
func BenchmarkRecord(b *testing.B) {
	for _, size := range ringSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ring := newFullRing(size)
			event := newEvent(1)
			b.ReportAllocs()
			for b.Loop() {
				ring.Record(event)
			}
		})
	}
}

// BenchmarkEvents measures reading the events of one request, during which no event
// can be recorded.
func BenchmarkEvents(b *testing.B) {
	for _, size := range ringSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ring := newFullRing(size)
			b.ReportAllocs()
			for b.Loop() {
				ring.Events("host-000-mabcdefg-7")
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a full ring per event.
func BenchmarkMemory(b *testing.B) {
	for _, size := range ringSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ring := newFullRing(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(ring)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(size), "heap-B/event")
		})
	}
}
