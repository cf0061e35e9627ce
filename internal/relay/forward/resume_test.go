package forward_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
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
				f := startHost(t, memkv.New(time.Now), test.software, 0, breaks, whole)
				c.Check(f.post(c, "/resumable/x", nil).broken, qt.Equals, !test.goesOn)
				sentTo := f.sentTo()
				c.Assert(len(sentTo) == 2, qt.Equals, test.goesOn)
				c.Check(sentTo[len(sentTo)-1], qt.Equals, sentTo[0])
			}
		})
	}
}

// record writes the streams of a host to the store, as it does while it runs.
func (f *fixture) record(store kv.Store, host ident.HostID) {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	_ = resumption.NewRecorder(resumption.RecorderConfig{
		Store:    store,
		Host:     host,
		Started:  time.Now(),
		Releases: f.releases,
		Streams:  f.streams,
		Epoch:    func() kv.Epoch { return 0 },
		Share:    func(context.Context, []byte) error { return kv.ErrUnavailable },
		Log:      zerolog.Nop(),
	}).Run(ctx)
}

// Guards against a stream that goes on at another release of the software when its caller
// takes it up at a host that has never seen it, since all hosts have ended.
func TestStreamRejoinedAfterKillOfAllHosts(t *testing.T) {
	breaks := scriptedResponse{
		text: stream + events(1, 2),
	}
	rest := scriptedResponse{
		text: stream + events(3) + endOfChunks,
	}
	tests := map[string]struct {
		recorded bool
		later    []fleet.Release // after the kill
		status   int
	}{
		"recorded":                  {recorded: true, later: []fleet.Release{"v1", "v2"}, status: 200},
		"not recorded":              {later: []fleet.Release{"v1", "v2"}, status: 503},
		"the other release is left": {recorded: true, later: []fleet.Release{"v3"}, status: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store := memkv.New(time.Now)
			before := startHost(t, store, []fleet.Release{"v1", "v2"}, 0, breaks)
			c.Assert(before.post(c, "/resumable/x", nil).broken, qt.IsTrue)
			if test.recorded {
				before.record(store, "before")
			}
			entry, err := before.releases.Entry(nil)
			c.Assert(err, qt.IsNil)

			for range 8 { // upstreams are chosen at random
				after := startHost(t, store, test.later, 0, rest)
				c.Assert(after.releases.Learn(entry), qt.IsNil)
				response := after.post(c, "/resumable/x", map[string]string{
					"Id":     "r2",
					"Origin": "r1",
					"Last":   "2",
				})
				c.Check(response.status, qt.Equals, test.status)
				c.Check(response.retryAfter, qt.Equals, test.status == 503)
				if test.status != 200 {
					c.Check(after.sentTo(), qt.HasLen, 0)
					continue
				}
				c.Check(after.sentTo(), qt.DeepEquals, before.sentTo())
				c.Check(strings.Count(response.body, "data:"), qt.Equals, 1)
			}
		})
	}
}

// Guards against a stream that begins at another release than its coordinator has noted, at a
// host that does not know the proposed upstream and so records nothing: whoever takes the stream
// up finds the note of the coordinator only.
func TestProposedUpstreamIsNotKnown(t *testing.T) {
	tests := map[string]struct {
		err    error // of the verification
		status int
		sentTo []fleet.Release
	}{
		"becomes known":    {status: 200, sentTo: []fleet.Release{"v2"}},
		"the host is late": {err: discovery.ErrUnverified, status: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := startHost(t, memkv.New(time.Now), []fleet.Release{"v1"}, 0, scriptedResponse{
				text: stream + events(1, 2, 3) + endOfChunks,
			})
			joined := registration(1, "", 1)
			known, _ := f.directory.Snapshot().Upstream("u0")
			joined.Upstream.Address, joined.Upstream.Release = known.Address, "v2"
			f.stager.upstream = joined.Upstream.ID
			f.verify = func() error {
				if test.err == nil {
					f.directory.Put(joined)
				}
				return test.err
			}
			c.Check(f.post(c, "/staged/x", map[string]string{"Pieces": "1"}).status, qt.Equals, test.status)
			c.Check(f.sentTo(), qt.DeepEquals, test.sentTo)
		})
	}
}

// Guards against a stream that begins at another release than a coordinator has noted before other
// hosts can find that: they would take it up at the release that was proposed (review/12). The
// coordinator may be one that has not replied.
func TestRequestMovesOnceThatIsRecorded(t *testing.T) {
	full := status(503, "Not-Run: 1\r\n")
	whole := scriptedResponse{
		text: stream + events(1, 2, 3) + endOfChunks,
	}
	tests := map[string]struct {
		software  []fleet.Release
		responses []scriptedResponse
		contests  bool
		recorded  bool
		status    int
		sentTo    []fleet.Release
	}{
		"recorded":                {software: []fleet.Release{"v1", "v2"}, responses: []scriptedResponse{full, whole}, recorded: true, status: 200, sentTo: []fleet.Release{"v1", "v2"}},
		"not recorded":            {software: []fleet.Release{"v1", "v2"}, responses: []scriptedResponse{full, whole}, status: 503, sentTo: []fleet.Release{"v1"}},
		"contested, recorded":     {software: []fleet.Release{"v1", "v2"}, responses: []scriptedResponse{whole}, contests: true, recorded: true, status: 200, sentTo: []fleet.Release{"v1"}},
		"contested, not recorded": {software: []fleet.Release{"v1", "v2"}, responses: []scriptedResponse{whole}, contests: true, status: 503},
		"contested, one release":  {software: []fleet.Release{"v1", "v1"}, responses: []scriptedResponse{whole}, contests: true, status: 200, sentTo: []fleet.Release{"v1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store := memkv.New(time.Now)
			f := startHost(t, store, test.software, 0, test.responses...)
			f.stager.upstream, f.stager.contests = "u0", test.contests
			recorded := make(chan struct{})
			go func() {
				defer close(recorded)
				if test.recorded {
					f.record(store, "here")
				}
			}()
			response := f.post(c, "/staged/x", map[string]string{"Pieces": "1"})
			<-recorded
			c.Check(response.status, qt.Equals, test.status)
			c.Check(response.retryAfter, qt.Equals, test.status == 503)
			c.Check(f.sentTo(), qt.DeepEquals, test.sentTo)
		})
	}
}
