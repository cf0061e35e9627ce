package system

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// Guards against a checker that accepts a lost, doubled, swapped or falsely
// reported execution.
func TestHistoryChecker(t *testing.T) {
	output := func(body string) string { return upstreams.PlainOutput(http.MethodPost, "/entries", body) }
	at := func(body string, e end, output string, begin, over int64) send {
		return send{
			submission: "s",
			body:       body,
			end:        e,
			output:     output,
			begin:      time.Unix(begin, 0),
			over:       time.Unix(over, 0),
		}
	}
	first := at("a", answered, output("a"), 1, 2)
	tests := map[string]struct {
		sends    []send
		executed []string
		good     bool
	}{
		"answered and repeated":        {sends: []send{first, at("b", answered, output("a"), 3, 4)}, executed: []string{"a"}, good: true},
		"repeat at once":               {sends: []send{first, at("b", unknown, "", 1, 2)}, executed: []string{"a"}, good: true},
		"refused, then answered":       {sends: []send{at("b", notRun, "", 0, 1), first}, executed: []string{"a"}, good: true},
		"lost reply, repeat unknown":   {sends: []send{at("a", broken, "", 1, 2), at("b", unknown, "", 3, 4)}, executed: []string{"a"}, good: true},
		"lost reply, repeat answered":  {sends: []send{at("a", broken, "", 1, 2), at("b", answered, output("a"), 3, 4)}, executed: []string{"a"}, good: true},
		"one request executed twice":   {sends: []send{first}, executed: []string{"a", "a"}},
		"repeat executed":              {sends: []send{first, at("b", answered, output("b"), 3, 4)}, executed: []string{"a", "b"}},
		"repeat executed and lost":     {sends: []send{first, at("b", broken, "", 3, 4)}, executed: []string{"a", "b"}},
		"executed but refused":         {sends: []send{at("a", notRun, "", 1, 2)}, executed: []string{"a"}},
		"answered without execution":   {sends: []send{first}},
		"answer of another submission": {sends: []send{at("a", answered, output("x"), 1, 2)}, executed: []string{"a"}},
		"repeat with another answer":   {sends: []send{first, at("b", answered, output("b"), 3, 4)}, executed: []string{"a"}},
		"answer before the execution":  {sends: []send{at("b", answered, output("a"), 1, 2), at("a", answered, output("a"), 3, 4)}, executed: []string{"a"}},
		"failed without execution":     {sends: []send{at("a", failed, "", 1, 2)}},
		"malformed reply":              {sends: []send{at("a", malformed, "", 1, 2)}},
		"executed without a request":   {executed: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var executions []upstreams.Execution
			for _, body := range test.executed {
				executions = append(executions, upstreams.Execution{
					Body: body,
				})
			}
			found := faults(test.sends, executions)
			qt.Assert(t, len(found) == 0, qt.Equals, test.good, qt.Commentf("%v", found))
		})
	}
}
