package poison_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/peer"
)

// host is a Table whose reports go to the tables of other hosts at once.
type host struct {
	*poison.Table
	c       *qt.C
	now     *time.Time
	others  []*host
	reports []peer.CrashReported
	sound   int // statements that a fingerprint is sound
}

// newHosts returns hosts with one clock that tell each other what they see.
func newHosts(c *qt.C, count int) []*host {
	now := time.Unix(1_700_000_000, 0)
	var hosts []*host
	for i := range count {
		h := &host{
			c:   c,
			now: &now,
		}
		h.Table = poison.NewTable(poison.Config{
			Host: ident.HostID(fmt.Sprint(i)),
			Now:  func() time.Time { return now },
			OnReport: func(report peer.CrashReported) {
				h.reports = append(h.reports, report)
				for _, other := range h.others {
					other.Merge(report)
				}
			},
			OnSound: func(f poison.Fingerprint) {
				h.sound++
				for _, other := range h.others {
					other.Clear(f)
				}
			},
			OnVerdict: func([]poison.Pattern) {},
			MayProbe:  func() bool { return i == 0 },
		})
		hosts = append(hosts, h)
	}
	for i, h := range hosts {
		for j, other := range hosts {
			if i != j {
				h.others = append(h.others, other)
			}
		}
	}
	return hosts
}

// crashInterval is the time between two crashes.
const crashInterval = 300 * time.Millisecond

var lastBody int

// prompt returns a request with the given shared parts and a body of its own.
func prompt(parts ...wire.PartID) *poison.Request {
	lastBody++
	var shared []wire.Part
	for _, part := range parts {
		shared = append(shared, wire.Part{
			ID: part,
		})
	}
	return poison.NewRequest("o", "/chat", fmt.Appendf(nil, "body %d", lastBody), shared)
}

func process(number int) poison.Process {
	return poison.Process{
		Upstream:    ident.UpstreamID(fmt.Sprintf("u%d", number)),
		Incarnation: 1,
	}
}

// serve plays a request that an upstream serves.
func (h *host) serve(at poison.Process, request *poison.Request) {
	attempt := h.Begin(at, request)
	attempt.Responding()
	*h.now = h.now.Add(time.Second)
	attempt.Responding()
	attempt.End(true)
}

// crash plays the crash of an upstream with requests of this host in flight.
func (h *host) crash(at poison.Process, requests ...*poison.Request) {
	var attempts []*poison.Attempt
	for _, request := range requests {
		attempts = append(attempts, h.Begin(at, request))
	}
	h.lose(attempts...)
	*h.now = h.now.Add(crashInterval)
}

// lose plays that this host notices a crash by the loss of requests.
func (h *host) lose(attempts ...*poison.Attempt) {
	for _, attempt := range attempts {
		attempt.Crashed()
	}
	for _, attempt := range attempts {
		attempt.End(false)
	}
}

// crashTogether plays the crash of several upstreams at the same time.
func crashTogether(hosts []*host, count int, parts func(number int) []wire.PartID) {
	for i := range count {
		h := hosts[i%len(hosts)]
		h.crash(process(100+i), prompt(parts(i)...))
		*h.now = h.now.Add(-crashInterval)
	}
}

