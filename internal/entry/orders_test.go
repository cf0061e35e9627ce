package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// Guards against orders to an engine that is leaving or to the address of its
// earlier incarnation, and against reading a snapshot for each engine of a tick.
func TestDirectory(t *testing.T) {
	c := qt.New(t)
	row := func(incarnation ident.Incarnation, address ident.Address, state upstream.State) upstream.Status {
		return upstream.Status{
			Member: upstream.Member{
				Upstream:    "engine-1",
				Incarnation: incarnation,
				Address:     address,
			},
			State: state,
		}
	}
	now := time.Unix(1_800_000_000, 0)
	var rows []upstream.Status
	reads := 0
	d := &directory{
		snapshot: func() *upstream.Snapshot {
			reads++
			return &upstream.Snapshot{
				Rows: rows,
			}
		},
		now: func() time.Time { return now },
	}
	steps := []struct {
		rows    []upstream.Status
		address ident.Address
		known   bool
	}{
		{},
		{rows: []upstream.Status{row(1, "a", upstream.StateEjected)}, address: "a", known: true},
		{rows: []upstream.Status{row(1, "a", upstream.StateLive), row(2, "b", upstream.StateStarting)}, address: "b", known: true},
		{rows: []upstream.Status{row(1, "a", upstream.StateGone), row(2, "b", upstream.StateLeaving)}},
	}
	for i, step := range steps {
		rows = step.rows
		for range 3 {
			address, known := d.address("engine-1")
			c.Assert(address, qt.Equals, step.address)
			c.Assert(known, qt.Equals, step.known)
		}
		c.Assert(reads, qt.Equals, i+1)
		now = now.Add(orderTickInterval)
	}
}
