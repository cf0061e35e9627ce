package pipeline_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const answerTokens = 6

const wholeText = "t0 t1 t2 t3 t4 t5 "

// A pipeline must deliver the whole answer once, or end visibly, whatever happens to its attempts.
func TestRunPipeline(t *testing.T) {
	cases := map[string]struct {
		calls   []step
		streams []step
		denied  bool // the guard allows no second try after a crash
		alive   bool // the upstream has not crashed
		want    outcome.Outcome
		text    string
		lost    int
	}{
		"no fault": {
			want: outcome.Answered{},
			text: wholeText,
		},
		"upstream refuses the connection": {
			calls: []step{{err: pipeline.ErrNotSent}},
			want:  outcome.Answered{},
			text:  wholeText,
		},
		"upstream is leaving": {
			calls: []step{{err: pipeline.ErrLeaving}, {err: pipeline.ErrLeaving}},
			want:  outcome.Answered{},
			text:  wholeText,
		},
		"every upstream refuses": {
			calls: []step{{err: pipeline.ErrNotSent}, {err: pipeline.ErrNotSent}, {err: pipeline.ErrNotSent}, {err: pipeline.ErrNotSent}},
			want:  outcome.Refused{},
		},
		"answer of another attempt": {
			calls: []step{{wrong: true}},
			want:  outcome.Answered{},
			text:  wholeText,
		},
		"connection lost in a stage": {
			calls: []step{{err: pipeline.ErrLost}},
			want:  outcome.Answered{},
			text:  wholeText,
			lost:  1,
		},
		"connection lost and no second try": {
			calls:  []step{{err: pipeline.ErrLost}},
			denied: true,
			want:   outcome.Failed{},
			lost:   1,
		},
		"connection lost to a live upstream": {
			calls:  []step{{err: pipeline.ErrLost}},
			denied: true,
			alive:  true,
			want:   outcome.Answered{},
			text:   wholeText,
			lost:   1,
		},
		"bad request at an upstream": {
			calls: []step{{err: pipeline.StatusError{Status: 400}}},
			want:  outcome.Failed{},
		},
		"stream breaks": {
			streams: []step{{tokens: 2, err: pipeline.ErrLost}},
			want:    outcome.Answered{},
			text:    wholeText,
			lost:    1,
		},
		"stream breaks and the next one repeats tokens": {
			streams: []step{{tokens: 3, err: pipeline.ErrLost}, {tokens: answerTokens, resend: 2}},
			want:    outcome.Answered{},
			text:    wholeText,
			lost:    1,
		},
		"next stream leaves a gap": {
			streams: []step{{tokens: 2, err: pipeline.ErrLost}, {tokens: answerTokens, resend: -1}},
			want:    outcome.Answered{},
			text:    wholeText,
			lost:    2,
		},
		"streams break beyond the retry budget": {
			streams: []step{{tokens: 1, err: pipeline.ErrLost}, {tokens: 1, err: pipeline.ErrLost}, {tokens: 1, err: pipeline.ErrLost}},
			want:    outcome.Failed{},
			text:    "t0 t1 t2 ",
			lost:    3,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			guard := &fakeGuard{
				allow: !tc.denied,
				alive: tc.alive,
			}
			sink := &fakeSink{}
			transport := &fakeTransport{
				calls:   tc.calls,
				streams: tc.streams,
			}
			got := newRunner(transport).Run(context.Background(), newJob(assistant(), true, guard), sink)
			c.Check(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", tc.want), qt.Commentf("%+v", got))
			c.Check(sink.text.String(), qt.Equals, tc.text)
			c.Check(guard.lost, qt.Equals, tc.lost)
			if _, refused := got.(outcome.Refused); refused {
				c.Check(transport.executed, qt.HasLen, 0)
			}
		})
	}
}