// Guards against a block of sound requests that lasts: it also blocks the requests with the
// cause of the crashes, so nothing shows that it is wrong.
func TestWrongVerdictEnds(t *testing.T) {
	c := qt.New(t)
	hosts := newHosts(c, 3)
	// The request with the cause that was in flight at the second crash is not reported.
	hosts[0].crash(process(0), prompt("system", "cause"))
	hosts[1].crash(process(1), prompt("system"))
	hosts[2].crash(process(2), prompt("system", "cause"))
	for _, h := range hosts {
		c.Assert(h.blocks(prompt("system")), qt.IsTrue)
	}
	*hosts[0].now = hosts[0].now.Add(4 * time.Second)
	c.Check(hosts[1].blocks(prompt("system")), qt.IsTrue, qt.Commentf("only one host probes"))
	c.Check(hosts[0].blocks(prompt("system", "cause")), qt.IsTrue, qt.Commentf("the probe may be the cause"))
	probing := prompt("system")
	c.Assert(hosts[0].blocks(probing), qt.IsFalse)
	c.Check(probing.Probes(), qt.IsTrue)
	c.Check(hosts[0].MayRetry(probing), qt.IsFalse)
	c.Check(hosts[0].blocks(prompt("system")), qt.IsTrue, qt.Commentf("one probe at a time"))
	hosts[0].serve(process(3), probing)
	for _, h := range hosts {
		c.Check(h.blocks(prompt("system")), qt.IsFalse)
		c.Check(h.blocks(prompt("system", "cause")), qt.IsFalse, qt.Commentf("two crashes are too few"))
	}
	hosts[1].crash(process(4), prompt("system", "cause"))
	for _, h := range hosts {
		c.Check(h.blocks(prompt("system")), qt.IsFalse)
		c.Check(h.blocks(prompt("system", "cause")), qt.IsTrue)
	}
}

// Guards against probes that crash upstream after upstream although the verdict is right.
func TestProbesEndWithACrash(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	h.crash(process(0), prompt("cause", "bystander"))
	h.crash(process(1), prompt("cause", "bystander"))
	h.crash(process(2), prompt("cause"))
	probes := 0
	for i := range 100 {
		*h.now = h.now.Add(time.Second)
		if probing := prompt("cause"); !h.blocks(probing) {
			probes++
			h.crash(process(10+i), probing)
		}
	}
	c.Check(probes, qt.Equals, 1)
}

// Guards against ending requests that show that a verdict is wrong, since their upstreams
// have begun to respond to them and go on.
func TestBlockSparesRunningRequests(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	ended := make(map[string]bool)
	start := func(name string) *poison.Attempt {
		request := prompt("system")
		h.Watch(request, func() { ended[name] = true })
		return h.Begin(process(9), request)
	}
	running := start("running")
	start("waiting")
	running.Responding()
	for i := range 3 {
		h.crash(process(i), prompt("system"))
	}
	c.Check(ended, qt.DeepEquals, map[string]bool{"waiting": true})
	running.Responding()
	c.Check(h.blocks(prompt("system")), qt.IsFalse)
}

