package peernet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

const seeds = 3

// Guards against rumours that reach hosts late or not at all. A document revision
// has to be in effect within 6 s, which is 30 ticks.
func TestDissemination(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		hosts    int
		loss     float64
		maxTicks int
	}{
		"9 hosts":              {9, 0, 8},
		"36 hosts":             {36, 0, 10},
		"120 hosts":            {120, 0, 12},
		"360 hosts":            {360, 0, 14},
		"9 hosts, 5% lost":     {9, 0.05, 10},
		"36 hosts, 5% lost":    {36, 0.05, 12},
		"120 hosts, 5% lost":   {120, 0.05, 14},
		"360 hosts, 5% lost":   {360, 0.05, 16},
		"360 hosts, 30% lost":  {360, 0.3, 24},
		"2 hosts":              {2, 0, 2},
		"single host is quiet": {1, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				n := newNetwork(seed, test.hosts)
				n.loss = test.loss
				for range 20 {
					n.step()
				}
				rumour := peer.DocumentRevised{
					Service:  "entries-api",
					Revision: 7,
				}
				n.node(0).gossip.Publish(rumour)
				ticks := n.runUntil(60, func() bool {
					return n.count(func(x *node) bool { return hasReceived(x, rumour) }) >= test.hosts-1
				})
				t.Logf("seed %d: %d ticks", seed, ticks)
				qt.Check(t, ticks <= test.maxTicks, qt.IsTrue, qt.Commentf("%d ticks", ticks))
			}
		})
	}
}

// Guards against live hosts that lose the ownership of keys and watches because a few
// messages are lost.
func TestFalseSuspicion(t *testing.T) {
	t.Parallel()
	const minutes = 1
	for _, hosts := range []int{9, 36, 120, 360} {
		for seed := range uint64(seeds) {
			if hosts == 360 && seed > 0 {
				continue // simulating 1 min takes 1 min with the race detector
			}
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				t.Parallel()
				n := newNetwork(seed, hosts)
				n.loss = 0.05
				downTicks, suspects := 0, 0
				for range int(minutes * time.Minute / peer.Interval) {
					n.step()
					n.count(func(x *node) bool {
						downTicks += hosts - len(x.table.Snapshot().Live())
						return true
					})
				}
				n.count(func(x *node) bool {
					for _, rumour := range x.received {
						if _, ok := rumour.(peer.HostSuspected); ok {
							suspects++
						}
					}
					return true
				})
				t.Logf("%.2f suspicions received per host and second, %d down host-ticks, %.1f rumours per message",
					float64(suspects)/float64(hosts)/(60*minutes), downTicks, float64(n.rumours)/float64(2*n.messages))
				qt.Check(t, downTicks, qt.Equals, 0)
			})
		}
	}
}

// Guards against a failed host that other hosts keep choosing, or that only some of
// them detect.
func TestFailureDetection(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{9, 36, 120, 360} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			n := newNetwork(2, hosts)
			n.loss = 0.05
			for range 20 {
				n.step()
			}
			failed := n.node(3)
			failed.stopped = true
			ticks := n.runUntil(100, func() bool {
				return n.count(func(x *node) bool { return state(x, failed.row.Host) == peer.Down }) == hosts-1
			})
			t.Logf("down everywhere after %d ticks", ticks)
			c.Check(ticks <= 50, qt.IsTrue, qt.Commentf("%d ticks", ticks)) // 3 s of suspicion and 7 s of dissemination
		})
	}
}

// Guards against two sides of a healed partition that never exchange messages again,
// and against hosts that stay down in some tables.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{9, 36, 120, 360} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			n := newNetwork(4, hosts)
			n.loss = 0.01
			for range 20 {
				n.step()
			}
			inMinority := make(map[ident.Address]bool)
			for i, address := range n.order {
				inMinority[address] = i%3 == 0
			}
			n.linkDown = func(a, b ident.Address) bool { return inMinority[a] != inMinority[b] }
			minority := 0
			for i := range n.order {
				if i%3 == 0 {
					minority++
				}
			}
			partitioned := n.runUntil(600, func() bool {
				return n.count(func(x *node) bool {
					want := hosts - minority
					if inMinority[x.row.Address] {
						want = minority
					}
					return len(x.table.Snapshot().Live()) == want
				}) == hosts
			})
			t.Logf("partition detected by all hosts after %d ticks", partitioned)
			c.Check(partitioned < 600, qt.IsTrue)
			n.linkDown = func(_, _ ident.Address) bool { return false }
			healed := n.runUntil(600, func() bool {
				return n.count(func(x *node) bool { return len(x.table.Snapshot().Live()) == hosts }) == hosts
			})
			t.Logf("all hosts live again after %d ticks", healed)
			c.Check(healed <= 100, qt.IsTrue, qt.Commentf("%d ticks", healed))
		})
	}
}

