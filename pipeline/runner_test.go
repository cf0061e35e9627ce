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

const responseTokens = 6

const fullText = "t0 t1 t2 t3 t4 t5 "

// Guards against responses with lost or repeated tokens, and against failures that
// are reported as success, when the attempts of a pipeline fail.
func TestRunPipeline(t *testing.T) {
	cases := map[string]struct {
		calls           []step
		streams         []step
		denied          bool // the guard allows no retry after a crash
		alive           bool // the upstream has not crashed
		want            outcome.Outcome
		text            string
		lostConnections int
	}{
		"no fault": {
			want: outcome.Answered{},
			text: fullText,
		},
		"upstream refuses the connection": {
			calls: []step{{err: pipeline.ErrNotSent}},
			want:  outcome.Answered{},
			text:  fullText,
		},
		"upstream is leaving": {
			calls: []step{{err: pipeline.ErrLeaving}, {err: pipeline.ErrLeaving}},
			want:  outcome.Answered{},
			text:  fullText,
		},
		"every upstream refuses the connection": {
			calls: []step{{err: pipeline.ErrNotSent}, {err: pipeline.ErrNotSent}, {err: pipeline.ErrNotSent}, {err: pipeline.ErrNotSent}},
			want:  outcome.Refused{},
		},
		"response of another attempt": {
			calls: []step{{wrongAttempt: true}},
			want:  outcome.Answered{},
			text:  fullText,
		},
		"connection lost in a stage": {
			calls:           []step{{err: pipeline.ErrLost}},
			want:            outcome.Answered{},
			text:            fullText,
			lostConnections: 1,
		},
		"connection lost and no retry allowed": {
			calls:           []step{{err: pipeline.ErrLost}},
			denied:          true,
			want:            outcome.Failed{},
			lostConnections: 1,
		},
		"connection lost to a live upstream": {
			calls:           []step{{err: pipeline.ErrLost}},
			denied:          true,
			alive:           true,
			want:            outcome.Answered{},
			text:            fullText,
			lostConnections: 1,
		},
		"bad request at an upstream": {
			calls: []step{{err: pipeline.StatusError{Status: 400}}},
			want:  outcome.Failed{},
		},
		"stream breaks": {
			streams:         []step{{tokens: 2, err: pipeline.ErrLost}},
			want:            outcome.Answered{},
			text:            fullText,
			lostConnections: 1,
		},
		"stream breaks and the next stream repeats tokens": {
			streams:         []step{{tokens: 3, err: pipeline.ErrLost}, {tokens: responseTokens, resend: 2}},
			want:            outcome.Answered{},
			text:            fullText,
			lostConnections: 1,
		},
		"stream breaks and the next stream skips a token": {
			streams:         []step{{tokens: 2, err: pipeline.ErrLost}, {tokens: responseTokens, resend: -1}},
			want:            outcome.Answered{},
			text:            fullText,
			lostConnections: 2,
		},
		"streams break beyond the retry budget": {
			streams:         []step{{tokens: 1, err: pipeline.ErrLost}, {tokens: 1, err: pipeline.ErrLost}, {tokens: 1, err: pipeline.ErrLost}},
			want:            outcome.Failed{},
			text:            "t0 t1 t2 ",
			lostConnections: 3,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			guard := &fakeGuard{
				allowRetry: !tc.denied,
				alive:      tc.alive,
			}
			sink := &fakeSink{}
			transport := &fakeTransport{
				calls:   tc.calls,
				streams: tc.streams,
			}
			got := newRunner(transport).Run(context.Background(), newJob(pipelineService(), true, guard), sink)
			c.Check(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", tc.want), qt.Commentf("%+v", got))
			c.Check(sink.text.String(), qt.Equals, tc.text)
			c.Check(guard.lostConnections, qt.Equals, tc.lostConnections)
			if _, refused := got.(outcome.Refused); refused {
				c.Check(transport.executed, qt.HasLen, 0)
			}
		})
	}
}

// Guards against a non-repeatable call that is executed twice, and against
// outcome.Refused for a call that was executed.
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
		"response of another attempt": {
			calls:    []step{{wrongAttempt: true}},
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
				allowRetry: true,
			}), nil)
			c.Check(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", tc.want), qt.Commentf("%+v", got))
			c.Check(transport.executed, qt.HasLen, tc.executed)
		})
	}
}

// Guards against a straggler that is not hedged although the duration of its stage
// is known, and against one that is not cancelled after the hedge succeeds.
func TestRunHedgesStraggler(t *testing.T) {
	c := qt.New(t)
	transport := &fakeTransport{
		calls: []step{{hang: true}},
	}
	job := newJob(pipelineService(), true, &fakeGuard{})
	for range 50 {
		job.Estimates.Record("encode", time.Millisecond)
	}
	got := newRunner(transport).Run(context.Background(), job, &fakeSink{})
	c.Assert(got, qt.Satisfies, func(o outcome.Outcome) bool {
		_, ok := o.(outcome.Answered)
		return ok
	})
}