// Guards against a body that stays in memory after its request has ended, because the
// request is tracked in case its upstream crashes, and against losing the request's
// content with it.
func TestFinishedRequestHoldsNoBody(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	collected := make(chan struct{})
	begin := func() *poison.Attempt {
		body := make([]byte, 1<<20)
		runtime.AddCleanup(&body[0], func(done chan struct{}) { close(done) }, collected)
		request := poison.NewRequest("o", "/chat", body, nil)
		attempt := h.Begin(process(1), request)
		h.Finish(request)
		return attempt
	}
	attempt := begin()
	attempt.End(false)
	for range 10 {
		runtime.GC()
		select {
		case <-collected:
			attempt.Crashed()
			c.Assert(h.reports, qt.HasLen, 1)
			content := poison.ContentFingerprint("o", "/chat", make([]byte, 1<<20))
			c.Check(h.reports[0].Suspects[0].Fingerprints[0], qt.Equals, content)
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	c.Fatal("the body is still referenced")
}

func (h *host) blocks(request *poison.Request) bool {
	_, blocked := h.Blocked(request)
	return blocked
}

// Guards against a request that crashes one upstream after the other, and against
// harmless requests that stay blocked.
func TestEqualRequestsCrash(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	request := func(organisation ident.OrganisationID, target, body string) *poison.Request {
		return poison.NewRequest(organisation, target, []byte(body), nil)
	}
	for crashes := range 3 {
		c.Check(h.blocks(request("o", "/x", "body")), qt.IsFalse)
		h.crash(process(crashes), request("o", "/x", "body"))
	}
	c.Check(h.blocks(request("o", "/x", "body")), qt.IsTrue)
	for name, other := range map[string]*poison.Request{
		"organisation": request("p", "/x", "body"),
		"target":       request("o", "/y", "body"),
		"body":         request("o", "/x", "bodies"),
		"division":     request("o", "/xb", "ody"),
	} {
		c.Check(h.blocks(other), qt.IsFalse, qt.Commentf("another %s", name))
	}
	*h.now = h.now.Add(16 * time.Minute)
	h.Sweep()
	c.Check(h.blocks(request("o", "/x", "body")), qt.IsFalse)
	for crashes := range 2 {
		h.crash(process(10+crashes), request("o", "/x", "body"))
	}
	c.Check(h.blocks(request("o", "/x", "body")), qt.IsFalse, qt.Commentf("the count starts anew"))
}

// Guards against crashes that are known only to the host that saw them, and against
// several reports on one crash that count as several crashes.
func TestReportsOfOtherHosts(t *testing.T) {
	c := qt.New(t)
	hosts := newHosts(c, 3)
	for i, h := range hosts {
		h.crash(process(i), prompt("dead"))
		if i < 2 {
			h.Merge(hosts[0].reports[0]) // a copy that arrives late
			c.Check(h.blocks(prompt("dead")), qt.IsFalse)
		}
	}
	for _, h := range hosts {
		c.Check(h.blocks(prompt("dead")), qt.IsTrue)
	}
	more := newHosts(c, 3)
	var attempts []*poison.Attempt
	for _, h := range more {
		attempts = append(attempts, h.Begin(process(0), prompt("dead")))
	}
	for i, h := range more {
		h.lose(attempts[i])
		*h.now = h.now.Add(crashInterval)
	}
	c.Check(more[0].blocks(prompt("dead")), qt.IsFalse, qt.Commentf("one crash, seen by three hosts"))
}

// Guards against the refusal of sound requests that share other parts with those that
// crash upstreams.
func TestBlocksOnlyThePartAtFault(t *testing.T) {
	tests := map[string]struct {
		play    func(h []*host)
		blocked map[string]bool // parts of a prompt, divided by spaces
	}{
		"first part is shared by all": {
			play: func(h []*host) {
				h[1].serve(process(9), prompt("first", "a"))
				for i := range 3 {
					h[0].crash(process(i), prompt("first", "dead"))
				}
			},
			blocked: map[string]bool{"first dead": true, "dead": true, "first a": false, "first": false},
		},
		"part that is always beside it": {
			play: func(h []*host) {
				for i := range 3 {
					h[0].crash(process(i), prompt("rare", "dead"))
				}
			},
			blocked: map[string]bool{"rare dead": true, "rare": false, "dead": false},
		},
		"part that was beside it at first": {
			play: func(h []*host) {
				for i := range 3 {
					h[0].crash(process(i), prompt("rare", "dead"))
				}
				h[0].crash(process(3), prompt("dead"))
			},
			blocked: map[string]bool{"rare dead": true, "dead": true, "rare": false},
		},
		"bystanders": {
			play: func(h []*host) {
				for i := range 4 {
					h[0].crash(process(i), prompt("a"), prompt("b"))
					h[1].crash(process(i), prompt("c"), prompt("dead"))
					h[2].serve(process(9), prompt("a"))
					h[2].serve(process(9), prompt("b"))
					h[2].serve(process(9), prompt("c"))
				}
			},
			blocked: map[string]bool{"dead": true, "a": false, "b": false, "c": false},
		},
		"bystander of all crashes, never served": {
			play: func(h []*host) {
				for i := range 4 {
					bystanders := []*poison.Request{prompt("rare"), prompt("dead")}
					if i == 0 {
						bystanders = append(bystanders, prompt("rare"))
					}
					h[0].crash(process(i), bystanders...)
				}
			},
			blocked: map[string]bool{"dead": true, "rare": false},
		},
		"two parts at fault": {
			play: func(h []*host) {
				for i := range 3 {
					h[0].crash(process(i), prompt("one"), prompt("x"))
					h[1].crash(process(10+i), prompt("two"), prompt("x"))
				}
				h[2].serve(process(9), prompt("x"))
			},
			blocked: map[string]bool{"one": true, "two": true, "x": false},
		},
		"many upstreams crash one after the other": {
			play: func(h []*host) {
				for i := range 3 {
					h[i].serve(process(20+i), prompt("usual"))
				}
				for i := range 12 {
					h[i%3].crash(process(i), prompt("usual", numbered("rare", i)))
				}
			},
			blocked: map[string]bool{"usual": false, "rare3": false},
		},
		"part that is known as sound only later": {
			play: func(h []*host) {
				for i := range 12 {
					h[i%2].crash(process(i), prompt("usual"))
				}
				h[2].serve(process(20), prompt("usual"))
			},
			blocked: map[string]bool{"usual": false},
		},
		"many upstreams crash together": {
			play: func(h []*host) {
				crashTogether(h, 12, func(int) []wire.PartID { return []wire.PartID{"new"} })
			},
			blocked: map[string]bool{"new": false},
		},
		"many upstreams crash together beside a part at fault": {
			play: func(h []*host) {
				h[0].crash(process(0), prompt("new"), prompt("dead"))
				h[1].crash(process(1), prompt("dead"))
				crashTogether(h, 12, func(number int) []wire.PartID { return []wire.PartID{"new", numbered("rare", number)} })
				h[2].serve(process(20), prompt("new"))
				h[2].crash(process(2), prompt("dead"))
			},
			blocked: map[string]bool{"new": false, "dead": true},
		},
		"responding when the upstream crashed": {
			play: func(h []*host) {
				for i := range 4 {
					longer := h[0].Begin(process(i), prompt("longer"))
					longer.Responding()
					*h[0].now = h[0].now.Add(time.Second)
					longer.Responding()
					h[0].crash(process(i), prompt("dead"))
				}
			},
			blocked: map[string]bool{"longer": false, "dead": true},
		},
		"responses that end before the crash": {
			play: func(h []*host) {
				for i := range 3 {
					short := h[0].Begin(process(i), prompt("dead"))
					short.Responding()
					short.End(true)
					*h[0].now = h[0].now.Add(100 * time.Millisecond)
					h[0].crash(process(i), prompt(numbered("rare", i)))
				}
			},
			blocked: map[string]bool{"dead": true},
		},
		"requests that did not run": {
			play: func(h []*host) {
				for i := range 3 {
					h[0].Begin(process(i), prompt("refused")).Refused()
					h[0].crash(process(i), prompt("dead"))
				}
			},
			blocked: map[string]bool{"dead": true, "refused": false},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hosts := newHosts(c, 3)
			test.play(hosts)
			for _, h := range hosts {
				for parts, blocked := range test.blocked {
					c.Check(h.blocks(prompt(split(parts)...)), qt.Equals, blocked, qt.Commentf("%q", parts))
				}
			}
		})
	}
}

func numbered(name string, number int) wire.PartID { return wire.PartID(fmt.Sprint(name, number)) }

func split(parts string) []wire.PartID {
	var list []wire.PartID
	for part := range strings.FieldsSeq(parts) {
		list = append(list, wire.PartID(part))
	}
	return list
}

// Guards against a part that is blocked for good on a host that has not seen it served.
func TestClearedByAnotherHost(t *testing.T) {
	c := qt.New(t)
	hosts := newHosts(c, 3)
	for i := range 3 {
		hosts[0].crash(process(i), prompt("usual"))
	}
	c.Check(hosts[1].blocks(prompt("usual")), qt.IsTrue)
	running := hosts[2].Begin(process(9), prompt("usual"))
	running.Responding()
	*hosts[2].now = hosts[2].now.Add(time.Second)
	running.Responding()
	for _, h := range hosts {
		c.Check(h.blocks(prompt("usual")), qt.IsFalse)
	}
	c.Check(hosts[2].sound, qt.Equals, 1)
}

// Guards against requests that crash an upstream each while they wait, although they are
// blocked since they arrived.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	dead, stopped, other := 0, 0, 0
	h.Watch(prompt("dead"), func() { dead++ })
	h.Watch(prompt("dead"), func() { stopped++ })()
	h.Watch(prompt("other"), func() { other++ })
	for i := range 5 {
		h.crash(process(i), prompt("dead"))
	}
	c.Check(dead, qt.Equals, 1)
	c.Check(stopped, qt.Equals, 0)
	c.Check(other, qt.Equals, 0)
}

