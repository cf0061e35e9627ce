package pipeline_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/timeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// step is the scripted result of one attempt. A stream fails with err after the
// given number of tokens.
type step struct {
	err          error
	tokens       int
	resend       int  // number of tokens before the requested offset that the stream sends again
	wrongAttempt bool // responds with the id of another attempt
	hang         bool // returns only when its context ends
	untilHedge   bool // returns only after a second attempt, the hedge, has started
}

// fakeTransport returns scripted results and records what it executed.
type fakeTransport struct {
	mu            sync.Mutex
	calls         []step // results of Call, in order; after the last one every call succeeds
	streams       []step // results of Generate, likewise
	executed      []string
	started       int
	secondStarted chan struct{} // closed when the second call starts
}

// nextStep removes the first step of the script and returns it, or a success if the
// script is empty.
func (f *fakeTransport) nextStep(script *[]step) step {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(*script) == 0 {
		return step{
			tokens: responseTokens,
		}
	}
	s := (*script)[0]
	*script = (*script)[1:]
	return s
}

func (f *fakeTransport) logExecution(entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executed = append(f.executed, entry)
}

func (f *fakeTransport) Call(ctx context.Context, _ ident.Address, call pipeline.Call) (pipeline.Reply, error) {
	s := f.nextStep(&f.calls)
	f.mu.Lock()
	f.started++
	if f.started == 2 && f.secondStarted != nil {
		close(f.secondStarted)
	}
	f.mu.Unlock()
	if s.untilHedge {
		<-f.secondStarted
	}
	if s.hang {
		<-ctx.Done()
		// The error that internal/stagehttp returns if the context ends.
		return pipeline.Reply{}, fmt.Errorf("%w: %w", pipeline.ErrLost, ctx.Err())
	}
	if s.err != nil {
		return pipeline.Reply{}, s.err
	}
	f.logExecution(call.Path)
	var in struct {
		Input string `json:"input"`
	}
	_ = json.Unmarshal(call.Body, &in)
	body, err := json.Marshal(map[string]string{
		"output": call.Path + "(" + in.Input + ")",
	})
	reply := pipeline.Reply{
		Attempt: call.Attempt,
		Status:  http.StatusOK,
		Type:    "application/json",
		Body:    body,
	}
	if s.wrongAttempt {
		reply.Attempt = "another"
	}
	return reply, err
}

func (f *fakeTransport) Generate(_ context.Context, _ ident.Address, g pipeline.Generation) (pipeline.Tokens, error) {
	s := f.nextStep(&f.streams)
	if s.tokens == 0 && s.err != nil {
		return nil, s.err
	}
	f.logExecution("generate")
	return &fakeTokens{
		step:      s,
		offset:    g.Offset - s.resend,
		remaining: s.tokens,
	}, nil
}

type fakeTokens struct {
	step      step
	offset    int
	remaining int
}

func (t *fakeTokens) Next() (pipeline.Token, error) {
	if t.offset >= responseTokens {
		return pipeline.Token{}, io.EOF
	}
	if t.remaining == 0 {
		return pipeline.Token{}, t.step.err
	}
	t.remaining--
	t.offset++
	return pipeline.Token{
		Offset: t.offset - 1,
		Text:   fmt.Sprintf("t%d ", t.offset-1),
	}, nil
}

func (t *fakeTokens) Load() *upstream.Load { return nil }

func (t *fakeTokens) Close() error { return nil }

// fakeGuard counts the connections that were lost.
type fakeGuard struct {
	allowRetry      bool
	alive           bool // the upstreams of lost connections have not crashed
	lostConnections int
}

func (g *fakeGuard) ConnectionLost(context.Context, upstream.Lease) bool {
	g.lostConnections++
	return !g.alive
}

func (g *fakeGuard) AllowRetry(context.Context) bool { return g.allowRetry }

type fakeMeter struct{}

func (fakeMeter) Add(pipeline.Use) {}

type fakeRecorder struct{}

func (fakeRecorder) Record(timeline.Event) {}

type fakeSink struct {
	text strings.Builder
	err  error
}

func (s *fakeSink) Token(text string) error {
	s.text.WriteString(text)
	return s.err
}

func pipelineService() *document.Service {
	service := &document.Service{
		Name:             "nutmeg-pool",
		Kind:             document.Pipeline,
		Deadline:         time.Second,
		AttainmentWeight: 1,
	}
	for _, kind := range []document.StageKind{document.Encode, document.Rerank, document.Generate} {
		service.Stages = append(service.Stages, document.Stage{
			Name: ident.StageName(kind),
			Kind: kind,
			Pool: pool(),
			Cost: 1,
		})
	}
	return service
}

func plainService() *document.Service {
	return &document.Service{
		Name: "entries-api",
		Kind: document.Plain,
	}
}

func pool() document.PoolRef {
	return document.PoolRef{
		Service: "nutmeg-pool",
		Pool:    "all",
	}
}

func newRunner(transport pipeline.Transport) *pipeline.Runner {
	table := upstream.New(upstream.Config{
		Host:   "h",
		Domain: "erie-hall",
		Now:    time.Now,
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	var members []upstream.Member
	for i := range 5 {
		members = append(members, upstream.Member{
			Pool:        pool(),
			Upstream:    ident.UpstreamID(fmt.Sprintf("u%d", i)),
			Incarnation: 1,
			Address:     ident.Address(fmt.Sprintf("127.0.0.1:%d", 9000+i)),
			Domain:      "erie-hall",
		})
	}
	table.Offer(members)
	table.Tick(time.Now())
	attempts := 0
	var mu sync.Mutex
	return pipeline.New(pipeline.Config{
		Transport: transport,
		Selector:  table,
		Meter:     fakeMeter{},
		Recorder:  fakeRecorder{},
		Now:       time.Now,
		NewAttempt: func() ident.AttemptID {
			mu.Lock()
			defer mu.Unlock()
			attempts++
			return ident.AttemptID(fmt.Sprintf("a%d", attempts))
		},
	})
}

func newJob(service *document.Service, repeatable bool, guard pipeline.Guard) pipeline.Job {
	return pipeline.Job{
		Request: "r1",
		Service: service,
		Route: &document.Route{
			Repeatable: repeatable,
			Pool:       pool(),
		},
		Guard:     guard,
		Prompt:    "q",
		Path:      "/entries",
		Method:    http.MethodPost,
		Stream:    true,
		Deadline:  time.Now().Add(5 * time.Second),
		Budget:    pipeline.NewBudget(time.Now),
		Estimates: pipeline.NewEstimates(time.Now),
	}
}
