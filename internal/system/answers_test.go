package system

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// Guards against a checker that accepts a cut, mixed up or silently ended answer.
func TestAnswerChecker(t *testing.T) {
	const head = "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n"
	whole := expected("p")
	part := whole[:40]
	stream := func(text, tail string) reply {
		return reply{
			status: http.StatusOK,
			kind:   "text/event-stream",
			body:   []byte(fmt.Sprintf(head, text) + tail),
		}
	}
	const done, fail = "data: [DONE]\n\n", "event: error\ndata: {}\n\n"
	single := func(status int, body string) reply {
		return reply{
			status: status,
			kind:   "application/json",
			body:   []byte(body),
		}
	}
	tests := map[string]struct {
		reply reply
		good  bool
	}{
		"whole stream":           {reply: stream(whole, done), good: true},
		"cut stream with error":  {reply: stream(part, fail), good: true},
		"error before the start": {reply: single(http.StatusBadGateway, `{"error":{"ran":true}}`), good: true},
		"cut stream":             {reply: stream(part, "")},
		"whole, no end":          {reply: stream(whole, "")},
		"cut stream as whole":    {reply: stream(part, done)},
		"error and end":          {reply: stream(part, fail+done)},
		"other stream":           {reply: stream(expected("q"), done)},
		"other, then error":      {reply: stream(expected("q")[:30], fail)},
		"doubled token":          {reply: stream(upstreams.EngineToken("p", 0)+whole, done)},
		"other answer":           {reply: single(http.StatusOK, fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, expected("q")))},
		"cut answer":             {reply: single(http.StatusOK, fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, part))},
		"half a body":            {reply: single(http.StatusOK, `{"choices":[{"mess`)},
		"no reply":               {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := flaw("p", read(test.reply))
			qt.Assert(t, found == "", qt.Equals, test.good, qt.Commentf("%s", found))
		})
	}
}

// Guards against answers that are cut, mixed up or end without a visible error
// while engines and pools fail.
func TestWholeAnswers(t *testing.T) {
	crash := upstreams.Faults{
		CrashOn:  poison,
		CrashFor: upstreams.Duration(300 * time.Millisecond),
	}
	drop := upstreams.Faults{
		DropAfter: 7,
	}
	tests := map[string]struct {
		engines []upstreams.Faults // of the first engines
		pools   upstreams.Faults   // of the first upstream of each other pool
		all     *upstreams.Faults  // of all engines
		poison  bool               // some prompts crash engines
		least   int                // complete answers
		events  string             // an event of the timeline that shows the fault
	}{
		"no fault":         {least: chats},
		"streams drop":     {engines: []upstreams.Faults{drop, drop}, least: chats / 2, events: "resume"},
		"all streams drop": {all: &drop, events: "retry denied"},
		"stragglers":       {engines: []upstreams.Faults{{Slow: 8}, {Slow: 8}}, pools: upstreams.Faults{Slow: 20}, least: chats, events: "attempt done"},
		"engines crash":    {all: &crash, poison: true, least: chats / 4, events: "attempt failed"},
		"answers lost":     {engines: []upstreams.Faults{{LoseResponse: 4}}, pools: upstreams.Faults{LoseResponse: 2}, least: chats / 2, events: "attempt failed"},
		"engines crash, streams drop, pools lose answers": {
			engines: []upstreams.Faults{drop, drop}, all: &crash, pools: upstreams.Faults{LoseResponse: 2}, poison: true, least: chats / 4, events: "resume",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{})
			engines := d.pool(nutmegPool, "engines")
			if test.all != nil {
				d.upstreamFaults(*test.all, engines...)
			}
			for i, faults := range test.engines {
				d.upstreamFaults(faults, engines[i])
			}
			for _, pool := range []ident.PoolName{"encoders", "retrievers", "rerankers"} {
				d.upstreamFaults(test.pools, d.pool(nutmegPool, pool)[0])
			}
			complete := 0
			for _, done := range d.converse(t, test.poison) {
				if found := flaw(done.prompt, done.answer); found != "" {
					t.Errorf("%+v: %s", done.chat, found)
				}
				if done.complete {
					complete++
				}
			}
			t.Logf("%d of %d answers are complete", complete, chats)
			qt.Check(t, complete >= test.least, qt.IsTrue, qt.Commentf("%d complete answers", complete))
			if test.events != "" {
				qt.Check(t, d.events(test.events) > 0, qt.IsTrue, qt.Commentf("no event %q", test.events))
			}
		})
	}
}
