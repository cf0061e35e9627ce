package system

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// outOfStepTries is how often a caller tries to take up a stream at the host that is out of
	// step, and outOfStepPause the time between two tries.
	outOfStepTries = 20
	outOfStepPause = 150 * time.Millisecond
	// joinedLife is the time for which callers receive streams, until their upstream or host
	// ends.
	joinedLife = 800 * time.Millisecond
	// beginTimeout bounds the wait for streams to begin: the stages of some are at the host that
	// is out of step until another one runs them.
	beginTimeout = 3 * time.Second
	// joinedRelease is the release of the upstream that joins.
	joinedRelease = "v2"
	// joinedDomain is the failure domain of the upstream that joins.
	joinedDomain = "d2"
	// minJoinedStreams is the number of streams that the upstream has to begin, of
	// releaseStreams, for a play to show anything.
	minJoinedStreams = 2
)

// outOfStep is a play in which a host is cut off, or stands still, while an upstream of a new
// release joins, begins streams and crashes. Times count from the beginning of the trouble.
type outOfStep struct {
	cut    [2]bool // directions of the links that are cut: to the host, from the host; none if it stands still
	length time.Duration
	join   time.Duration // when the upstream registers
}

// cutOff cuts a host off from the store and from all other hosts: data to it, from it, or both.
func (c *soakCluster) cutOff(h *relayHost, to, from bool) {
	toServer := linkFault{
		Block: [2]bool{to, from},
	}
	fromClient := linkFault{
		Block: [2]bool{from, to},
	}
	h.peers.setFault(toServer)
	h.store.setFault(fromClient)
	for _, other := range c.hosts {
		if other != h {
			other.peers.setSenderFault(h.process.command.Process.Pid, fromClient)
		}
	}
}

// disturb begins the trouble of a play, and ends it after its length.
func (c *soakCluster) disturb(h *relayHost, p outOfStep) {
	if p.cut == [2]bool{} {
		c.pauseHost(h, p.length)
		return
	}
	c.cutOff(h, p.cut[0], p.cut[1])
	time.Sleep(p.length)
	c.cutOff(h, false, false)
}

// addEngine starts and registers an upstream of joinedRelease in a slot of its own.
func (c *soakCluster) addEngine() *upstreamSlot {
	slot := &upstreamSlot{
		config: standin.UpstreamConfig{
			Service:       "pool",
			Kind:          standin.Engine,
			Release:       joinedRelease,
			Latency:       20 * time.Millisecond,
			EventInterval: releaseInterval,
			Events:        soakEvents,
			Slots:         50,
			Domain:        joinedDomain, // gives it an id that no other has
		},
		forwarder: newForwarder(c.ctx, c.t, c.newAddress(), ""),
	}
	c.slots = append(c.slots, slot)
	c.startNewUpstream(slot)
	return slot
}

// startReleaseCluster starts a cluster whose engines all have the release v1.
func startReleaseCluster(ctx context.Context, t *testing.T) *soakCluster {
	cluster := newSoakCluster(ctx, t)
	for _, slot := range cluster.slots {
		if slot.config.Kind == standin.Engine {
			slot.config.Release = "v1"
			slot.config.EventInterval = releaseInterval
			cluster.crashUpstream(slot, 0) // is back with these settings
		}
	}
	time.Sleep(2 * soakApply) // until all hosts know
	return cluster
}

// newReleaseCluster starts such a cluster for the whole of a test.
func newReleaseCluster(t *testing.T) *soakCluster {
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	cluster := startReleaseCluster(ctx, t)
	t.Cleanup(cancel) // before the servers are closed, which wait for their connections
	return cluster
}

// awaitOpen waits until upstreams of joinedRelease may begin streams, as all hosts that are in
// touch know.
func (c *soakCluster) awaitOpen() {
	await(c.t, "the release in the entry", func() bool {
		entry, err := c.store.Get(c.ctx, "releases")
		return err == nil && strings.Contains(string(entry.Value), joinedRelease)
	})
	time.Sleep(soakApply)
}

// play plays a trouble at the first host. Callers begin streams at the others and take up at
// the first one what breaks off.
func (c *soakCluster) play(ctx context.Context, p outOfStep) []*chat {
	outside := c.hosts[0]
	start := time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		time.Sleep(-p.join)
		c.disturb(outside, p)
	})
	time.Sleep(p.join)
	joined := c.addEngine()
	c.awaitOpen()
	running.Go(func() {
		deadline := time.Now().Add(beginTimeout)
		for len(joined.upstream.Runs()) < minJoinedStreams && time.Now().Before(deadline) {
			time.Sleep(pollInterval)
		}
		time.Sleep(joinedLife)
		joined.forwarder.setFault(linkFault{
			Refuse: true,
		})
		joined.forwarder.reset()
	})
	streams := newChats()
	eachChat(streams, func(i int, s *chat) {
		other := c.hosts[1+i%(len(c.hosts)-1)]
		_ = s.request(ctx, other, func() bool { return false }) // may be broken off
		s.takeUp(ctx, func(int) *relayHost { return outside })
	})
	running.Wait()
	c.t.Logf("played %+v in %s", p, time.Since(start).Round(time.Millisecond))
	return streams
}

