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

// Guards against a checker that accepts a truncated response, one of another
// request, or one that ends without [DONE] or an error.
func TestAnswerChecker(t *testing.T) {
	const chunkFormat = "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n"
	full := expectedText("p")
	partial := full[:40]
	streamResponse := func(text, tail string) response {
		return response{
			status:      http.StatusOK,
			contentType: "text/event-stream",
			body:        []byte(fmt.Sprintf(chunkFormat, text) + tail),
		}
	}
	const doneEvent, errorEvent = "data: [DONE]\n\n", "event: error\ndata: {}\n\n"
	jsonResponse := func(status int, body string) response {
		return response{
			status:      status,
			contentType: "application/json",
			body:        []byte(body),
		}
	}
	tests := map[string]struct {
		response response
		valid    bool
	}{
		"full stream":                         {response: streamResponse(full, doneEvent), valid: true},
		"truncated stream with error":         {response: streamResponse(partial, errorEvent), valid: true},
		"error before the first chunk":        {response: jsonResponse(http.StatusBadGateway, `{"error":{"ran":true}}`), valid: true},
		"truncated stream":                    {response: streamResponse(partial, "")},
		"full text without [DONE]":            {response: streamResponse(full, "")},
		"truncated stream with [DONE]":        {response: streamResponse(partial, doneEvent)},
		"error and [DONE]":                    {response: streamResponse(partial, errorEvent+doneEvent)},
		"stream of another request":           {response: streamResponse(expectedText("q"), doneEvent)},
		"text of another request, then error": {response: streamResponse(expectedText("q")[:30], errorEvent)},
		"duplicate token":                     {response: streamResponse(upstreams.EngineToken("p", 0)+full, doneEvent)},
		"response of another request":         {response: jsonResponse(http.StatusOK, fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, expectedText("q")))},
		"truncated text":                      {response: jsonResponse(http.StatusOK, fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, partial))},
		"truncated body":                      {response: jsonResponse(http.StatusOK, `{"choices":[{"mess`)},
		"no response":                         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			problem := checkChat("p", parseChat(test.response))
			qt.Assert(t, problem == "", qt.Equals, test.valid, qt.Commentf("%s", problem))
		})
	}
}

// Guards against responses that are truncated, belong to another request or end
// without a visible error while engines and pools fail.
func TestWholeAnswers(t *testing.T) {
	crash := upstreams.Faults{
		CrashOn:  poison,
		CrashFor: upstreams.Duration(300 * time.Millisecond),
	}
	drop := upstreams.Faults{
		DropAfter: 7,
	}
	tests := map[string]struct {
		engines     []upstreams.Faults // of the first engines, in order
		pools       upstreams.Faults   // of the first upstream of each other pool
		allEngines  *upstreams.Faults  // of all engines
		poison      bool               // some prompts crash engines
		minComplete int                // least number of complete responses
		event       string             // timeline event that shows that the fault took effect; empty: none
	}{
		"no fault":         {minComplete: chatCount},
		"streams drop":     {engines: []upstreams.Faults{drop, drop}, minComplete: chatCount / 2, event: "resume"},
		"all streams drop": {allEngines: &drop, event: "retry denied"},
		"stragglers":       {engines: []upstreams.Faults{{Slow: 8}, {Slow: 8}}, pools: upstreams.Faults{Slow: 20}, minComplete: chatCount, event: "attempt done"},
		"engines crash":    {allEngines: &crash, poison: true, minComplete: chatCount / 4, event: "attempt failed"},
		"responses lost":   {engines: []upstreams.Faults{{LoseResponse: 4}}, pools: upstreams.Faults{LoseResponse: 2}, minComplete: chatCount / 2, event: "attempt failed"},
		"engines crash, streams drop, pools lose responses": {
			engines: []upstreams.Faults{drop, drop}, allEngines: &crash, pools: upstreams.Faults{LoseResponse: 2}, poison: true, minComplete: chatCount / 4, event: "resume",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{})
			engines := d.pool(nutmegPool, "engines")
			if test.allEngines != nil {
				d.upstreamFaults(*test.allEngines, engines...)
			}
			for i, faults := range test.engines {
				d.upstreamFaults(faults, engines[i])
			}
			for _, pool := range []ident.PoolName{"encoders", "retrievers", "rerankers"} {
				d.upstreamFaults(test.pools, d.pool(nutmegPool, pool)[0])
			}
			complete := 0
			for _, finished := range d.runChats(t, test.poison) {
				if problem := checkChat(finished.prompt, finished.chatResult); problem != "" {
					t.Errorf("%+v: %s", finished.chatRequest, problem)
				}
				if finished.complete {
					complete++
				} else {
					t.Logf("%+v is not complete: %s", finished.chatRequest, finished.detail)
				}
			}
			t.Logf("%d of %d responses are complete", complete, chatCount)
			qt.Check(t, complete >= test.minComplete, qt.IsTrue, qt.Commentf("%d complete responses", complete))
			if test.event != "" {
				qt.Check(t, d.eventCount(test.event) > 0, qt.IsTrue, qt.Commentf("no event %q", test.event))
			}
		})
	}
}
