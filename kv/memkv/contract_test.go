package memkv_test

import (
	"sync"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/kv/kvtest"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// Guards against a fake that behaves differently from the service.
func TestContract(t *testing.T) {
	kvtest.Run(t, func(*testing.T) kvtest.Harness {
		var mu sync.Mutex
		now := time.Unix(1_800_000_000, 0)
		store := memkv.New(func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		})
		return kvtest.Harness{
			Store:     store,
			SetFaults: store.SetFaults,
			Advance: func(by time.Duration) {
				mu.Lock()
				now = now.Add(by)
				mu.Unlock()
				store.Expire()
			},
			Compact: store.Compact,
		}
	})
}
