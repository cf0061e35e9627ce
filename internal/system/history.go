package system

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// outcome is how a request of a submission ended for its caller.
type outcome string

const (
	answered   outcome = "answered"
	notRun     outcome = "did not run"
	failed     outcome = "ran and failed"
	unknown    outcome = "unknown"
	incomplete outcome = "incomplete response"
	malformed  outcome = "malformed response"
)

// submitRequest is one request of a submission with its outcome. Its body is unique.
type submitRequest struct {
	submission string
	host       int
	body       string
	outcome    outcome
	output     string // of a successful response; else the error body
	begin      time.Time
	end        time.Time
}

// classify returns a request with the outcome that its response states.
func classify(submission string, host int, body string, r response) submitRequest {
	s := submitRequest{
		submission: submission,
		host:       host,
		body:       body,
		outcome:    malformed,
		output:     string(r.body),
		begin:      r.begin,
		end:        r.end,
	}
	ran := r.ran()
	switch {
	case r.err != nil:
		s.outcome = incomplete
	case r.status == http.StatusOK:
		s.outcome = answered
		s.output = r.output()
	case ran == false:
		s.outcome = notRun
	case ran == true:
		s.outcome = failed
	case ran == "unknown":
		s.outcome = unknown
	}
	return s
}

// history records the requests of a run in the order in which they ended. It is
// safe for concurrent use.
type history struct {
	mu       sync.Mutex
	requests []submitRequest
}

func (h *history) add(s submitRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, s)
}

func (h *history) all() []submitRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]submitRequest{}, h.requests...)
}

// count returns the number of requests with one of the outcomes, or of all requests
// if no outcome is given.
func (h *history) count(outcomes ...outcome) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.requests {
		for _, wanted := range outcomes {
			if s.outcome == wanted {
				n++
			}
		}
	}
	if len(outcomes) == 0 {
		return len(h.requests)
	}
	return n
}

// modelInput is the input of an operation of submissionModel: a request and
// whether an upstream executed it.
type modelInput struct {
	request submitRequest
	ran     bool
}

// submissionModel is the sequential specification of one submission. Its state is
// the output of the execution, "" before the execution.
var submissionModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(modelInput)
		if op.ran {
			own := upstreams.PlainOutput(http.MethodPost, "/entries", op.request.body)
			legal := state == "" && op.request.outcome != notRun && (op.request.outcome != answered || op.request.output == own)
			return legal, own
		}
		switch op.request.outcome {
		case answered, failed:
			return state != "" && (op.request.outcome == failed || op.request.output == state), state
		case malformed:
			return false, state
		default:
			return true, state
		}
	},
}

// checkHistory returns the contradictions between the requests of a history and
// the executions at all upstreams.
func checkHistory(requests []submitRequest, executions []upstreams.Execution) []string {
	var problems []string
	executionCounts := make(map[string]int)
	for _, e := range executions {
		executionCounts[e.Body]++
	}
	operations := make(map[string][]porcupine.Operation)
	for _, request := range requests {
		n := executionCounts[request.body]
		delete(executionCounts, request.body)
		if n > 1 {
			problems = append(problems, fmt.Sprintf("%s: executed %d times", request.body, n))
		}
		end := request.end.UnixNano()
		if request.outcome == incomplete || request.outcome == unknown {
			end = math.MaxInt64 // the request may run after its caller has stopped waiting
		}
		operations[request.submission] = append(operations[request.submission], porcupine.Operation{
			Input: modelInput{
				request: request,
				ran:     n > 0,
			},
			Call:   request.begin.UnixNano(),
			Return: end,
		})
	}
	for body := range executionCounts {
		problems = append(problems, body+": executed without a request")
	}
	for submission, ops := range operations {
		if porcupine.CheckOperations(submissionModel, ops) {
			continue
		}
		text := submission + ": outcomes do not match a single execution:"
		for _, operation := range ops {
			op := operation.Input.(modelInput)
			text += fmt.Sprintf("\n  host %d, %s to %s: %s, executed %t, %s %s", op.request.host,
				op.request.begin.Format("05.000"), op.request.end.Format("05.000"), op.request.body, op.ran, op.request.outcome, op.request.output)
		}
		problems = append(problems, text)
	}
	return problems
}
