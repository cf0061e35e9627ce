package system

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry host that asks for callers before it knows an
// upstream, and refuses their requests.
func TestReadinessNeedsUpstreams(t *testing.T) {
	t.Parallel()
	d := start(t, setup{
		unlisted: true,
	})
	await(t, "documents", func() bool {
		status, ok := d.status(1)
		qt.Assert(t, status.Ready, qt.IsFalse)
		return ok && len(status.Documents) > 0
	})
	qt.Assert(t, d.ready(1), qt.IsFalse)
}