// A non-repeatable call must be executed at most once, and "refused" must mean never.
func TestRunPlainNonRepeatable(t *testing.T) {
	cases := map[string]struct {
		calls    []step
		want     outcome.Outcome
		executed int
	}{
		"no fault": {
			want:     outcome.Answered{},
			executed: 1,
		},
		"not sent, then sent": {
			calls:    []step{{err: pipeline.ErrNotSent}},
			want:     outcome.Answered{},
			executed: 1,
		},
		"connection lost after it was sent": {
			calls: []step{{err: pipeline.ErrLost}},
			want:  outcome.Unknown{},
		},
		"answer of another attempt": {
			calls:    []step{{wrong: true}},
			want:     outcome.Unknown{},
			executed: 1,
		},
		"all leaving": {
			calls: []step{{err: pipeline.ErrLeaving}, {err: pipeline.ErrLeaving}, {err: pipeline.ErrLeaving}, {err: pipeline.ErrLeaving}},
			want:  outcome.Refused{},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			transport := &fakeTransport{
				calls: tc.calls,
			}
			got := newRunner(transport).Run(context.Background(), newJob(plainService(), false, &fakeGuard{
				allow: true,
			}), nil)
			c.Check(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", tc.want), qt.Commentf("%+v", got))
			c.Check(transport.executed, qt.HasLen, tc.executed)
		})
	}
}

// A straggling attempt must be hedged once the stage's duration is known, and cancelled after the other one answers.
func TestRunHedgesStraggler(t *testing.T) {
	c := qt.New(t)
	transport := &fakeTransport{
		calls: []step{{hang: true}},
	}
	job := newJob(assistant(), true, &fakeGuard{})
	for range 50 {
		job.Estimates.Record("encode", time.Millisecond)
	}
	got := newRunner(transport).Run(context.Background(), job, &fakeSink{})
	c.Assert(got, qt.Satisfies, func(o outcome.Outcome) bool {
		_, ok := o.(outcome.Answered)
		return ok
	})
}

// A crash behind a hedge must be recorded too: the hedge may crash a second
// upstream, and a third try would go beyond the bound.
func TestRunRecordsCrashBehindHedge(t *testing.T) {
	cases := map[string]struct {
		hedge step
		lost  int
	}{
		"hedge answers": {step{}, 1},
		"hedge crashes": {step{err: pipeline.ErrLost}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			guard := &fakeGuard{}
			transport := &fakeTransport{
				calls:  []step{{err: pipeline.ErrLost, hedged: true}, tc.hedge},
				second: make(chan struct{}),
			}
			job := newJob(assistant(), true, guard)
			for range 50 {
				job.Estimates.Record("encode", time.Millisecond)
			}
			_ = newRunner(transport).Run(context.Background(), job, &fakeSink{})
			c.Assert(guard.lost, qt.Equals, tc.lost)
			c.Assert(len(transport.executed) > 0, qt.Equals, tc.lost == 1)
		})
	}
}

// A request that cannot finish before its deadline must not start.
func TestRunRefusesLateRequest(t *testing.T) {
	c := qt.New(t)
	transport := &fakeTransport{}
	job := newJob(assistant(), true, &fakeGuard{})
	for range 50 {
		job.Estimates.Record("generate", 10*time.Second)
	}
	got := newRunner(transport).Run(context.Background(), job, &fakeSink{})
	refused, ok := got.(outcome.Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason, qt.Equals, outcome.Deadline)
	c.Assert(transport.executed, qt.HasLen, 0)
}

