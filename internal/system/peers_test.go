package system

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
)

const (
	startedByPeer = "started with documents of a peer"
	listingFailed = "document: listing failed"
	noDocument    = "no service document is known"
	// failedListings are several rounds of attempts, with pulls in between.
	failedListings = 3
)

// Guards against an entry host that cannot start while the store is down though
// a peer has the documents, one that asks for callers without documents, and a
// refusal as unknown of a submission whose claim never left the host.
func TestStartWithoutStore(t *testing.T) {
	tests := map[string]struct {
		around func(d *deployment, t *testing.T) // the other hosts
		ready  bool                              // while the store is down
	}{
		"peers run":               {around: func(*deployment, *testing.T) {}, ready: true},
		"one peer frozen":         {around: func(d *deployment, t *testing.T) { d.hosts[2].freeze(t) }, ready: true},
		"one peer killed":         {around: func(d *deployment, t *testing.T) { d.hosts[3].kill(t) }, ready: true},
		"peers killed":            {around: (*deployment).killPeers},
		"links to all peers cut":  {around: func(d *deployment, _ *testing.T) { d.links.cutAll() }},
		"link to one peer is cut": {around: func(d *deployment, _ *testing.T) { d.links.cut(1, 2) }, ready: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{
				linked: true,
			})
			d.storeFaults(platform.Faults{
				Down: true,
			})
			d.hosts[1].kill(t)
			test.around(d, t)
			d.startHost(1)
			if test.ready {
				d.awaitReady(1)
				qt.Check(t, d.hosts[1].output.count(startedByPeer), qt.Equals, 1)
				qt.Check(t, int(d.revision(1)), qt.Equals, 1)
				d.checkRead(1, "down")
				for owner := 1; owner <= entries; owner++ {
					r := d.send(1, http.MethodPost, enterPath, fmt.Sprintf(`{"submission":%q}`, d.ownedBy(t, owner)))
					qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("owner %d: %s", owner, r.body))
					qt.Check(t, r.ran(), qt.Equals, false)
				}
				return
			}
			await(t, "attempts to read the store", func() bool {
				status, ok := d.status(1)
				if ok && (status.Ready || status.Reason != noDocument) {
					t.Fatalf("ready: %t, reason %q", status.Ready, status.Reason)
				}
				return d.hosts[1].output.count(listingFailed) >= failedListings
			})
			qt.Check(t, d.hosts[1].output.count(startedByPeer), qt.Equals, 0)
			d.storeFaults(platform.Faults{})
			d.awaitReady(1)
			d.checkRead(1, "up")
		})
	}
}

func (d *deployment) killPeers(t *testing.T) {
	for i := 2; i <= entries; i++ {
		d.hosts[i].kill(t)
	}
}
