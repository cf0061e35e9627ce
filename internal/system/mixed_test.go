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
	// mixedInterval is the time between two new streams of a play with two releases.
	mixedInterval = 50 * time.Millisecond
	// mixedBefore is how long streams begin before the trouble of a play.
	mixedBefore = time.Second
	// One of mixedShare streams begins at any of the hosts, the others at the one that is killed.
	mixedShare = 3
	// mixedDowntime is the time from the kill of a host to its start.
	mixedDowntime = time.Second
	// minTakenUp is the number of streams that have to be taken up for their share to count.
	minTakenUp = 6
)

// mixedKind is what keeps a host and the store apart.
type mixedKind string

const (
	refuses mixedKind = "the store refuses connections"
	silent  mixedKind = "the store does not respond"
	slow    mixedKind = "the store responds slowly"
	still   mixedKind = "the host stands still"
)

// slowDelay is the time that a slow store adds to each message.
const slowDelay = 300 * time.Millisecond

// mixedTrouble is a play in which engines of two releases serve, the store does not serve one
// host, and a host is killed.
type mixedTrouble struct {
	kind        mixedKind
	coordinator bool          // the host is the coordinator; otherwise another one
	same        bool          // that host is killed; otherwise one that the store serves
	before      time.Duration // from the beginning of the trouble to the kill
	shed        float64       // share of the requests that engines of the first release reject
}

// mixedResult is what the callers of a play have seen.
type mixedResult struct {
	begun   int
	takenUp int
	wentOn  int // of takenUp
	joined  []string
}

// coordinatorOf returns the host that runs the stages of the requests to another one.
func (c *soakCluster) coordinatorOf(ctx context.Context, h *relayHost) *relayHost {
	var found *relayHost
	await(c.t, "coordinator", func() bool {
		s := &chat{
			origin: ident.RequestID(fmt.Sprint("probe", time.Now().UnixNano())),
		}
		_ = s.request(ctx, h, func() bool { return true })
		for _, other := range c.hosts {
			if h.process.output.line(fmt.Sprintf(`"coordinator":%q`, other.name)) != "" {
				found = other
			}
		}
		return found != nil
	})
	return found
}

// mixReleases leaves one engine of the release v1, which rejects a share of its requests, beside
// two of joinedRelease.
func (c *soakCluster) mixReleases(shed float64) {
	c.addEngine()
	c.awaitOpen()
	var first *upstreamSlot
	for _, slot := range c.slots {
		switch {
		case slot.config.Release != "v1":
		case first == nil:
			first = slot
		default:
			c.deregister(slot.upstream, slot.forwarder.address)
			slot.config.Release = joinedRelease
			c.startNewUpstream(slot)
		}
	}
	first.upstream.SetFaults(standin.Faults{
		Reject: shed,
	})
	time.Sleep(soakApply) // until all hosts know
}

// playMixed plays a trouble. Callers begin streams at all hosts until the kill, most of them at the
// one that is killed, and take up what breaks off at hosts that the store serves.
func (c *soakCluster) playMixed(ctx context.Context, p mixedTrouble) mixedResult {
	c.mixReleases(p.shed)
	coordinator := c.coordinatorOf(ctx, c.hosts[0])
	at := func(i int) *relayHost { return c.hosts[(coordinator.number+i)%soakHosts] }
	unserved, killed := at(1), at(2)
	if p.coordinator {
		unserved = coordinator
	}
	if p.same {
		killed = unserved
	}
	var streams []*chat
	var callers sync.WaitGroup
	end := time.Now().Add(mixedBefore + p.before)
	callers.Go(func() {
		time.Sleep(mixedBefore)
		c.separate(unserved, p.kind)
		time.Sleep(time.Until(end))
		c.restart(killed, syscall.SIGKILL, mixedDowntime)
	})
	var mu sync.Mutex
	result := mixedResult{}
	for i := 0; time.Now().Before(end); i++ {
		s := &chat{
			origin: ident.RequestID(fmt.Sprint("m", i)),
		}
		streams = append(streams, s)
		callers.Go(func() {
			host := killed
			if i%mixedShare == 0 {
				host = at(i / mixedShare)
			}
			_ = s.request(ctx, host, func() bool { return false }) // may be broken off
			if s.complete || s.lastEvent == 0 {
				return
			}
			s.takeUp(ctx, func(try int) *relayHost { return c.otherHost(i+try, unserved, killed) })
			mu.Lock()
			defer mu.Unlock()
			result.takenUp++
			if s.complete {
				result.wentOn++
			}
		})
		time.Sleep(mixedInterval)
	}
	callers.Wait()
	unserved.store.setFault(linkFault{})
	_ = unserved.process.command.Process.Signal(syscall.SIGCONT)
	for _, s := range streams {
		if s.lastEvent > 0 {
			result.begun++
		}
	}
	_, result.joined = c.joinedStreams(streams)
	c.t.Logf("%+v: %d streams, %d begun, %d taken up, %d of these went on, %d joined", p, len(streams), result.begun, result.takenUp, result.wentOn, len(result.joined))
	return result
}

