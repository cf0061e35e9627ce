package forward_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an idempotent request that waits for a slow upstream although another one
// would have responded, and against requests that run twice although they may not, or beyond
// the limit of hedges.
func TestHedges(t *testing.T) {
	t.Parallel()
	const usual = 40 // requests, enough to know how long they usually take
	slow := ok("slow")
	slow.delay = 600 * time.Millisecond
	hanging := scriptedResponse{hang: true}
	lost := scriptedResponse{reset: true, delay: 300 * time.Millisecond}
	failed := status(500, "Seal: s\r\n")
	failed.delay = 300 * time.Millisecond
	tests := map[string]struct {
		path      string
		unlimited bool // hedges are allowed
		responses []scriptedResponse
		want      callerResponse
		runs      int
	}{
		"second upstream responds first": {path: "/safe/x", unlimited: true, responses: []scriptedResponse{slow, ok("a")}, want: callerResponse{status: 200, sealed: true, body: "a"}, runs: 2},
		"first upstream never responds":  {path: "/safe/x", unlimited: true, responses: []scriptedResponse{hanging, ok("a")}, want: callerResponse{status: 200, sealed: true, body: "a"}, runs: 2},
		"second upstream never responds": {path: "/safe/x", unlimited: true, responses: []scriptedResponse{slow, hanging}, want: callerResponse{status: 200, sealed: true, body: "slow"}, runs: 2},
		"second upstream fails":          {path: "/safe/x", unlimited: true, responses: []scriptedResponse{slow, failed}, want: callerResponse{status: 200, sealed: true, body: "slow"}, runs: 2},
		"both fail":                      {path: "/safe/x", unlimited: true, responses: []scriptedResponse{failed, failed, ok("a")}, want: callerResponse{status: 500, sealed: true, body: "error"}, runs: 2},
		"both are lost":                  {path: "/safe/x", unlimited: true, responses: []scriptedResponse{lost, lost, ok("a")}, want: callerResponse{status: 502}, runs: 2},
		"second upstream is full":        {path: "/safe/x", unlimited: true, responses: []scriptedResponse{slow, status(503, "Not-Run: 1\r\n")}, want: callerResponse{status: 200, sealed: true, body: "slow"}, runs: 2},
		"unsafe request":                 {path: "/unsafe/x", unlimited: true, responses: []scriptedResponse{slow}, want: callerResponse{status: 200, sealed: true, body: "slow"}, runs: 1},
		"no hedges are allowed":          {path: "/safe/x", responses: []scriptedResponse{slow}, want: callerResponse{status: 200, sealed: true, body: "slow"}, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var responses []scriptedResponse
			for range usual {
				responses = append(responses, ok("usual"))
			}
			share := 0.0
			if test.unlimited {
				share = 1
			}
			f := startWith(t, 4, share, append(responses, test.responses...)...)
			for i := range usual {
				got := f.post(c, "/safe/x", map[string]string{"Id": fmt.Sprint("usual", i)})
				c.Assert(got.body, qt.Equals, "usual")
			}
			time.Sleep(1100 * time.Millisecond) // until the usual latency is computed again
			got := f.post(c, test.path, nil)
			got.retryAfter = false
			c.Check(got, qt.Equals, test.want)
			c.Check(f.upstreams.requests(), qt.HasLen, usual+test.runs)
		})
	}
}
