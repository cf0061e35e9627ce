package timeline_test

import (
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/timeline"
)

// The events of two hosts sort by cause and effect, although the wall clock of
// the second host is a minute behind.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	first := timeline.NewClock(func() time.Time { return now })
	second := timeline.NewClock(func() time.Time { return now.Add(-time.Minute) })
	sender := timeline.NewRing("host-1", first, timeline.DefaultSize)
	receiver := timeline.NewRing("host-2", second, timeline.DefaultSize)

	sender.Record(timeline.Event{
		Request: "r-1",
		Name:    "claim forwarded",
	})
	stamp := first.Now()  // travels with the message
	second.Observe(stamp) // before the message is handled
	receiver.Record(timeline.Event{
		Request: "r-1",
		Name:    "claim accepted",
	})
	for _, event := range timeline.Merge(receiver.Events("r-1"), sender.Events("r-1")) {
		fmt.Println(event.Host, event.Name)
	}
	// Output:
	// host-1 claim forwarded
	// host-2 claim accepted
}
