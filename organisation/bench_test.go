package organisation_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/organisation"
)

var organisationCounts = map[string]int{"0005": 5, "0100": 100, "1000": 1000, "3900": 3900}

func organisationIDs(n int) []ident.OrganisationID {
	ids := make([]ident.OrganisationID, n)
	for i := range ids {
		ids[i] = ident.OrganisationID(fmt.Sprintf("organisation-%d", i))
	}
	return ids
}

func BenchmarkAcquireFree(b *testing.B) {
	for name, n := range organisationCounts {
		b.Run(name, func(b *testing.B) {
			l, ids := newLimiter(nil), organisationIDs(n)
			deadline := time.Now().Add(time.Hour)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				permit, err := l.Acquire(context.Background(), ids[i%n], 1, deadline)
				if err != nil {
					b.Fatal(err)
				}
				permit.Release(organisation.Completed{})
				i++
			}
		})
	}
}

// BenchmarkAcquireQueued measures admission with a waiting request of each
// organisation.
func BenchmarkAcquireQueued(b *testing.B) {
	for name, n := range organisationCounts {
		b.Run(name, func(b *testing.B) {
			l := organisation.New(organisation.Config{
				Now:     time.Now,
				Initial: 4,
				Most:    4,
				Waiting: 2 * n,
			})
			ids := organisationIDs(n)
			deadline := time.Now().Add(time.Hour)
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for _, id := range ids {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						permit, err := l.Acquire(context.Background(), id, 1, deadline)
						if err != nil {
							b.Error(err)
							return
						}
						permit.Release(organisation.Completed{})
					}
				})
			}
			wg.Wait()
		})
	}
}
