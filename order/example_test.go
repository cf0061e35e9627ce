package order_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/order"
)

// printer is a fake engine that has no model and prints its orders.
type printer struct{}

func (printer) Actual(context.Context, ident.UpstreamID) (order.Actual, error) {
	return order.Actual{}, nil
}

func (printer) Send(_ context.Context, engine ident.UpstreamID, _ ident.FencingNumber, o order.Order) error {
	fmt.Printf("%s: %T %v\n", engine, o, o)
	return nil
}

// An operator declares the desired state of an engine, and the holder of the
// lease sends the orders that bring the engine to it.
func Example() {
	ctx := context.Background()
	now := time.Unix(1_800_000_000, 0)
	store := memkv.New(func() time.Time { return now })
	_, err := order.SetWanted(ctx, store, "engine-1", order.Wanted{
		Role:   "decode",
		Models: []ident.ModelName{"rind-7b"},
	}, 0)
	fmt.Println("declared:", err == nil)
	reconciler := order.New(order.Config{
		Host:      "host-1",
		Store:     store,
		Engines:   printer{},
		Now:       func() time.Time { return now },
		Log:       zerolog.Nop(),
		TTL:       10 * time.Second,
		Limit:     time.Second,
		Workers:   1,
		LoadRate:  1,
		LoadBurst: 1,
	})
	for range 2 { // Run does this for each value of a ticker
		report, err := reconciler.Tick(ctx)
		fmt.Println("sent", report.Sent, "deferred", report.Deferred, "error", err)
		now = now.Add(time.Second)
	}
	// Output:
	// declared: true
	// engine-1: order.SetRole {decode}
	// sent 1 deferred 1 error <nil>
	// engine-1: order.SetRole {decode}
	// engine-1: order.Load {rind-7b}
	// sent 2 deferred 0 error <nil>
}
