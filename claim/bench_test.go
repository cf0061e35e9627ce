package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// countingStore counts the Put and List calls of a store and the bytes of the values written and read.
type countingStore struct {
	kv.Store
	puts         atomic.Int64
	bytesWritten atomic.Int64
	lists        atomic.Int64
	bytesRead    atomic.Int64
}

func (s *countingStore) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	s.puts.Add(1)
	s.bytesWritten.Add(int64(len(put.Value)))
	return s.Store.Put(ctx, put)
}

func (s *countingStore) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	page, err := s.Store.List(ctx, prefix, after, limit)
	s.lists.Add(1)
	for _, entry := range page.Entries {
		s.bytesRead.Add(int64(len(entry.Value)))
	}
	return page, err
}

// BenchmarkStoreLoad reports, for several rates of claims with outcomes, the writes
// and bytes a second that all partitions write to the store, the mean latency of a
// claim, and the bytes that a new owner of all partitions reads afterwards.
func BenchmarkStoreLoad(b *testing.B) {
	const period = 5 * time.Second
	for _, rate := range []int{10, 100, 440, 1000} {
		for _, body := range []int{0, 512} {
			b.Run(fmt.Sprintf("%d claims a second, body of %d B", rate, body), func(b *testing.B) {
				store := &countingStore{
					Store: memkv.New(time.Now),
				}
				ledger, stop := start(store, "host-0")
				defer stop()
				claims, waitNanos := 0, atomic.Int64{}
				var group sync.WaitGroup
				began := time.Now()
				for time.Since(began) < period {
					for due := int(time.Since(began).Seconds() * float64(rate)); claims < due; claims++ {
						n := claims
						group.Go(func() {
							id := claim.NewIdentity("s", "o", fmt.Sprint(n))
							attempt := ident.AttemptID(fmt.Sprintf("host-000-mabcdefg-%06d", n))
							asked := time.Now()
							_, err := ledger.Claim(context.Background(), id, attempt)
							waitNanos.Add(int64(time.Since(asked)))
							if err == nil {
								err = ledger.Finish(context.Background(), id, attempt, claim.Done{
									Status: 200,
									Body:   make([]byte, body),
								})
							}
							if err != nil {
								b.Error(err)
							}
						})
					}
					time.Sleep(time.Millisecond)
				}
				group.Wait()
				took := time.Since(began).Seconds()
				b.ReportMetric(float64(store.puts.Load())/took, "writes/s")
				b.ReportMetric(float64(store.bytesWritten.Load())/took/1000, "written-KB/s")
				b.ReportMetric(float64(waitNanos.Load())/float64(claims)/1e6, "wait-ms/claim")
				reader, stopReader := start(store, "host-1")
				defer stopReader()
				for p := range claim.Partitions {
					var id claim.Identity
					id[15] = byte(p)
					if _, err := reader.Claim(context.Background(), id, "x"); err != nil {
						b.Error(err)
					}
				}
				b.ReportMetric(float64(store.bytesRead.Load())/float64(claims), "reload-B/claim")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkParted reports the store calls when several hosts that cannot reach
// each other write the same partitions, as happens in a network partition between regions.
func BenchmarkParted(b *testing.B) {
	const (
		period = 4 * time.Second
		rate   = 440
	)
	for _, owners := range []int{1, 2, 4, 7} {
		b.Run(fmt.Sprintf("%d owners", owners), func(b *testing.B) {
			store := memkv.New(time.Now)
			ledgers := make([]*claim.Ledger, owners)
			for i := range ledgers {
				ledger, stop := start(store, ident.HostID(fmt.Sprintf("host-%d", i)))
				defer stop()
				ledgers[i] = ledger
			}
			claims, failed, waitNanos := 0, atomic.Int64{}, atomic.Int64{}
			var group sync.WaitGroup
			began := time.Now()
			for time.Since(began) < period {
				for due := int(time.Since(began).Seconds() * rate); claims < due; claims++ {
					n := claims
					group.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
						defer cancel()
						id := claim.NewIdentity("s", "o", fmt.Sprint(n))
						asked := time.Now()
						if _, err := ledgers[n%owners].Claim(ctx, id, ident.AttemptID(fmt.Sprintf("host-000-mabcdefg-%06d", n))); err != nil {
							failed.Add(1)
						}
						waitNanos.Add(int64(time.Since(asked)))
					})
				}
				time.Sleep(time.Millisecond)
			}
			group.Wait()
			took := time.Since(began).Seconds()
			counts := store.Counts()
			b.ReportMetric(float64(counts.Writes)/took, "writes/s")
			b.ReportMetric(float64(counts.Reads)/took, "reads/s")
			b.ReportMetric(float64(waitNanos.Load())/float64(claims)/1e6, "wait-ms/claim")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