// separate keeps a host and the store apart.
func (c *soakCluster) separate(h *relayHost, kind mixedKind) {
	switch kind {
	case refuses:
		h.store.setFault(linkFault{
			Refuse: true,
		})
		h.store.reset()
	case silent:
		h.store.setFault(linkFault{
			Block: [2]bool{true, true},
		})
	case slow:
		h.store.setFault(linkFault{
			Delay: slowDelay,
		})
	case still:
		_ = h.process.command.Process.Signal(syscall.SIGSTOP)
	}
}

// otherHost returns the first host from the i-th one on that is not one of two.
func (c *soakCluster) otherHost(i int, one, two *relayHost) *relayHost {
	for ; ; i++ {
		if h := c.hosts[i%soakHosts]; h != one && h != two {
			return h
		}
	}
}

// runMixed plays a trouble in a cluster of its own, and returns what was wrong.
func runMixed(t *testing.T, p mixedTrouble) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cluster := startReleaseCluster(ctx, t)
	result := cluster.playMixed(ctx, p)
	for _, h := range cluster.hosts {
		h.process.kill(t)
	}
	failures := result.joined
	if result.takenUp >= minTakenUp && 2*result.wentOn < result.takenUp {
		failures = append(failures, fmt.Sprintf("%d of %d streams went on", result.wentOn, result.takenUp))
	}
	return failures
}

// Guards against streams that go on at another release than the one that began them, and against
// streams that nobody continues, when the store does not serve one host and a host is killed
// (review/12 and review/13).
func TestStreamsTakenUpWhileStoreFailsOneHost(t *testing.T) {
	const before, shed = 3 * time.Second, 0.7
	tests := map[string]mixedTrouble{
		"host turned away, and killed":                      {kind: refuses, same: true, before: before, shed: shed},
		"host gets no response, and is killed":              {kind: silent, same: true, before: before, shed: shed},
		"coordinator turned away, another one killed":       {kind: refuses, coordinator: true, before: before},
		"coordinator gets no response, another one killed":  {kind: silent, coordinator: true, before: before},
		"coordinator turned away, another one killed, shed": {kind: refuses, coordinator: true, before: before, shed: shed},
		"coordinator gets no response, and is killed":       {kind: silent, coordinator: true, same: true, before: before, shed: shed},
		"coordinator is served slowly, and killed":          {kind: slow, coordinator: true, same: true, before: before, shed: shed},
		"coordinator stands still, another one killed":      {kind: still, coordinator: true, before: before, shed: shed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deploymentSlots <- struct{}{}
			defer func() { <-deploymentSlots }()
			qt.Check(t, runMixed(t, test), qt.HasLen, 0)
		})
	}
}

// TestSoakMixedReleases executes random plays like those of
// TestStreamsTakenUpWhileStoreFailsOneHost. To run 50 new ones:
//
//	go test ./internal/system -run TestSoakMixedReleases -timeout 60m -rapid.checks=50 -rapid.seed=N
func TestSoakMixedReleases(t *testing.T) {
	deploymentSlots <- struct{}{}
	defer func() { <-deploymentSlots }()
	setSoakFlags(t)
	const quarters, tenths = 20, 10
	rapid.Check(t, func(r *rapid.T) {
		p := mixedTrouble{
			kind:        rapid.SampledFrom([]mixedKind{refuses, silent, slow, still}).Draw(r, "kind"),
			coordinator: rapid.Bool().Draw(r, "coordinator"),
			same:        rapid.Bool().Draw(r, "same"),
			before:      time.Duration(rapid.IntRange(0, quarters).Draw(r, "before")) * time.Second / 4,
			shed:        float64(rapid.IntRange(0, tenths).Draw(r, "shed")) / tenths,
		}
		if failures := runMixed(t, p); len(failures) > 0 {
			r.Fatalf("%+v: %s", p, strings.Join(failures, "\n"))
		}
	})
}
