package claimhistory

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// node is one host of a run.
type node struct {
	number      int
	ledger      ledger
	real        *claim.Ledger // nil if ledger is a faulty variant
	ctx         context.Context
	kill        context.CancelFunc
	done        chan struct{}
	mu          sync.Mutex
	frozenUntil time.Time
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil = time.Now().Add(d)
}

// wait blocks while the host is frozen.
func (n *node) wait() {
	n.mu.Lock()
	remaining := time.Until(n.frozenUntil)
	n.mu.Unlock()
	time.Sleep(remaining)
}

// run is the execution of a scenario.
type run struct {
	scenario
	*history
	store   *memkv.Store
	start   time.Time
	nodes   []*node
	delayed sync.WaitGroup // writes and forwarded calls that take effect late
}

// active reports whether a fault of the kind is active now.
func (r *run) active(kind faultKind) bool {
	elapsed := time.Since(r.start)
	for _, f := range r.faults {
		if f.kind == kind && f.from <= elapsed && elapsed < f.to {
			return true
		}
	}
	return false
}

// inject applies the scenario's faults to the store until ctx ends, and then removes them.
func (r *run) inject(ctx context.Context) {
	for ctx.Err() == nil {
		faults := memkv.Faults{
			Down: r.active(storeDown),
		}
		switch {
		case r.active(storeVerySlow):
			faults.Delay = 3 * time.Second
		case r.active(storeSlow):
			faults.Delay = time.Second
		}
		if r.active(responsesLost) {
			faults.LoseResponse = 1_000_000
		}
		r.store.SetFaults(faults)
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	r.store.SetFaults(memkv.Faults{})
}

// variant returns a new faulty ledger. A nil variant stands for claim.Ledger.
type variant func(store kv.Store) ledger

// simulate runs a scenario in virtual time and returns its history.
func simulate(t *testing.T, plan scenario, faulty variant) *history {
	h := &history{
		executions: make(map[int][]ident.AttemptID),
		mayHold:    make(map[int]bool),
		outputs:    make(map[string]int),
	}
	synctest.Test(t, func(t *testing.T) {
		r := &run{
			scenario: plan,
			history:  h,
			store:    memkv.New(time.Now),
			start:    time.Now(),
		}
		for number := range plan.hosts {
			r.nodes = append(r.nodes, r.startNode(number, faulty))
		}
		ctx, stopFaults := context.WithCancel(context.Background())
		faultsStopped := make(chan struct{})
		go func() {
			r.inject(ctx)
			close(faultsStopped)
		}()
		var calls sync.WaitGroup
		for number, c := range plan.calls {
			calls.Go(func() {
				r.attempt(c, ident.AttemptID(fmt.Sprintf("a%d", number)))
			})
		}
		calls.Wait()
		for _, f := range plan.faults {
			time.Sleep(f.to - time.Since(r.start))
		}
		stopFaults()
		<-faultsStopped
		r.delayed.Wait()
		r.drainAndProbe(t, faulty)
		for _, node := range r.nodes {
			node.kill()
			<-node.done
		}
		r.delayed.Wait()
	})
	return h
}

func (r *run) startNode(number int, faulty variant) *node {
	n := &node{
		number: number,
		done:   make(chan struct{}),
	}
	n.ctx, n.kill = context.WithCancel(context.Background())
	store := &hostStore{
		Store: r.store,
		run:   r,
		node:  n,
	}
	if faulty != nil {
		n.ledger = faulty(store)
		close(n.done)
		return n
	}
	n.real = claim.New(claim.Config{
		Store: store,
		Host:  hostName(number),
		Forwarder: &forwarder{
			run:  r,
			node: n,
		},
	})
	n.ledger = n.real
	go func() {
		_ = n.real.Run(n.ctx)
		close(n.done)
	}()
	return n
}

// attempt claims, dispatches and finishes one call in the same order as a host.
func (r *run) attempt(c call, attempt ident.AttemptID) {
	time.Sleep(c.at)
	n := r.nodes[c.host]
	n.wait()
	if n.ctx.Err() != nil {
		return
	}
	if !r.claim(n, c, attempt) {
		return
	}
	if c.freeze > 0 {
		n.freeze(c.freeze)
	}
	n.wait()
	if n.ctx.Err() != nil {
		r.markMayHold(c.identity)
		return
	}
	if c.end == releases {
		r.markNotRun(attempt)
		r.finish(n, c, attempt, claim.Released{})
		return
	}
	r.recordExecution(c.identity, attempt)
	if c.end == crashes {
		r.markMayHold(c.identity)
		n.kill()
		return
	}
	time.Sleep(c.work)
	r.finish(n, c, attempt, claim.Done{
		Status: 200,
		Body:   []byte(outcomeOf(attempt)),
	})
}

// outcomeOf returns the response body of an attempt. It is so large that a few
// outcomes fill a segment.
func outcomeOf(attempt ident.AttemptID) string {
	return string(attempt) + strings.Repeat(" ", 6000)
}

// claim claims the identity of a call and reports whether the attempt was granted it.
func (r *run) claim(n *node, c call, attempt ident.AttemptID) bool {
	ctx, cancel := context.WithTimeout(n.ctx, c.deadline)
	defer cancel()
	in := input{
		kind:     "claim",
		identity: c.identity,
		attempt:  attempt,
	}
	callTime := r.tick()
	decision, err := n.ledger.Claim(ctx, testIdentity(c.identity), attempt)
	n.wait()
	out := output{
		kind: "refused",
	}
	switch {
	case errors.Is(err, claim.ErrStore):
	case err != nil:
		out.kind = "unknown"
		if n.ctx.Err() != nil {
			r.markMayHold(c.identity)
		}
	default:
		switch decision := decision.(type) {
		case claim.Granted:
			out.kind = "granted"
		case claim.InProgress:
			if !decision.Stale {
				out.kind = "held"
			}
		case claim.Completed:
			out.kind = "completed"
			out.body, _, _ = strings.Cut(string(decision.Body), " ")
		}
	}
	r.record(n.number, callTime, in, out)
	if out.kind == "unknown" {
		in.kind = "withdraw"
		r.record(n.number, r.tick(), in, out)
	}
	if out.kind != "granted" {
		r.markNotRun(attempt)
	}
	return out.kind == "granted"
}

func (r *run) finish(n *node, c call, attempt ident.AttemptID, result claim.Result) {
	ctx, cancel := context.WithTimeout(n.ctx, c.deadline)
	defer cancel()
	in := input{
		kind:     "release",
		identity: c.identity,
		attempt:  attempt,
	}
	if _, ok := result.(claim.Done); ok {
		in.kind = "done"
		in.body = string(attempt)
	}
	callTime := r.tick()
	err := n.ledger.Finish(ctx, testIdentity(c.identity), attempt, result)
	out := output{
		kind: "ok",
	}
	if err != nil {
		out.kind = "unknown"
		if n.ctx.Err() != nil {
			r.markMayHold(c.identity)
		}
		if errors.Is(err, claim.ErrNotHolder) {
			out.kind = "not the holder"
		}
	}
	r.record(n.number, callTime, in, out)
}

// drainAndProbe drains the hosts and claims each identity once more on a new host.
// It records an identity as leaked if the claim is not granted although no attempt
// was executed and no killed host may hold the identity.
func (r *run) drainAndProbe(t *testing.T, faulty variant) {
	for _, n := range r.nodes {
		n.wait()
		if n.real == nil || n.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if pending := n.real.Drain(ctx); pending != 0 {
			t.Errorf("%d outcomes of host %d are not written a minute after the faults", pending, n.number)
		}
		cancel()
	}
	for _, n := range r.nodes {
		if n.ctx.Err() != nil {
			// The outcomes that were pending on a killed host are lost.
			for identity := range numIdentities {
				r.markMayHold(identity)
			}
		}
	}
	probe := r.startNode(len(r.nodes), faulty)
	for identity := range numIdentities {
		c := call{
			identity: identity,
			deadline: time.Minute,
		}
		granted := r.claim(probe, c, ident.AttemptID(fmt.Sprintf("probe%d", identity)))
		if !granted && len(r.executions[identity]) == 0 && !r.mayHold[identity] {
			r.leaked = append(r.leaked, identity)
		}
	}
	probe.kill()
	<-probe.done
}