// Guards against a crash that is not recorded because a hedge is running: the hedge
// may crash a second upstream, and a third attempt would exceed the bound of two
// crashes for each request.
func TestRunRecordsCrashOfHedgedAttempt(t *testing.T) {
	cases := map[string]struct {
		hedge           step
		lostConnections int
	}{
		"hedge succeeds": {step{}, 1},
		"hedge crashes":  {step{err: pipeline.ErrLost}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			guard := &fakeGuard{}
			transport := &fakeTransport{
				calls:         []step{{err: pipeline.ErrLost, untilHedge: true}, tc.hedge},
				secondStarted: make(chan struct{}),
			}
			job := newJob(pipelineService(), true, guard)
			for range 50 {
				job.Estimates.Record("encode", time.Millisecond)
			}
			_ = newRunner(transport).Run(context.Background(), job, &fakeSink{})
			c.Assert(guard.lostConnections, qt.Equals, tc.lostConnections)
			c.Assert(len(transport.executed) > 0, qt.Equals, tc.lostConnections == 1)
		})
	}
}

// Guards against starting a request that cannot finish before its deadline.
func TestRunRefusesLateRequest(t *testing.T) {
	c := qt.New(t)
	transport := &fakeTransport{}
	job := newJob(pipelineService(), true, &fakeGuard{})
	for range 50 {
		job.Estimates.Record("generate", 10*time.Second)
	}
	got := newRunner(transport).Run(context.Background(), job, &fakeSink{})
	refused, ok := got.(outcome.Refused)
	c.Assert(ok, qt.IsTrue)
	c.Assert(refused.Reason, qt.Equals, outcome.Deadline)
	c.Assert(transport.executed, qt.HasLen, 0)
}

// Guards against a generation that goes on after the caller stopped reading.
func TestRunStopsWhenCallerLeaves(t *testing.T) {
	c := qt.New(t)
	sink := &fakeSink{
		err: errors.New("closed"),
	}
	got := newRunner(&fakeTransport{}).Run(context.Background(), newJob(pipelineService(), true, &fakeGuard{}), sink)
	failed, ok := got.(outcome.Failed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(failed.Reason, qt.Equals, outcome.Incomplete)
}

// Guards against requests that become suspects because an upstream is slow: an
// attempt that ends at the timeout of the stage is no lost connection.
func TestRunTimeoutIsNoCrash(t *testing.T) {
	tests := map[string]struct {
		service    *document.Service
		repeatable bool
		want       outcome.Outcome
	}{
		"stage": {
			service:    pipelineService(),
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
				allowRetry: true,
			}
			job := newJob(test.service, test.repeatable, guard)
			job.Deadline = time.Now().Add(200 * time.Millisecond)
			got := newRunner(transport).Run(context.Background(), job, &fakeSink{})
			c.Assert(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", test.want))
			c.Assert(guard.lostConnections, qt.Equals, 0)
		})
	}
}

// cancelledTransport returns from Call when the context ends, before any byte is sent.
type cancelledTransport struct {
	fakeTransport
}

func (t *cancelledTransport) Call(ctx context.Context, _ ident.Address, _ pipeline.Call) (pipeline.Reply, error) {
	<-ctx.Done()
	return pipeline.Reply{}, fmt.Errorf("%w: %w", pipeline.ErrNotSent, ctx.Err())
}

// resultSelector records the results of attempts.
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

// Guards against the ejection of healthy upstreams: an attempt that is cancelled
// while it connects, such as a hedge, is no failure of its upstream.
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
	runner.Run(ctx, newJob(pipelineService(), true, &fakeGuard{}), &fakeSink{})
	c.Assert(selector.results, qt.DeepEquals, []upstream.Result{upstream.Cancelled{}})
}

// Guards against a request that occupies an upstream although its later stages can
// no longer finish before the deadline.
func TestRunStopsWhenLaterStagesCannotFinish(t *testing.T) {
	c := qt.New(t)
	transport := &fakeTransport{
		calls: []step{{hang: true}},
	}
	job := newJob(pipelineService(), true, &fakeGuard{})
	for range 50 {
		job.Estimates.Record("generate", 10*time.Second)
	}
	start := time.Now()
	job.Deadline = start.Add(10*time.Second + 200*time.Millisecond)
	got := newRunner(transport).Run(context.Background(), job, &fakeSink{})
	failed, ok := got.(outcome.Failed)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", got))
	c.Assert(failed.Reason, qt.Equals, outcome.Deadline)
	c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
}

// Guards against a request that fails after its first stages because every engine
// is overloaded for a short time, and against a request that waits although no part
// of it has run.
func TestRunWaitsForCapacityOnOverload(t *testing.T) {
	overloaded := make([]step, 12)
	for i := range overloaded {
		overloaded[i].err = pipeline.ErrOverloaded
	}
	tests := map[string]struct {
		transport *fakeTransport
		want      outcome.Outcome
	}{
		"later stage": {
			transport: &fakeTransport{
				streams: overloaded,
			},
			want: outcome.Answered{},
		},
		"first stage": {
			transport: &fakeTransport{
				calls: overloaded,
			},
			want: outcome.Refused{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := newRunner(test.transport).Run(context.Background(), newJob(pipelineService(), true, &fakeGuard{}), &fakeSink{})
			c.Assert(fmt.Sprintf("%T", got), qt.Equals, fmt.Sprintf("%T", test.want), qt.Commentf("%+v", got))
		})
	}
}
