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

// end is how a send of a submission ended for its caller.
type end string

const (
	answered  end = "answered"
	notRun    end = "did not run"
	failed    end = "ran and failed"
	unknown   end = "unknown"
	broken    end = "no reply"
	malformed end = "malformed reply"
)

// send is one request of a submission. Its body is unique.
type send struct {
	submission string
	host       int
	body       string
	end        end
	output     string // of an answer; else the error
	begin      time.Time
	over       time.Time
}

// record returns the send that a reply ends.
func record(submission string, host int, body string, r reply) send {
	s := send{
		submission: submission,
		host:       host,
		body:       body,
		end:        malformed,
		output:     string(r.body),
		begin:      r.begin,
		over:       r.end,
	}
	ran := r.ran()
	switch {
	case r.err != nil:
		s.end = broken
	case r.status == http.StatusOK:
		s.end = answered
		s.output = r.output()
	case ran == false:
		s.end = notRun
	case ran == true:
		s.end = failed
	case ran == "unknown":
		s.end = unknown
	}
	return s
}

// history is the sends of a run in the order in which they ended.
type history struct {
	mu    sync.Mutex
	sends []send
}

func (h *history) add(s send) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends = append(h.sends, s)
}

func (h *history) all() []send {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]send{}, h.sends...)
}

// count returns the number of sends with one of the ends, or of all sends.
func (h *history) count(ends ...end) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, s := range h.sends {
		for _, e := range ends {
			if s.end == e {
				n++
			}
		}
	}
	if len(ends) == 0 {
		return len(h.sends)
	}
	return n
}

// executed is the input of an operation of the model: a send and whether an
// upstream executed it.
type executed struct {
	send send
	ran  bool
}

// submissions is the sequential specification of one submission. The state is
// the output of its execution, "" before it.
var submissions = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(executed)
		if op.ran {
			own := upstreams.PlainOutput(http.MethodPost, "/entries", op.send.body)
			legal := state == "" && op.send.end != notRun && (op.send.end != answered || op.send.output == own)
			return legal, own
		}
		switch op.send.end {
		case answered, failed:
			return state != "" && (op.send.end == failed || op.send.output == state), state
		case malformed:
			return false, state
		default:
			return true, state
		}
	},
}

// faults returns what is wrong with a history and the executions at all upstreams.
func faults(sends []send, executions []upstreams.Execution) []string {
	var found []string
	times := make(map[string]int)
	for _, e := range executions {
		times[e.Body]++
	}
	operations := make(map[string][]porcupine.Operation)
	for _, s := range sends {
		n := times[s.body]
		delete(times, s.body)
		if n > 1 {
			found = append(found, fmt.Sprintf("%s: executed %d times", s.body, n))
		}
		over := s.over.UnixNano()
		if s.end == broken || s.end == unknown {
			over = math.MaxInt64 // the request may run after its caller has given up
		}
		operations[s.submission] = append(operations[s.submission], porcupine.Operation{
			Input: executed{
				send: s,
				ran:  n > 0,
			},
			Call:   s.begin.UnixNano(),
			Return: over,
		})
	}
	for body := range times {
		found = append(found, body+": executed without a request")
	}
	for submission, list := range operations {
		if porcupine.CheckOperations(submissions, list) {
			continue
		}
		text := submission + ": not one execution with one outcome:"
		for _, operation := range list {
			op := operation.Input.(executed)
			text += fmt.Sprintf("\n  host %d, %s to %s: %s, executed %t, %s %s", op.send.host,
				op.send.begin.Format("05.000"), op.send.over.Format("05.000"), op.send.body, op.ran, op.send.end, op.send.output)
		}
		found = append(found, text)
	}
	return found
}
