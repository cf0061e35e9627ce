package resumption_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// countingStore counts writes, and loses the response to some.
type countingStore struct {
	kv.Store
	puts    atomic.Int32
	lose    atomic.Int32 // further responses to lose
	refuses atomic.Bool  // every write
	silent  atomic.Bool  // gives no response to a write
}

func (s *countingStore) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	s.puts.Add(1)
	if s.refuses.Load() {
		return 0, kv.ErrUnavailable
	}
	if s.silent.Load() {
		<-ctx.Done()
		return 0, errors.Annotate(kv.ErrUncertain, "no response")
	}
	version, err := s.Store.Put(ctx, put)
	if err == nil && s.lose.Add(-1) >= 0 {
		return 0, errors.Annotate(kv.ErrUncertain, "response is lost")
	}
	return version, err
}

// recordingHost returns the streams of a host that records them until the test ends, in a store
// that keeps its entries in backing. Two releases are in service.
func recordingHost(t *testing.T, name ident.HostID, store kv.Store, backing *memkv.Store) (*resumption.Streams, *resumption.Records) {
	return recordAt(t, newMixedHost(), name, store, backing)
}

// newMixedHost returns a host with two releases in service.
func newMixedHost() *host {
	h := newHost(time.Now())
	h.register("a", "v1")
	h.register("b", "v2")
	return h
}

// sharingHosts returns the streams of two hosts that record them. The first one's store may be
// disturbed, and the second one records its notes then, in a store that keeps its entries in
// backing.
func sharingHosts(t *testing.T, disturb func(s *countingStore), backing *memkv.Store) (streams, other *resumption.Streams, records *resumption.Records) {
	other, records = recordingHost(t, "other", backing, backing)
	store := &countingStore{
		Store: backing,
	}
	disturb(store)
	h := newMixedHost()
	h.share = other.Adopt
	streams, _ = recordAt(t, h, "host", store, backing)
	return streams, other, records
}

// unshared stands for other hosts that write nothing.
func unshared(context.Context, []byte) error { return kv.ErrUnavailable }

// recordAt is recordingHost for a host with other releases.
func recordAt(t *testing.T, h *host, name ident.HostID, store kv.Store, backing *memkv.Store) (*resumption.Streams, *resumption.Records) {
	records := resumption.NewRecords(store, func() bool { return true }, zerolog.Nop())
	streams := resumption.NewStreams(h.releases, records, verified, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func(ctx context.Context) {
		ended <- resumption.NewRecorder(resumption.RecorderConfig{
			Store:    store,
			Host:     name,
			Started:  time.Now(),
			Releases: h.releases,
			Streams:  streams,
			Epoch:    backing.Epoch,
			Share:    h.share,
			Log:      zerolog.Nop(),
		}).Run(ctx)
	}(ctx)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return streams, records
}

var stream = resumption.Stream{
	Origin:  "r1",
	Service: "s",
}

// send records that a request is sent to a release, as far as the store takes that.
func send(r *resumption.Run, release fleet.Release) {
	_ = r.Sent(context.Background(), release)
}

// Guards against streams that no other host can find, or for which it finds a release that
// has not begun them.
func TestFind(t *testing.T) {
	const none = fleet.Release("")
	propose := func(s *resumption.Streams) { s.Propose(stream, "v1") }
	tests := map[string]struct {
		coordinator func(s *resumption.Streams) // nil if it has proposed nothing
		run         func(r *resumption.Run)
		lose        int32
		want        fleet.Release
	}{
		"begun":          {run: func(r *resumption.Run) { send(r, "v1"); r.Began("v1") }, want: "v1"},
		"about to begin": {run: func(r *resumption.Run) { send(r, "v1") }, want: "v1"},
		"broken off":     {run: func(r *resumption.Run) { send(r, "v1"); r.Began("v1"); r.End(false) }, want: "v1"},
		"complete":       {run: func(r *resumption.Run) { send(r, "v1"); r.Began("v1"); r.End(true) }, want: "v1"},
		"moves before it begins": {run: func(r *resumption.Run) {
			send(r, "v1")
			send(r, "v2")
		}, want: "v2"},
		"moves there and back": {run: func(r *resumption.Run) {
			send(r, "v1")
			send(r, "v2")
			send(r, "v1")
		}, want: "v1"},
		"begun by the second": {run: func(r *resumption.Run) {
			send(r, "v1")
			send(r, "v2")
			r.Began("v2")
		}, want: "v2"},
		"never sent":                      {run: func(*resumption.Run) {}, want: none},
		"a response of the store is lost": {run: func(r *resumption.Run) { send(r, "v1"); r.Began("v1") }, lose: 1, want: "v1"},

		"proposed":                        {coordinator: propose, run: func(r *resumption.Run) { r.Proposed("v1"); send(r, "v1") }, want: "v1"},
		"proposed, sent elsewhere":        {coordinator: propose, run: func(r *resumption.Run) { r.Proposed("v1"); send(r, "v2") }, want: "v2"},
		"proposed, begun elsewhere":       {coordinator: propose, run: func(r *resumption.Run) { r.Proposed("v1"); send(r, "v2"); r.Began("v2") }, want: "v2"},
		"proposed by an unknown upstream": {coordinator: propose, run: func(r *resumption.Run) { r.Proposed(""); send(r, "v2"); r.Began("v2") }, want: "v2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backing := memkv.New(time.Now)
			store := &countingStore{
				Store: backing,
			}
			store.lose.Store(test.lose)
			coordinator, records := recordingHost(t, "coordinator", store, backing)
			host, _ := recordingHost(t, "host", store, backing)
			if test.coordinator != nil {
				test.coordinator(coordinator)
			}
			test.run(host.NewRun(stream))
			time.Sleep(1500 * time.Millisecond) // both record
			found, _ := records.Find(context.Background(), stream)
			qt.Check(t, found, qt.Equals, test.want)
		})
	}
}

