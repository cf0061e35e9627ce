package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// Each attempt takes a lease on an upstream and ends it with a report.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	table := upstream.New(upstream.Config{
		Host:   "host-1",
		Domain: "erie-hall",
		Region: "great-lakes",
		Now:    func() time.Time { return now },
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	pool := document.PoolRef{Service: "entries-api", Pool: "servers"}
	table.Offer([]upstream.Member{{ // after each read of the host list
		Pool:        pool,
		Upstream:    "server-1",
		Incarnation: 1,
		Address:     "127.0.0.1:9000",
		Domain:      "erie-hall",
		Region:      "great-lakes",
	}})
	table.Tick(now) // every 100 ms
	lease, err := table.Choose(now, upstream.Query{Pool: pool, Weight: 1})
	fmt.Println(lease.Upstream, lease.Address, err)
	table.Done(lease, upstream.Report{ // the upstream rejected the attempt because it is leaving
		Result: upstream.Leaving{},
	})
	_, err = table.Choose(now, upstream.Query{Pool: pool, Weight: 1})
	fmt.Println("no upstream left:", errors.Is(err, upstream.ErrNoUpstream))
	// Output:
	// server-1 127.0.0.1:9000 <nil>
	// no upstream left: true
}