// Guards against a host that was cut off, or stood still, while a release joined, and continues
// streams of it at the only release that it knows (review/6, and the report of the machine that
// was out of step).
func TestReleaseJoinsWhileHostIsOutOfStep(t *testing.T) {
	both, to, from := [2]bool{true, true}, [2]bool{true, false}, [2]bool{false, true}
	tests := map[string]outOfStep{
		"cut off, joins within":                {cut: both, length: 7 * time.Second, join: 200 * time.Millisecond},
		"cut off, joins just before":           {cut: both, length: 7 * time.Second, join: -20 * time.Millisecond},
		"cut off, joins before, opens within":  {cut: both, length: 7 * time.Second, join: -600 * time.Millisecond},
		"cut off, joins just after":            {cut: both, length: 400 * time.Millisecond, join: 400 * time.Millisecond},
		"cut off for long":                     {cut: both, length: 10 * time.Second, join: 3 * time.Second},
		"receives nothing, joins within":       {cut: to, length: 7 * time.Second, join: 200 * time.Millisecond},
		"sends nothing, joins within":          {cut: from, length: 7 * time.Second, join: 200 * time.Millisecond},
		"stands still, joins within":           {length: 7 * time.Second, join: 200 * time.Millisecond},
		"stands still, joins just before":      {length: 7 * time.Second, join: -10 * time.Millisecond},
		"stands still, opens within":           {length: 7 * time.Second, join: -600 * time.Millisecond},
		"stands still, joins just after":       {length: time.Second, join: time.Second},
		"stands still for a tenth of a second": {length: 100 * time.Millisecond, join: 0},
		"stands still for long":                {length: 10 * time.Second, join: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deploymentSlots <- struct{}{}
			defer func() { <-deploymentSlots }()
			c := qt.New(t)
			begun, joined := runOutOfStep(t, test)
			c.Check(begun >= minJoinedStreams, qt.IsTrue, qt.Commentf("%d streams begun at the new release", begun))
			c.Check(joined, qt.HasLen, 0)
		})
	}
}

// runOutOfStep plays one play in a cluster of its own. It returns the number of streams that
// the new release has begun, and a description of each that holds events of two releases.
func runOutOfStep(t *testing.T, p outOfStep) (begun int, joined []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cluster := startReleaseCluster(ctx, t)
	streams := cluster.play(ctx, p)
	for _, h := range cluster.hosts {
		h.process.kill(t) // not at the end of the test, which may play many more
	}
	return cluster.joinedStreams(streams)
}

// joinedStreams returns the number of streams that the release v2 has run, and a description of
// each stream that holds events of two releases, and of each other failure.
func (c *soakCluster) joinedStreams(streams []*chat) (begun int, joined []string) {
	for _, s := range streams {
		releases := c.releasesOf(s)
		if releases["v2"] && s.lastEvent > 0 {
			begun++
		}
		if len(releases) > 1 {
			joined = append(joined, fmt.Sprintf("stream %s, requests %s, releases %v", s.origin, s.requests, releases))
		}
	}
	return begun, append(joined, c.failures...)
}

// TestSoakOutOfStep executes random plays like those of TestReleaseJoinsWhileHostIsOutOfStep.
// To run 50 new ones:
//
//	go test ./internal/system -run TestSoakOutOfStep -timeout 60m -rapid.checks=50 -rapid.seed=N
func TestSoakOutOfStep(t *testing.T) {
	deploymentSlots <- struct{}{}
	defer func() { <-deploymentSlots }()
	setSoakFlags(t)
	const (
		shortest, longest = 100, 10_000 // of the trouble, in milliseconds
		before, after     = 2000, 200   // by which a join may come before or after it
	)
	rapid.Check(t, func(r *rapid.T) {
		length := rapid.IntRange(shortest, longest).Draw(r, "length")
		p := outOfStep{
			cut:    [2]bool{rapid.Bool().Draw(r, "to"), rapid.Bool().Draw(r, "from")},
			length: time.Duration(length) * time.Millisecond,
			join:   time.Duration(rapid.IntRange(-before, length+after).Draw(r, "join")) * time.Millisecond,
		}
		if _, joined := runOutOfStep(t, p); len(joined) > 0 {
			r.Fatalf("%+v: %s", p, strings.Join(joined, "\n"))
		}
	})
}

