package poison_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/peer"
)

// maxHeaderParts is the number of parts of one byte, with their tokens, in a header of 16,384 bytes.
const maxHeaderParts = 4096

// session returns the parts of a prompt in a session: one that all share and those of the session.
func session(number, parts int) []wire.PartID {
	list := []wire.PartID{"shared"}
	for i := range parts {
		list = append(list, numbered("session", number*maxHeaderParts+i))
	}
	return list
}

// Guards against a part that crashes upstreams without end, since it comes late in a long prompt
// and so in no report (review/11), and against blame of the parts of sound requests.
func TestPartAfterManyOthers(t *testing.T) {
	const crashes = 5 // after which the part has to be known
	tests := map[string]struct {
		parts    int  // of a session
		position int  // of the part that crashes upstreams
		beside   int  // sound requests in flight at each crash
		same     bool // all requests are of the same session, sound ones too
	}{
		"few parts":                 {parts: 4, position: 4},
		"last of a history":         {parts: 20, position: 21},
		"in the middle":             {parts: 20, position: 16},
		"last of a long prompt":     {parts: 1100, position: 1101, beside: 7},
		"first of a long prompt":    {parts: 1100, position: 0, beside: 7},
		"longest header":            {parts: maxHeaderParts - 3, position: 3000},
		"same session, long prompt": {parts: 1100, position: 700, same: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hosts := newHosts(c, crashes)
			number := 0
			next := func() []wire.PartID {
				if !test.same {
					number++
				}
				return session(number, test.parts)
			}
			for i, h := range hosts { // what all share is sound
				h.serve(process(100+i), prompt(next()...))
			}
			for i, h := range hosts {
				requests := []*poison.Request{prompt(slices.Insert(next(), test.position, "bad")...)}
				for range test.beside {
					requests = append(requests, prompt(next()...))
				}
				h.crash(process(i), requests...)
			}
			for _, h := range hosts {
				c.Check(h.blocks(prompt(slices.Insert(next(), test.position, "bad")...)), qt.IsTrue)
				c.Check(h.blocks(prompt(next()...)), qt.IsFalse)
				c.Check(h.blocks(prompt("bad")), qt.IsTrue)
			}
			for _, h := range hosts {
				for _, report := range h.reports {
					rest := 0
					for _, suspect := range report.Suspects {
						c.Check(len(suspect.Fingerprints) <= peer.MaxFingerprints, qt.IsTrue)
						rest += len(suspect.Rest)
					}
					c.Check(rest <= peer.MaxRest, qt.IsTrue)
				}
			}
		})
	}
}

// Guards against a part that is not found since a report has no room for all requests in flight:
// the cause is one of those whose responses had not begun. What was left out is counted.
func TestMoreRequestsThanAReportHolds(t *testing.T) {
	const parts = 1100
	for name, inFlight := range map[string]int{
		"more short fingerprints": 20,
		"more requests":           peer.MaxSuspects + 16,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hosts := newHosts(c, 5)
			number := 0
			for i, h := range hosts {
				var attempts []*poison.Attempt
				for range inFlight {
					number++
					attempt := h.Begin(process(i), prompt(session(number, parts)...))
					attempt.Responding()
					attempts = append(attempts, attempt)
				}
				number++
				attempts = append(attempts, h.Begin(process(i), prompt(slices.Insert(session(number, parts), 900, "bad")...)))
				h.lose(attempts...)
				*h.now = h.now.Add(crashInterval)
				c.Check(h.Omitted() > 0, qt.IsTrue)
			}
			for _, h := range hosts {
				number++
				c.Check(h.blocks(prompt(slices.Insert(session(number, parts), 900, "bad")...)), qt.IsTrue)
			}
		})
	}
}

// Guards against a part that is not found after many other crashes, whose short fingerprints the
// table no longer has.
func TestPartAfterManyCrashes(t *testing.T) {
	const parts, before = 40, 60
	c := qt.New(t)
	hosts := newHosts(c, 5)
	for i := range before {
		hosts[i%len(hosts)].crash(process(i), prompt(session(i, parts)...))
	}
	for i, h := range hosts {
		h.crash(process(before+i), prompt(slices.Insert(session(before+i, parts), parts, "bad")...))
	}
	for _, h := range hosts {
		c.Check(h.blocks(prompt("shared", "bad")), qt.IsTrue)
	}
}