// Guards against a rumour that is dropped while hosts cannot reach each other, or as
// soon as one of them has received it. No digest covers UpstreamLeaving, so a host
// that misses the rumour never learns of it.
func TestRumourOutlastsCut(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		ticksDown int
		allLinks  bool // the other hosts cannot reach each other either
	}{
		"a second":               {ticksDown: 5},
		"ten seconds":            {ticksDown: 50},
		"all links, a second":    {ticksDown: 5, allLinks: true},
		"all links, ten seconds": {ticksDown: 50, allLinks: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range uint64(300) {
				n := newNetwork(seed, 3)
				down := true
				publisher := n.node(0)
				n.linkDown = func(a, b ident.Address) bool {
					return down && (test.allLinks || a == publisher.row.Address || b == publisher.row.Address)
				}
				rumour := peer.UpstreamLeaving{
					Upstream:    "u",
					Incarnation: 1,
				}
				publisher.gossip.Publish(rumour)
				for range test.ticksDown {
					n.step()
				}
				c.Assert(n.count(func(x *node) bool { return hasReceived(x, rumour) }), qt.Equals, 0)
				down = false
				ticks := n.runUntil(25, func() bool { return n.count(func(x *node) bool { return hasReceived(x, rumour) }) == 2 })
				c.Check(ticks < 25, qt.IsTrue, qt.Commentf("seed %d: not received within 5 s after the links are up", seed))
			}
		})
	}
}

// Guards against a rumour that does not reach one host of a small fleet: if the direct
// link is down, a third host has to forward the rumour and must not drop it before.
func TestRumourTakesDetour(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 9} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				n := newNetwork(seed, hosts)
				publisher, unreachable := n.node(0), n.node(1)
				n.linkDown = func(a, b ident.Address) bool {
					return a == publisher.row.Address && b == unreachable.row.Address || a == unreachable.row.Address && b == publisher.row.Address
				}
				rumour := peer.UpstreamLeaving{
					Upstream:    "u",
					Incarnation: 1,
				}
				n.step()
				publisher.gossip.Publish(rumour)
				ticks := n.runUntil(25, func() bool { return n.count(func(x *node) bool { return hasReceived(x, rumour) }) == hosts-1 })
				qt.Check(t, ticks < 25, qt.IsTrue, qt.Commentf("seed %d: not received by all hosts within 5 s", seed))
			}
		})
	}
}

// Guards against a restarted host that others take for its earlier process, because
// it has the same id or the same address.
func TestRestart(t *testing.T) {
	for name, host := range map[string]ident.HostID{
		"same id":             "host-002",
		"other id":            "host-new",
		"same id, clock back": "host-002",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newNetwork(5, 9)
			for range 20 {
				n.step()
			}
			row := rowOf(2, 1000)
			row.Host = host
			if name == "same id, clock back" {
				n.node(2).stopped = true
				for range 40 {
					n.step()
				}
				row.Incarnation = 1
			}
			n.start(row)
			others := make([]peer.Row, 0)
			for i := range 9 {
				if i != 2 {
					others = append(others, rowOf(i, 0))
				}
			}
			n.node(2).table.Merge(n.now, others)
			ticks := n.runUntil(100, func() bool {
				return n.count(func(x *node) bool {
					known, _ := x.table.Snapshot().Row(host)
					return known.State == peer.Alive && known.Incarnation > 1
				}) == 9
			})
			t.Logf("known everywhere after %d ticks", ticks)
			c.Check(ticks <= 25, qt.IsTrue, qt.Commentf("%d ticks", ticks))
			if host != "host-002" {
				c.Check(n.count(func(x *node) bool {
					return x != n.node(2) && state(x, "host-002") == peer.Down
				}), qt.Equals, 8)
			}
		})
	}
}

