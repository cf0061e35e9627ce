package organisation_test

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/organisation"
)

// Each request takes a permit before it runs and releases it with its result.
func Example() {
	ctx := context.Background()
	now := time.Unix(1_800_000_000, 0)
	limiter := organisation.New(organisation.Config{
		Now: func() time.Time { return now },
		Shares: map[ident.OrganisationID]float64{
			"lakeshore":    4,
			ident.OthersID: 1,
		},
	})
	permit, err := limiter.Acquire(ctx, "lakeshore", 1, now.Add(6*time.Second))
	fmt.Println("admitted:", err == nil, "in flight:", limiter.Status().InFlight)
	now = now.Add(50 * time.Millisecond)
	permit.Release(organisation.Completed{})
	fmt.Println("in flight:", limiter.Status().InFlight)

	_, err = limiter.Acquire(ctx, "lakeshore", 1, now.Add(-time.Second))
	fmt.Println("refused, did not run:", errors.Is(err, organisation.ErrDeadline))
	// Output:
	// admitted: true in flight: 1
	// in flight: 0
	// refused, did not run: true
}
