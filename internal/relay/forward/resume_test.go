package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// sentTo returns the releases of the upstreams to which requests were sent.
func (f *fixture) sentTo() []fleet.Release {
	f.upstreams.mu.Lock()
	defer f.upstreams.mu.Unlock()
	var releases []fleet.Release
	for _, id := range f.upstreams.targets {
		upstream, _ := f.directory.Snapshot().Upstream(ident.UpstreamID(id))
		releases = append(releases, upstream.Release)
	}
	return releases
}

// Guards against a stream that breaks off and goes on at another release of the software.
func TestStreamOfTwoReleases(t *testing.T) {
	breaks := scriptedResponse{
		text: stream + events(1, 2),
	}
	whole := scriptedResponse{
		text: stream + events(1, 2, 3) + endOfChunks,
	}
	tests := map[string]struct {
		software []fleet.Release
		goesOn   bool
	}{
		"one upstream of each release":  {software: []fleet.Release{"v1", "v2"}},
		"two upstreams of each release": {software: []fleet.Release{"v1", "v1", "v2", "v2"}, goesOn: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 8 { // upstreams are chosen at random
				c := qt.New(t)
				f := startHost(t, test.software, 0, breaks, whole)
				c.Check(f.post(c, "/resumable/x", nil).broken, qt.Equals, !test.goesOn)
				sentTo := f.sentTo()
				c.Assert(len(sentTo) == 2, qt.Equals, test.goesOn)
				c.Check(sentTo[len(sentTo)-1], qt.Equals, sentTo[0])
			}
		})
	}
}
