package quarantine_test

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/quarantine"
)

// A request that has crashed two upstreams is blocked.
func Example() {
	ctx := context.Background()
	keeper := quarantine.New(quarantine.Config{
		Store: memkv.New(time.Now),
		Host:  "host-1",
	})
	fmt.Println("records read:", keeper.Refresh(ctx) == nil) // before serving, then once a minute

	request := quarantine.NewFingerprint("nutmeg-pool", "chat", []byte("the prompt"))
	fmt.Printf("%T\n", keeper.Check(request)) // before each dispatch

	// The first upstream crashes; the strike is recorded before a retry.
	err := keeper.Strike(ctx, request, quarantine.Crash{Upstream: "engine-1", Incarnation: 1})
	fmt.Printf("%T %v\n", keeper.Check(request), err)

	// A suspect runs only as a trial, alone on an upstream.
	trial, err := keeper.Begin(ctx, request, "attempt-2")
	if err != nil {
		fmt.Println("not tried:", err)
		return
	}
	err = trial.Crashed(ctx, quarantine.Crash{Upstream: "engine-2", Incarnation: 1})
	fmt.Printf("%T %v\n", keeper.Check(request), err)
	// Output:
	// records read: true
	// quarantine.Clear
	// quarantine.Suspect <nil>
	// quarantine.Blocked <nil>
}