// Guards against a release that is remembered from an earlier reading of the records,
// although the request has been sent to another one since.
func TestFindAfterRetry(t *testing.T) {
	c := qt.New(t)
	store := memkv.New(time.Now)
	host, records := recordingHost(t, "host", store, store)
	run := host.NewRun(stream)
	c.Assert(run.Sent(context.Background(), "v1"), qt.IsNil)
	time.Sleep(time.Second)
	found, err := records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v1"))
	c.Assert(run.Sent(context.Background(), "v2"), qt.IsNil)
	run.Began("v2")
	run.End(false)
	time.Sleep(time.Second)
	found, err = records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v2"))
}

// Guards against a host that ends before other hosts find that its request has moved to another
// release, whether or not the store takes its notes: they find the one that was proposed and
// continue the stream there (review/12).
func TestFindAfterMove(t *testing.T) {
	for name, refuses := range map[string]bool{
		"the store takes the note":   false,
		"the store refuses the host": true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			backing := memkv.New(time.Now)
			store := &countingStore{
				Store: backing,
			}
			store.refuses.Store(refuses)
			coordinator, records := recordingHost(t, "coordinator", backing, backing)
			host, _ := recordingHost(t, "host", store, backing)
			coordinator.Propose(stream, "v1")
			time.Sleep(time.Second) // is recorded
			run := host.NewRun(stream)
			run.Proposed("v1")
			err := run.Sent(context.Background(), "v2")
			c.Assert(err != nil, qt.Equals, refuses) // the stream does not begin then
			if refuses {
				c.Check(err, qt.ErrorIs, resumption.ErrUnrecorded)
				return
			}
			found, err := records.Find(context.Background(), stream)
			c.Assert(err, qt.IsNil)
			c.Check(found, qt.Equals, fleet.Release("v2"))
		})
	}
}

// Guards against streams that no host can continue, since the store does not serve the only one
// that has noted where they begin (review/13), and against requests that cannot move there.
func TestOtherHostRecords(t *testing.T) {
	tests := map[string]func(s *countingStore){
		"the store refuses the host":    func(s *countingStore) { s.refuses.Store(true) },
		"the store is silent":           func(s *countingStore) { s.silent.Store(true) },
		"the store loses its responses": func(s *countingStore) { s.lose.Store(100) },
		"the store serves the host":     func(*countingStore) {},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			backing := memkv.New(time.Now)
			streams, _, records := sharingHosts(t, disturb, backing)
			streams.Propose(stream, "v1")
			time.Sleep(1200 * time.Millisecond)
			found, err := records.Find(context.Background(), stream)
			c.Assert(err, qt.IsNil)
			c.Check(found, qt.Equals, fleet.Release("v1"))
			run := streams.NewRun(stream)
			run.Proposed("v1")
			c.Assert(run.Sent(context.Background(), "v2"), qt.IsNil)
			found, err = records.Find(context.Background(), stream)
			c.Assert(err, qt.IsNil)
			c.Check(found, qt.Equals, fleet.Release("v2"))
		})
	}
}

