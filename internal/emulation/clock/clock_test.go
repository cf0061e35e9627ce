package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
)

// Guards against events out of order, which would make runs irreproducible.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	clock := clock.New(time.Unix(0, 0))
	var order []string
	record := func(name string) func() {
		return func() { order = append(order, name) }
	}
	clock.After(2*time.Second, record("late"))
	clock.After(time.Second, record("first of two"))
	clock.After(time.Second, func() {
		record("second of two")()
		clock.After(0, record("at once"))
		clock.After(-time.Second, record("in the past"))
	})
	clock.Run()
	c.Check(order, qt.DeepEquals, []string{"first of two", "second of two", "at once", "in the past", "late"})
	c.Check(clock.Elapsed(), qt.Equals, 2*time.Second)
}