// Guards against a host that refuses to continue streams although no other release can have
// begun them: the store is away for all hosts, or for this one only.
func TestStreamsTakenUpWithoutStore(t *testing.T) {
	tests := map[string]func(c *soakCluster, h *relayHost){
		"away for all hosts": func(c *soakCluster, _ *relayHost) {
			c.faultyStore.update(func(p *faultyStore) { p.down = true })
		},
		"silent for all hosts": func(c *soakCluster, _ *relayHost) {
			for _, h := range c.hosts {
				h.store.setFault(linkFault{Block: [2]bool{true, true}})
			}
		},
		"silent for one host": func(_ *soakCluster, h *relayHost) {
			h.store.setFault(linkFault{Block: [2]bool{true, true}})
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cluster := newReleaseCluster(t)
			ctx := cluster.ctx
			begin(cluster, cluster.hosts[0])
			time.Sleep(2 * time.Second)
			streams := newChats()
			eachChat(streams, func(i int, s *chat) {
				_ = s.request(ctx, cluster.hosts[1+i%(len(cluster.hosts)-1)], func() bool { return s.lastEvent == 2 })
				_ = s.request(ctx, cluster.hosts[0], func() bool { return false })
			})
			c.Check(countComplete(streams), qt.Equals, releaseStreams)
		})
	}
}

// Guards against hosts that start while the store comes back from a backup that lacks the first
// upstream of a release, and continue streams of it at the only release that they find.
func TestReleaseLostInRestore(t *testing.T) {
	c := qt.New(t)
	cluster := newReleaseCluster(t)
	ctx := cluster.ctx
	backup := cluster.store.Backup()
	joined := cluster.addEngine()
	cluster.awaitOpen()
	streams := newChats()
	killed := make(chan struct{})
	time.AfterFunc(joinedLife, func() {
		defer close(killed)
		cluster.store.Restore(backup)
		eachHost(cluster, func(h *relayHost) { cluster.restart(h, syscall.SIGKILL, 0) })
		time.Sleep(joinedLife)
		cluster.register(joined.upstream, joined.forwarder.address)
	})
	eachChat(streams, func(i int, s *chat) {
		_ = s.request(ctx, cluster.hosts[i%soakHosts], func() bool { return false }) // is broken off
		s.takeUp(ctx, func(try int) *relayHost { return cluster.hosts[(i+1+try)%soakHosts] })
	})
	<-killed
	begun, mixed := cluster.joinedStreams(streams)
	c.Check(begun >= minJoinedStreams, qt.IsTrue, qt.Commentf("%d streams begun at the new release", begun))
	c.Check(mixed, qt.HasLen, 0)
}

// takeUp takes the stream up, if it has begun, until it is complete.
func (s *chat) takeUp(ctx context.Context, host func(try int) *relayHost) {
	for try := range outOfStepTries {
		if s.complete || s.lastEvent == 0 {
			return
		}
		_ = s.request(ctx, host(try), func() bool { return false }) // may be refused
		time.Sleep(outOfStepPause)
	}
}

// countComplete returns the number of streams that their callers have received whole.
func countComplete(streams []*chat) int {
	complete := 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
	}
	return complete
}

// newChats returns streams that callers are about to request.
func newChats() []*chat {
	var streams []*chat
	for i := range releaseStreams {
		streams = append(streams, &chat{
			origin: ident.RequestID(fmt.Sprint("s", i)),
		})
	}
	return streams
}

// Guards against streams that nobody continues because their hosts were killed a moment after the
// first upstream of another release had joined, before they had recorded them (review/10).
func TestHostsKilledWhenReleaseJoins(t *testing.T) {
	c := qt.New(t)
	cluster := newReleaseCluster(t)
	ctx := cluster.ctx
	streams := newChats()
	killed := make(chan struct{})
	time.AfterFunc(joinedLife, func() {
		defer close(killed)
		cluster.addEngine()
		time.Sleep(joinedLife / 4)
		eachHost(cluster, func(h *relayHost) {
			if h.number > 0 {
				cluster.restart(h, syscall.SIGKILL, 0)
			}
		})
	})
	eachChat(streams, func(i int, s *chat) {
		_ = s.request(ctx, cluster.hosts[1+i%(soakHosts-1)], func() bool { return false }) // is broken off
		s.takeUp(ctx, func(int) *relayHost { return cluster.hosts[0] })
	})
	<-killed
	c.Check(2*countComplete(streams) >= releaseStreams, qt.IsTrue, qt.Commentf("%d of %d streams complete", countComplete(streams), releaseStreams))
	_, joined := cluster.joinedStreams(streams)
	c.Check(joined, qt.HasLen, 0)
}
