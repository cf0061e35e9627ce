package quarantine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/quarantine"
)

// BenchmarkRefresh measures the listing that each host does every minute, and counts
// the deletions of expired records.
func BenchmarkRefresh(b *testing.B) {
	for _, records := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			clock := func() time.Time { return now }
			store := memkv.New(clock)
			keeper := quarantine.New(quarantine.Config{
				Store: store,
				Host:  "host-000",
				Clock: clock,
			})
			for i := range records {
				err := keeper.Strike(context.Background(), quarantine.NewFingerprint("nutmeg-pool", "/draft", fmt.Append(nil, i)), quarantine.Crash{
					Upstream:    ident.UpstreamID(fmt.Sprintf("engine-%04d", i)),
					Incarnation: 1_800_000_000_000,
				})
				qt.Assert(b, err, qt.IsNil)
			}
			afterStrikes := store.Counts()
			page, err := store.List(context.Background(), "quarantine/", "", 0)
			qt.Assert(b, err, qt.IsNil)
			bytes := 0
			for _, entry := range page.Entries {
				bytes += len(entry.Key) + len(entry.Value)
			}
			refreshes := 0
			b.ReportAllocs()
			for b.Loop() {
				refreshes++
				qt.Assert(b, keeper.Refresh(context.Background()), qt.IsNil)
			}
			afterRefreshes := store.Counts()
			now = now.Add(time.Hour)
			qt.Assert(b, keeper.Refresh(context.Background()), qt.IsNil)
			b.ReportMetric(float64(bytes)/float64(records), "B/record")
			b.ReportMetric(float64(afterRefreshes.Reads-afterStrikes.Reads)/float64(refreshes), "reads/op")
			b.ReportMetric(float64(afterStrikes.Reads)/float64(records), "reads/strike")
			b.ReportMetric(float64(afterStrikes.Writes)/float64(records), "writes/strike")
			b.ReportMetric(float64(store.Counts().Writes-afterRefreshes.Writes), "deletions-at-expiry")
		})
	}
}