// Guards against a leaving host that others still choose, or that they mark as down
// while it completes its requests.
func TestLeave(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(6, 36)
	n.loss = 0.05
	for range 20 {
		n.step()
	}
	leaving := n.node(4)
	leaving.gossip.Leave()
	ticks := n.runUntil(100, func() bool {
		return n.count(func(x *node) bool { return state(x, leaving.row.Host) == peer.Leaving }) == 36
	})
	t.Logf("known everywhere after %d ticks", ticks)
	c.Check(ticks <= 15, qt.IsTrue)
	for range 50 {
		n.step()
	}
	c.Check(n.count(func(x *node) bool { return state(x, leaving.row.Host) == peer.Leaving }), qt.Equals, 36)
	for _, row := range n.node(0).table.Snapshot().Live() {
		c.Check(row.Host, qt.Not(qt.Equals), leaving.row.Host)
	}
	leaving.stopped = true
	n.runUntil(400, func() bool {
		return n.count(func(x *node) bool { return state(x, leaving.row.Host) == peer.Down }) == 35
	})
	c.Check(n.count(func(x *node) bool { return state(x, leaving.row.Host) == peer.Down }), qt.Equals, 35)
}

// Guards against an older rumour that replaces a newer one, and against rumours that
// are sent forever.
func TestRumourOrder(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(7, 9)
	fingerprint := peer.Fingerprint{1}
	for _, rumours := range [][]peer.Rumour{
		{peer.UpstreamLeaving{Upstream: "u", Incarnation: 2}, peer.UpstreamLeaving{Upstream: "u", Incarnation: 1}},
		{peer.UpstreamCrashed{Upstream: "v", Incarnation: 2}, peer.UpstreamLeaving{Upstream: "v", Incarnation: 2}},
		{peer.FingerprintCleared{Fingerprint: fingerprint, Version: 9}, peer.FingerprintStruck{Fingerprint: fingerprint, Strikes: 1, Version: 8}},
		{peer.DocumentRevised{Service: "s", Revision: 5}, peer.DocumentRevised{Service: "s", Revision: 4}},
	} {
		n.node(0).gossip.Publish(rumours[0])
		for range 20 {
			n.step()
		}
		n.node(1).gossip.Publish(rumours[1])
		for range 20 {
			n.step()
		}
		c.Check(n.count(func(x *node) bool { return hasReceived(x, rumours[0]) }), qt.Equals, 8)
		c.Check(n.count(func(x *node) bool { return hasReceived(x, rumours[1]) }), qt.Equals, 0)
	}
	for range 50 {
		n.step()
	}
	n.rumours = 0
	for range 50 {
		n.step()
	}
	c.Check(n.rumours, qt.Equals, 0)
	c.Check(n.node(1).documents[n.node(0).row.Host], qt.Equals, uint64(42))
}

// Guards against organisation rates that exceed the message budget or are forwarded
// by other hosts.
func TestTopOrganisations(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(8, 9)
	top := peer.TopOrganisations{}
	for i := range 20 {
		top.Rates = append(top.Rates, peer.OrganisationRate{
			Service:      "entries-api",
			Organisation: ident.OrganisationID(fmt.Sprintf("organisation-%d", i)),
			Rate:         float64(100 - i),
		})
	}
	n.node(0).gossip.Publish(top)
	for range 300 {
		n.step()
	}
	for i := range 8 {
		received := 0
		for _, rumour := range n.node(i + 1).received {
			if r, ok := rumour.(peer.TopOrganisations); ok {
				received++
				c.Assert(r.Host, qt.Equals, n.node(0).row.Host)
				c.Assert(r.Rates, qt.HasLen, peer.MaxOrganisations)
			}
		}
		c.Check(received > 0 && received < 30, qt.IsTrue, qt.Commentf("%d", received))
	}
}

// Guards against a lagging host list that overrides the state that hosts have
// observed of each other.
func TestMergeLags(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(9, 9)
	for range 20 {
		n.step()
	}
	n.node(2).stopped = true
	n.runUntil(100, func() bool { return state(n.node(0), "host-002") == peer.Down })
	n.mergeHostList()
	c.Check(state(n.node(0), "host-002"), qt.Equals, peer.Down)
	stale := rowOf(3, 0)
	stale.State = peer.Leaving
	n.node(0).table.Merge(n.now, []peer.Row{stale})
	c.Check(state(n.node(0), "host-003"), qt.Equals, peer.Alive)
	known, _ := n.node(0).table.Snapshot().Row("host-003")
	stale.Incarnation = known.Incarnation
	n.node(0).table.Merge(n.now, []peer.Row{stale})
	c.Check(state(n.node(0), "host-003"), qt.Equals, peer.Leaving)
}