// Guards against a host that says to have recorded what it has not: a damaged record, or one for
// which the store does not serve it either.
func TestAdopt(t *testing.T) {
	tests := map[string]struct {
		record  string
		refuses bool
		want    error
	}{
		"recorded":       {record: `{"s":{"v1":{"sent":["r1"],"moved":{"r2":1},"begun":["r3"]}}}`},
		"store refuses":  {record: `{"s":{"v1":{"sent":["r1"]}}}`, refuses: true, want: resumption.ErrUnrecorded},
		"no record":      {record: `{`, want: errors.NotValid},
		"without notes":  {record: `{"s":{"v1":null}}`, want: errors.NotValid},
		"too many notes": {record: `{"s":{"v1":{"sent":[""` + strings.Repeat(`,""`, 1024) + `]}}}`, want: errors.NotValid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			backing := memkv.New(time.Now)
			store := &countingStore{
				Store: backing,
			}
			store.refuses.Store(test.refuses)
			streams, records := recordingHost(t, "other", store, backing)
			err := streams.Adopt(context.Background(), []byte(test.record))
			if test.want != nil {
				c.Check(err, qt.ErrorIs, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			for _, origin := range []ident.RequestID{"r1", "r2", "r3"} {
				found, err := records.Find(context.Background(), resumption.Stream{
					Origin:  origin,
					Service: "s",
				})
				c.Check(err, qt.IsNil)
				c.Check(found, qt.Equals, fleet.Release("v1"))
			}
		})
	}
}

// Guards against a release that is taken from a reading before the call: a host that stood still
// since does not know how old that is, and the stream may have begun at another release.
func TestFindAfterPause(t *testing.T) {
	c := qt.New(t)
	store := memkv.New(time.Now)
	version := kv.Version(0)
	record := func(value string) {
		written, err := store.Put(context.Background(), kv.Put{
			Key:    resumption.Prefix + "host/1/1",
			Value:  []byte(value),
			Expect: version,
		})
		c.Assert(err, qt.IsNil)
		version = written
	}
	records := resumption.NewRecords(store, func() bool { return true }, zerolog.Nop())
	record(`{"s":{"v1":{"sent":["r1"]}}}`)
	found, err := records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v1"))
	record(`{"s":{"v1":{"sent":["r1"]},"v2":{"begun":["r1"]}}}`)
	found, err = records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v2"))
}

// Guards against notes that a restore of the store has lost, in records that get no more notes,
// and against records of a restored store that lack the last word on a stream.
func TestFindAfterRestore(t *testing.T) {
	c := qt.New(t)
	store := memkv.New(time.Now)
	host, records := recordingHost(t, "host", store, store)
	backup := store.Backup()
	run := host.NewRun(stream)
	c.Assert(run.Sent(context.Background(), "v1"), qt.IsNil)
	time.Sleep(time.Second)
	found, err := records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v1"))
	store.Restore(backup)
	time.Sleep(time.Second)
	found, err = records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v1"))
	unsettled := resumption.NewRecords(store, func() bool { return false }, zerolog.Nop())
	_, err = unsettled.Find(context.Background(), stream)
	c.Check(err, qt.ErrorIs, resumption.ErrUnknown)
	c.Assert(run.Sent(context.Background(), "v2"), qt.IsNil)
	run.Began("v2")
	time.Sleep(time.Second)
	found, err = unsettled.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v2"))
}

// Guards against a move that a restore of the store has lost, while the proposal before it is in the
// backup, whether the host has recorded it or another one.
func TestMoveAfterRestore(t *testing.T) {
	for name, refuses := range map[string]bool{
		"recorded by the host":    false,
		"recorded by another one": true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			backing := memkv.New(time.Now)
			host, other, records := sharingHosts(t, func(s *countingStore) { s.refuses.Store(refuses) }, backing)
			other.Propose(stream, "v1")
			time.Sleep(time.Second) // is recorded
			backup := backing.Backup()
			run := host.NewRun(stream)
			run.Proposed("v1")
			c.Assert(run.Sent(context.Background(), "v2"), qt.IsNil)
			backing.Restore(backup)
			time.Sleep(1500 * time.Millisecond) // is recorded again
			found, err := records.Find(context.Background(), stream)
			c.Assert(err, qt.IsNil)
			c.Check(found, qt.Equals, fleet.Release("v2"))
		})
	}
}

