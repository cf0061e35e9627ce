package routes_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Guards against requests that are refused by a host which learns of the table a moment
// later, and against ones that wait for a table that does not come.
func TestAwait(t *testing.T) {
	tests := map[string]struct {
		offered time.Duration // when the table is offered; negative means never
		waited  time.Duration
	}{
		"known":         {offered: 0, waited: 0},
		"soon":          {offered: 100 * time.Millisecond, waited: 100 * time.Millisecond},
		"after a while": {offered: time.Second, waited: 300 * time.Millisecond},
		"never":         {offered: -1, waited: 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				holder := &routes.Holder{}
				if test.offered == 0 {
					holder.Offer(table(1))
				}
				if test.offered > 0 {
					time.AfterFunc(test.offered, func() { holder.Offer(table(1)) })
				}
				started := time.Now()
				got := holder.Await(t.Context(), 300*time.Millisecond)
				c.Check(time.Since(started), qt.Equals, test.waited)
				c.Check(got != nil, qt.Equals, test.offered >= 0 && test.offered <= test.waited)
				time.Sleep(2 * time.Second) // until the table has been offered
			})
		})
	}
}