// Guards against a request that crashes further upstreams because it is sent again.
func TestMayRetry(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	c.Check(h.MayRetry(prompt("dead")), qt.IsTrue)
	h.crash(process(0), prompt("dead"))
	c.Check(h.MayRetry(prompt("dead")), qt.IsTrue, qt.Commentf("after one crash, bystanders are retried"))
	h.crash(process(1), prompt("dead"))
	c.Check(h.MayRetry(prompt("dead")), qt.IsFalse)
	c.Check(h.MayRetry(prompt("other")), qt.IsTrue)
}

// Guards against a request that crashes all upstreams of a service within a moment, since
// it is sent to the next one at once, and is then not told from a bystander of upstreams
// that fail together.
func TestSentAgainAtOnce(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, again := range map[string]bool{"the same request": true, "other requests": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHosts(c, 1)[0]
			request := prompt("part")
			for i := range 3 {
				h.crash(process(i), request)
				*h.now = h.now.Add(pause - crashInterval)
				if !again {
					request = prompt("part")
				}
			}
			c.Check(h.blocks(request), qt.Equals, again)
		})
	}
}

// Guards against hosts that start after the crashes, or reach no other host, and do not
// know what is blocked.
func TestEvidence(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	value, err := poison.EncodeReports(h.Evidence())
	c.Assert(err, qt.IsNil)
	c.Check(value, qt.IsNil, qt.Commentf("nothing is blocked"))
	h.serve(process(9), prompt("first"))
	for i := range 5 {
		h.crash(process(i), prompt("first", "rare", "dead"), prompt("bystander"))
	}
	h.crash(process(5), prompt("dead"))
	value, err = poison.EncodeReports(h.Evidence())
	c.Assert(err, qt.IsNil)
	started := newHosts(c, 1)[0]
	*started.now = *h.now
	for range 2 {
		reports, err := poison.DecodeReports(value)
		c.Assert(err, qt.IsNil)
		for _, report := range reports {
			started.Merge(report)
		}
	}
	c.Check(started.blocks(prompt("first", "rare", "dead")), qt.IsTrue)
	c.Check(started.blocks(prompt("first", "rare")), qt.IsFalse)
	*started.now = started.now.Add(16 * time.Minute)
	started.Sweep()
	c.Check(started.blocks(prompt("first", "rare", "dead")), qt.IsFalse)
}

