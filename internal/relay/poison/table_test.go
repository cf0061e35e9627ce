package poison_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
)

// Guards against a request that crashes one upstream after the other, and
// against harmless requests that stay blocked.
func TestTable(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := poison.NewTable(func() time.Time { return now })
	bad := poison.NewFingerprint("o", "/x", []byte("body"))
	c.Check(table.Empty(), qt.IsTrue)
	for strikes := 1; strikes <= 3; strikes++ {
		c.Check(table.Blocked(bad), qt.IsFalse)
		c.Check(table.Strike(bad), qt.Equals, strikes)
	}
	c.Check(table.Blocked(bad), qt.IsTrue)
	for name, other := range map[string]poison.Fingerprint{
		"organisation": poison.NewFingerprint("p", "/x", []byte("body")),
		"target":       poison.NewFingerprint("o", "/y", []byte("body")),
		"body":         poison.NewFingerprint("o", "/x", []byte("bodies")),
		"division":     poison.NewFingerprint("o", "/xb", []byte("ody")),
	} {
		c.Check(table.Blocked(other), qt.IsFalse, qt.Commentf("another %s", name))
	}
	now = now.Add(16 * time.Minute)
	c.Check(table.Blocked(bad), qt.IsFalse)
	c.Check(table.Strike(bad), qt.Equals, 1)
}

// Guards against strikes that are known only to the host that saw the crash, and
// against a count that decreases.
func TestMerge(t *testing.T) {
	c := qt.New(t)
	table := poison.NewTable(time.Now)
	bad := poison.NewFingerprint("o", "/x", nil)
	table.Merge(bad, 2)
	table.Merge(bad, 1)
	c.Check(table.Strike(bad), qt.Equals, 3)
	c.Check(table.Blocked(bad), qt.IsTrue)
}

// Guards against a table that grows with every crash.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := poison.NewTable(func() time.Time { return now })
	first := poison.NewFingerprint("o", "0", nil)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		table.Merge(poison.NewFingerprint("o", fmt.Sprint(i), nil), 3)
	}
	c.Check(table.Blocked(first), qt.IsFalse, qt.Commentf("the oldest entry is evicted"))
	c.Check(table.Blocked(poison.NewFingerprint("o", "4999", nil)), qt.IsTrue)
}