// Guards against a caller whose long request ids keep the streams of all others from being
// recorded, and against a write for each of many streams that break off.
func TestRecordsUnderPressure(t *testing.T) {
	c := qt.New(t)
	backing := memkv.New(time.Now)
	store := &countingStore{
		Store: backing,
	}
	host, records := recordingHost(t, "host", store, backing)
	start := time.Now()
	for i := range 1500 {
		r := host.NewRun(resumption.Stream{
			Origin:  ident.RequestID(strings.Repeat("x", 30_000+i)),
			Service: "s",
		})
		c.Assert(r.Sent(context.Background(), "v1"), qt.IsNil)
		r.Began("v1")
		r.End(false)
		if i%5 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	c.Assert(host.NewRun(stream).Sent(context.Background(), "v1"), qt.IsNil)
	time.Sleep(time.Second)
	found, err := records.Find(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v1"))
	c.Check(time.Duration(store.puts.Load()) <= time.Since(start)/(100*time.Millisecond)+1, qt.IsTrue, qt.Commentf("%d writes in %s", store.puts.Load(), time.Since(start)))
}

// Guards against streams of a service that nobody records when it gets its second release, because
// those of another service were recorded meanwhile.
func TestFindAfterOtherService(t *testing.T) {
	c := qt.New(t)
	store := memkv.New(time.Now)
	h := newMixedHost()
	h.registerAt("other", "c", "v1")
	streams, records := recordAt(t, h, "host", store, store)
	early := resumption.Stream{
		Origin:  "r0",
		Service: "other",
	}
	c.Assert(streams.NewRun(early).Sent(context.Background(), "v1"), qt.IsNil)
	c.Assert(streams.NewRun(stream).Sent(context.Background(), "v1"), qt.IsNil)
	time.Sleep(time.Second) // the second stream is recorded
	h.registerAt("other", "d", "v2")
	time.Sleep(time.Second)
	found, err := records.Find(context.Background(), early)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.Equals, fleet.Release("v1"))
}

// verified states that the known fleet is complete.
func verified(context.Context) error { return nil }

// Guards against a host that takes the one release that it knows for the only one, although it
// has started from a stale listing, or has been cut off.
func TestUnverifiedFleet(t *testing.T) {
	tests := map[string]struct {
		err      error // of the verification
		register fleet.Release
		want     fleet.Release
	}{
		"verified":                      {want: "v1"},
		"isolated":                      {err: discovery.ErrIsolated},
		"behind":                        {err: discovery.ErrUnverified},
		"another one has joined":        {register: "v2"},
		"another one, but not verified": {register: "v2", err: discovery.ErrUnverified},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHost(time.Now())
			h.register("a", "v1")
			records := resumption.NewRecords(memkv.New(time.Now), func() bool { return true }, zerolog.Nop())
			streams := resumption.NewStreams(h.releases, records, func(context.Context) error {
				if test.register != "" {
					h.register("b", test.register) // the verification has shown it
				}
				return test.err
			}, time.Now)
			release, err := streams.Release(context.Background(), stream)
			c.Check(err == nil, qt.Equals, test.want != "")
			c.Check(release, qt.Equals, test.want)
		})
	}
}

// Guards against a release that has only been proposed to a request that takes up a stream,
// and is taken for the one that began it when the caller tries again.
func TestProposalIsNoBeginning(t *testing.T) {
	c := qt.New(t)
	store := memkv.New(time.Now)
	streams, _ := recordingHost(t, "host", store, store)
	run := streams.NewRun(stream)
	run.Proposed("v2")
	_, err := streams.Release(context.Background(), stream)
	c.Check(err, qt.ErrorIs, resumption.ErrUnknown)
	c.Assert(run.Sent(context.Background(), "v1"), qt.IsNil)
	run.Began("v1")
	release, err := streams.Release(context.Background(), stream)
	c.Assert(err, qt.IsNil)
	c.Check(release, qt.Equals, fleet.Release("v1"))
}
