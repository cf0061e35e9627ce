package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// A retried submission receives the stored response of the first attempt and is
// not executed again.
func Example() {
	ledger := claim.New(claim.Config{
		Store: memkv.New(time.Now), // the platform's adapter in a deployment
		Host:  "host-1",
	})
	ctx, stop := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- ledger.Run(ctx) }()

	identity := claim.NewIdentity("entries-api", "rindworks", "entry-77")
	for _, attempt := range []ident.AttemptID{"host-1-a", "host-1-b"} {
		decision, err := ledger.Claim(ctx, identity, attempt)
		if err != nil {
			fmt.Println("not dispatched:", err)
			continue
		}
		switch decision := decision.(type) {
		case claim.Granted:
			fmt.Println("dispatch the request")
			err = ledger.Finish(ctx, identity, attempt, claim.Done{Status: 201, Body: []byte("entered")})
			fmt.Println("outcome written:", err == nil)
		case claim.Completed:
			fmt.Printf("stored response: %d %s\n", decision.Status, decision.Body)
		case claim.InProgress:
			fmt.Println("outcome unknown")
		}
	}
	fmt.Println("unwritten outcomes at the stop:", ledger.Drain(ctx))
	stop()
	if err := <-runErr; err != nil {
		fmt.Println(err)
	}
	// Output:
	// dispatch the request
	// outcome written: true
	// stored response: 201 entered
	// unwritten outcomes at the stop: 0
}
