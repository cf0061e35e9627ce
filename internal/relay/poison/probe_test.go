package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
)

// Guards against a wrong verdict that lasts because every request has one of the parts
// that may have caused the crashes instead.
func TestProbesWhileAllRequestsHaveRivals(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	h.crash(process(0), prompt("system", "a", "cause"))
	h.crash(process(1), prompt("system", "a", "cause"), prompt("system", "b"))
	h.crash(process(2), prompt("system", "b")) // the report on the request at fault is missing
	c.Assert(h.blocks(prompt("system", "a")), qt.IsTrue)
	var probing *poison.Request
	for start := *h.now; probing == nil && h.now.Sub(start) < 10*time.Second; {
		*h.now = h.now.Add(200 * time.Millisecond)
		c.Assert(h.blocks(prompt("system", "a", "cause")), qt.IsTrue, qt.Commentf("another request has fewer rivals"))
		if request := prompt("system", "a"); !h.blocks(request) {
			probing = request
		}
	}
	c.Assert(probing, qt.IsNotNil)
	h.serve(process(3), probing)
	c.Check(h.blocks(prompt("system", "a")), qt.IsFalse)
	c.Check(h.blocks(prompt("system", "b")), qt.IsFalse)
}

// Guards against probes by requests that have all that may have caused the crashes.
func TestNoProbeByRequestsWithAllRivals(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	h.crash(process(0), prompt("cause", "rival"))
	h.crash(process(1), prompt("cause", "rival"))
	h.crash(process(2), prompt("cause"))
	for range 100 {
		*h.now = h.now.Add(200 * time.Millisecond)
		c.Assert(h.blocks(prompt("cause", "rival")), qt.IsTrue)
	}
}

// Guards against a wrong verdict that is never probed because the crashes by the real
// cause were within one moment, so that nothing else seems to have caused several.
func TestProbesIfCauseCrashedTogether(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	bystander := prompt("system")
	h.crash(process(0), bystander, prompt("system", "cause"))
	*h.now = h.now.Add(20*time.Millisecond - crashInterval)
	h.crash(process(1), bystander, prompt("system", "cause"))
	h.crash(process(2), prompt("system")) // the report on the request at fault is missing
	c.Assert(h.blocks(prompt("system")), qt.IsTrue)
	*h.now = h.now.Add(3 * time.Second)
	c.Check(h.blocks(prompt("system", "cause")), qt.IsTrue)
	c.Check(h.blocks(prompt("system")), qt.IsFalse)
}

// Guards against a wrong verdict that holds for several intervals between probes because
// responses are short: only a later request to the same upstream shows that it went on.
func TestShortResponseToProbe(t *testing.T) {
	c := qt.New(t)
	h := newHosts(c, 1)[0]
	h.crash(process(0), prompt("system", "cause"))
	h.crash(process(1), prompt("system", "cause"))
	h.crash(process(2), prompt("system")) // the report on the request at fault is missing
	*h.now = h.now.Add(3 * time.Second)
	for i := range 2 {
		probing := prompt("system")
		c.Assert(h.blocks(probing), qt.IsFalse)
		c.Check(h.blocks(prompt("system")), qt.IsTrue, qt.Commentf("one probe at a time"))
		attempt := h.Begin(process(3), probing)
		attempt.Responding()
		*h.now = h.now.Add(100 * time.Millisecond)
		attempt.End(true)
		*h.now = h.now.Add(300 * time.Millisecond)
		c.Check(h.blocks(prompt("system", "cause")), qt.Equals, i == 0)
	}
}

// unseenProbes is the number of probes of a verdict that reach no upstream in a test, more than are
// made that end without a response.
const unseenProbes = 4

// Guards against a wrong verdict that lasts because nothing else was in flight at two of the
// crashes: upstreams crash one after the other for reasons of their own, while the first requests
// of a kind are at all of them.
func TestProbesWithoutRivals(t *testing.T) {
	tests := map[string]struct {
		crashes bool // the probes crash their upstreams
		silent  bool // they end without a response
		probes  int

		unseen func(h *host, request *poison.Request) // plays the first probes; nil if there are no others
	}{
		"the verdict is wrong": {probes: 1},
		"the verdict is right": {crashes: true, probes: 1},
		"nobody can tell":      {silent: true, probes: 2},

		// No upstream has begun to run the first probes, so they show nothing (review/14).
		"refused by the host":     {probes: unseenProbes + 1, unseen: func(*host, *poison.Request) {}},
		"refused by the upstream": {probes: unseenProbes + 1, unseen: func(h *host, r *poison.Request) { h.Begin(process(3), r).Refused() }},
		"not sent": {probes: unseenProbes + 1, unseen: func(h *host, r *poison.Request) {
			attempt := h.Begin(process(3), r)
			attempt.Refused()
			attempt.End(false)
		}},
		"abandoned":                {probes: unseenProbes + 1, unseen: func(h *host, r *poison.Request) { h.Begin(process(3), r).Abandoned() }},
		"right, refused by a host": {crashes: true, probes: unseenProbes + 1, unseen: func(*host, *poison.Request) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHosts(c, 1)[0]
			for i := range 3 {
				h.crash(process(i), prompt("first"))
			}
			probes := 0
			for range 100 {
				*h.now = h.now.Add(200 * time.Millisecond)
				request := prompt("first")
				if h.blocks(request) {
					continue
				}
				if !request.Probes() {
					break // no longer blocked
				}
				probes++
				switch {
				case test.unseen != nil && probes <= unseenProbes:
					test.unseen(h, request)
				case test.crashes:
					h.crash(process(3), request)
				case test.silent:
					h.Begin(process(3), request).End(false)
				default:
					h.serve(process(3), request)
				}
			}
			c.Check(probes, qt.Equals, test.probes)
			c.Check(h.blocks(prompt("first")), qt.Equals, test.crashes || test.silent)
		})
	}
}