// Guards against tables that grow with every crash, and against a block that ends because
// many other upstreams crash.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 2)[1] // the other one probes
	for i := range 2 {
		h.crash(process(i), prompt("twice"))
	}
	for i := range 3 {
		h.crash(process(2+i), prompt("old"))
	}
	c.Check(h.blocks(prompt("old")), qt.IsTrue)
	for i := range 1000 {
		h.crash(process(10+i), prompt(numbered("x", i)))
	}
	h.crash(process(2000), prompt("twice"))
	c.Check(h.blocks(prompt("twice")), qt.IsFalse, qt.Commentf("the oldest crashes are dropped"))
	c.Check(h.blocks(prompt("old")), qt.IsTrue)
}

// Guards against callers that stay away for long after a verdict that soon turns out to be
// wrong, and against callers that come again at short intervals while it holds.
func TestRetryAfter(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 2)[1] // the other one probes
	var lastCrash time.Time
	for i := range 3 {
		lastCrash = *h.now
		h.crash(process(i), prompt("dead"))
	}
	for _, test := range []struct{ age, least, most time.Duration }{
		{age: time.Second, least: time.Second, most: 2 * time.Second},
		{age: time.Minute, least: time.Minute, most: 2 * time.Minute},
		{age: 14 * time.Minute, least: 0, most: time.Minute},
	} {
		*h.now = lastCrash.Add(test.age)
		h.Sweep()
		after, blocked := h.Blocked(prompt("dead"))
		c.Check(blocked, qt.IsTrue)
		c.Check(after >= test.least && after <= test.most, qt.IsTrue, qt.Commentf("%s after %s", after, test.age))
	}
}
