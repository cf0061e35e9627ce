package system

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// Guards against a checker that accepts an execution that is lost, duplicate,
// attributed to another submission or falsely reported.
func TestHistoryChecker(t *testing.T) {
	output := func(body string) string { return upstreams.PlainOutput(http.MethodPost, "/entries", body) }
	request := func(body string, result outcome, output string, begin, end int64) submitRequest {
		return submitRequest{
			submission: "s",
			body:       body,
			outcome:    result,
			output:     output,
			begin:      time.Unix(begin, 0),
			end:        time.Unix(end, 0),
		}
	}
	first := request("a", answered, output("a"), 1, 2)
	tests := map[string]struct {
		requests []submitRequest
		executed []string
		valid    bool
	}{
		"answered and retried":           {requests: []submitRequest{first, request("b", answered, output("a"), 3, 4)}, executed: []string{"a"}, valid: true},
		"concurrent retry":               {requests: []submitRequest{first, request("b", unknown, "", 1, 2)}, executed: []string{"a"}, valid: true},
		"rejected, then answered":        {requests: []submitRequest{request("b", notRun, "", 0, 1), first}, executed: []string{"a"}, valid: true},
		"lost response, retry unknown":   {requests: []submitRequest{request("a", incomplete, "", 1, 2), request("b", unknown, "", 3, 4)}, executed: []string{"a"}, valid: true},
		"lost response, retry answered":  {requests: []submitRequest{request("a", incomplete, "", 1, 2), request("b", answered, output("a"), 3, 4)}, executed: []string{"a"}, valid: true},
		"one request executed twice":     {requests: []submitRequest{first}, executed: []string{"a", "a"}},
		"retry executed":                 {requests: []submitRequest{first, request("b", answered, output("b"), 3, 4)}, executed: []string{"a", "b"}},
		"retry executed, response lost":  {requests: []submitRequest{first, request("b", incomplete, "", 3, 4)}, executed: []string{"a", "b"}},
		"executed but rejected":          {requests: []submitRequest{request("a", notRun, "", 1, 2)}, executed: []string{"a"}},
		"answered without execution":     {requests: []submitRequest{first}},
		"response of another submission": {requests: []submitRequest{request("a", answered, output("x"), 1, 2)}, executed: []string{"a"}},
		"retry with another response":    {requests: []submitRequest{first, request("b", answered, output("b"), 3, 4)}, executed: []string{"a"}},
		"response before the execution":  {requests: []submitRequest{request("b", answered, output("a"), 1, 2), request("a", answered, output("a"), 3, 4)}, executed: []string{"a"}},
		"failed without execution":       {requests: []submitRequest{request("a", failed, "", 1, 2)}},
		"malformed response":             {requests: []submitRequest{request("a", malformed, "", 1, 2)}},
		"executed without a request":     {executed: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var executions []upstreams.Execution
			for _, body := range test.executed {
				executions = append(executions, upstreams.Execution{
					Body: body,
				})
			}
			problems := checkHistory(test.requests, executions)
			qt.Assert(t, len(problems) == 0, qt.Equals, test.valid, qt.Commentf("%v", problems))
		})
	}
}
