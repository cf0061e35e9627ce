package memkv_test

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// A test injects faults and controls the clock by which leases expire.
func Example() {
	ctx := context.Background()
	now := time.Unix(1_800_000_000, 0)
	store := memkv.New(func() time.Time { return now })

	store.SetFaults(memkv.Faults{
		LoseResponse: 1,
	})
	_, err := store.Put(ctx, kv.Put{
		Key:   "a",
		Value: []byte("1"),
	})
	found, _ := store.Get(ctx, "a")
	fmt.Printf("uncertain: %t, written: %s\n", errors.Is(err, kv.ErrUncertain), found.Value)

	lease, _ := store.Grant(ctx, 10*time.Second)
	now = now.Add(11 * time.Second)
	fmt.Println("lease lost:", errors.Is(store.Renew(ctx, lease), kv.ErrLeaseLost))
	// Output:
	// uncertain: true, written: 1
	// lease lost: true
}
