package system

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a timeline that lacks the events of another host, shows an effect
// before its cause, or is reported as complete although a host does not respond.
func TestTimelineOverHosts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := startDeployment(t, setup{})
	r := d.send(1, http.MethodPost, entriesPath, fmt.Sprintf(`{"submission":%q}`, d.submissionOwnedBy(t, 2)))
	c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	events := func() *process {
		return launch(t, "nutmegshift", "timeline", "--hosts", string(d.layout.PlatformAddress()), "--request", r.requestID)
	}
	complete := events()
	c.Assert(complete.exit(t), qt.Equals, 0)
	lines := complete.output.String()
	last := -1
	for _, part := range []string{"arrived", "forwarded claim", "claim decided", "claimed identity", "attempt done", "forwarded done", "answered"} {
		at := strings.Index(lines, part)
		c.Check(at > last, qt.IsTrue, qt.Commentf("%q in\n%s", part, lines))
		last = at
	}
	d.hosts[2].kill(t)
	partial := events()
	c.Check(partial.exit(t), qt.Equals, 1)
	c.Check(partial.output.String(), qt.Contains, "franchise-2")
}