// Guards against invalid messages, which no correct host sends, that corrupt the
// table.
func TestReceiveDamaged(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newNetwork(10, 3)
	self := n.node(0).row
	for range 5 {
		n.step()
	}
	for name, message := range map[string]peer.Message{
		"empty": {},
		"itself": {
			From: self,
		},
		"huge incarnations": {
			From: peer.Row{
				Host:        "host-001",
				Incarnation: 1<<64 - 1,
			},
			Rumours: []peer.Rumour{
				peer.HostSuspected{Host: self.Host, Incarnation: 1<<64 - 1},
				peer.HostAlive{Row: peer.Row{Host: self.Host, Incarnation: 1<<64 - 1}},
				peer.HostLeaving{Host: "host-002", Incarnation: 1<<64 - 1},
				nil,
			},
		},
	} {
		n.node(0).gossip.Receive(n.now, message)
		for range 10 {
			n.step()
		}
		c.Check(n.count(func(x *node) bool { return len(x.table.Snapshot().Live()) == 3 }), qt.Equals, 3, qt.Commentf("%s", name))
	}
	for i := range 5000 { // more than the table holds
		n.node(0).gossip.Receive(n.now, peer.Message{
			From: peer.Row{
				Host:        ident.HostID(fmt.Sprintf("garbage-%d", i)),
				Incarnation: 1,
			},
		})
	}
	c.Check(len(n.node(0).table.Snapshot().Rows()) <= 4096, qt.IsTrue)
}

// Guards against keys that change their owner although the owner stays live, and
// against an uneven distribution of keys over hosts.
func TestOwner(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(11, 36)
	before := n.node(0).table.Snapshot()
	for i := range n.order {
		for key := range uint64(16) {
			a, _ := before.Owner(key)
			b, _ := n.node(i).table.Snapshot().Owner(key)
			c.Assert(a, qt.Equals, b)
		}
	}
	leaving, _ := before.Row("host-005")
	leaving.State = peer.Leaving
	n.node(0).table.Merge(start.Add(time.Second), []peer.Row{leaving})
	after := n.node(0).table.Snapshot()
	share := make(map[ident.HostID]int)
	for key := range uint64(36_000) {
		a, _ := before.Owner(key)
		b, ok := after.Owner(key)
		c.Assert(ok, qt.IsTrue)
		share[a]++
		if a != "host-005" {
			c.Assert(a, qt.Equals, b)
		}
		if key < 100 {
			c.Assert(before.Ranked("", key)[0], qt.Equals, a)
			c.Assert(before.Ranked("", key), qt.HasLen, 36)
			c.Assert(after.Ranked("domain-1", key), qt.HasLen, 8)
		}
	}
	for host, keys := range share {
		c.Check(keys > 800 && keys < 1200, qt.IsTrue, qt.Commentf("%s owns %d", host, keys))
	}
}

// BenchmarkTick measures a tick of a host, which is one message sent and one received,
// with their replies, without rumours (quiet) and with rumours (busy).
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{9, 36, 120, 360} {
		for name, busy := range map[string]bool{"quiet": false, "busy": true} {
			b.Run(fmt.Sprintf("%d hosts, %s", hosts, name), func(b *testing.B) {
				n := newNetwork(1, hosts)
				for range 100 {
					n.step()
				}
				n.messages, n.rumours = 0, 0
				steps := 0
				for b.Loop() {
					if busy {
						n.node(steps % hosts).gossip.Publish(peer.UpstreamLeaving{
							Upstream:    ident.UpstreamID(fmt.Sprintf("engine-%d", steps)),
							Incarnation: 1,
						})
					}
					steps++
					n.step()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(steps*hosts), "ns/host-tick")
				b.ReportMetric(float64(n.rumours)/float64(2*n.messages), "rumours/message")
			})
		}
	}
}

// BenchmarkOwner measures the search for the owner of a key.
func BenchmarkOwner(b *testing.B) {
	for _, hosts := range []int{9, 36, 120, 360} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			view := newNetwork(1, hosts).node(0).table.Snapshot()
			for key := uint64(0); b.Loop(); key++ {
				view.Owner(key)
			}
		})
	}
}
