package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a host that ends because its verdict names a crash that has expired: a report
// that it knew arrived just then.
func TestEvidenceAfterKnownReport(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	for i := range 4 {
		h.crash(process(i), prompt("cause"))
	}
	c.Assert(h.Evidence(), qt.HasLen, 3)
	*h.now = h.reports[0].At.Add(15 * time.Minute)
	h.Merge(h.reports[3])
	c.Check(h.Evidence(), qt.HasLen, 3)
	*h.now = h.reports[1].At.Add(15 * time.Minute)
	h.Merge(h.reports[3])
	c.Check(h.Evidence(), qt.HasLen, 0, qt.Commentf("too few crashes are left"))
}