// A caller that stops reading must end its generation.
func TestRunStopsWhenCallerLeaves(t *testing.T) {
	c := qt.New(t)
	sink := &fakeSink{
		err: errors.New("closed"),
	}
	got := newRunner(&fakeTransport{}).Run(context.Background(), newJob(assistant(), true, &fakeGuard{}), sink)
	failed, ok := got.(outcome.Failed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(failed.Reason, qt.Equals, outcome.Incomplete)
}

// Guards against slow upstreams that make every request a suspect of crashing
// them: an attempt cut off by the stage's timeout is no lost connection.
func TestRunTimeoutIsNoCrash(t *testing.T) {
	tests := map[string]struct {
		service    *document.Service
		repeatable bool
		want       outcome.Outcome
	}{
		"stage": {
			service:    assistant(),
			repeatable: true,
			want:       outcome.Answered{},
		},
		"non-repeatable call": {
			service: plainService(),
			want:    outcome.Unknown{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for i := range test.service.Stages {
				test.service.Stages[i].Timeout = 20 * time.Millisecond
			}
			transport := &fakeTransport{
				calls: []step{{hang: true}},
			}
			guard := &fakeGuard{
				allow: true,
			}
			job := newJob(test.service, test.repeatable, guard)
			job.Deadline = time.Now().Add(200 * time.Millisecond)
			ended := newRunner(transport).Run(context.Background(), job, &fakeSink{})
			c.Assert(fmt.Sprintf("%T", ended), qt.Equals, fmt.Sprintf("%T", test.want))
			c.Assert(guard.lost, qt.Equals, 0)
		})
	}
}

// cancelledTransport is cut off before it sends.
type cancelledTransport struct {
	fakeTransport
}

func (t *cancelledTransport) Call(ctx context.Context, _ ident.Address, _ pipeline.Call) (pipeline.Reply, error) {
	<-ctx.Done()
	return pipeline.Reply{}, fmt.Errorf("%w: %w", pipeline.ErrNotSent, ctx.Err())
}

// resultSelector remembers the results of attempts.
type resultSelector struct {
	results []upstream.Result
}

func (s *resultSelector) Choose(time.Time, upstream.Query) (upstream.Lease, error) {
	return upstream.Lease{
		Upstream: "u-1",
	}, nil
}

func (s *resultSelector) Done(_ upstream.Lease, report upstream.Report) {
	s.results = append(s.results, report.Result)
}

// Guards against the ejection of healthy upstreams because hedges that lost were
// cancelled while they connected.
func TestRunCancelledConnectIsNoFailure(t *testing.T) {
	c := qt.New(t)
	selector := &resultSelector{}
	runner := pipeline.New(pipeline.Config{
		Transport:  &cancelledTransport{},
		Selector:   selector,
		Meter:      fakeMeter{},
		Recorder:   fakeRecorder{},
		Now:        time.Now,
		NewAttempt: func() ident.AttemptID { return "a" },
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	time.AfterFunc(time.Millisecond, cancel)
	runner.Run(ctx, newJob(assistant(), true, &fakeGuard{}), &fakeSink{})
	c.Assert(selector.results, qt.DeepEquals, []upstream.Result{upstream.Cancelled{}})
}

// Guards against a request that holds an upstream although the stages after it
// can no longer finish before the deadline.
func TestRunStopsWhenLaterStagesCannotFinish(t *testing.T) {
	c := qt.New(t)
	transport := &fakeTransport{
		calls: []step{{hang: true}},
	}
	job := newJob(assistant(), true, &fakeGuard{})
	for range 50 {
		job.Estimates.Record("generate", 10*time.Second)
	}
	start := time.Now()
	job.Deadline = start.Add(10*time.Second + 200*time.Millisecond)
	ended := newRunner(transport).Run(context.Background(), job, &fakeSink{})
	failed, ok := ended.(outcome.Failed)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", ended))
	c.Assert(failed.Reason, qt.Equals, outcome.Deadline)
	c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
}

// Guards against a request that fails after its first stages because every engine
// is full for a moment, and against one that waits before anything has run.
func TestRunOutwaitsOverload(t *testing.T) {
	refused := make([]step, 12)
	for i := range refused {
		refused[i].err = pipeline.ErrOverloaded
	}
	tests := map[string]struct {
		transport *fakeTransport
		want      outcome.Outcome
	}{
		"later stage": {
			transport: &fakeTransport{
				streams: refused,
			},
			want: outcome.Answered{},
		},
		"first stage": {
			transport: &fakeTransport{
				calls: refused,
			},
			want: outcome.Refused{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ended := newRunner(test.transport).Run(context.Background(), newJob(assistant(), true, &fakeGuard{}), &fakeSink{})
			c.Assert(fmt.Sprintf("%T", ended), qt.Equals, fmt.Sprintf("%T", test.want), qt.Commentf("%+v", ended))
		})
	}
}
