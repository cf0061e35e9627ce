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
	number int
	ledger ledger
	real   *claim.Ledger // nil for a variant
	ctx    context.Context
	kill   context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	thaw   time.Time
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaw = time.Now().Add(d)
}

// wait blocks while the host is frozen.
func (n *node) wait() {
	n.mu.Lock()
	left := time.Until(n.thaw)
	n.mu.Unlock()
	time.Sleep(left)
}

// run is a scenario in progress.
type run struct {
	scenario
	*history
	store *memkv.Store
	start time.Time
	nodes []*node
	stray sync.WaitGroup // late writes and forwards
}

// active reports whether a fault of the kind is present.
func (r *run) active(kind faultKind) bool {
	elapsed := time.Since(r.start)
	for _, f := range r.faults {
		if f.kind == kind && f.from <= elapsed && elapsed < f.to {
			return true
		}
	}
	return false
}

// inject keeps the faults of the store as the scenario states until ctx ends.
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
		if r.active(answersLost) {
			faults.LoseAnswer = 1_000_000
		}
		r.store.SetFaults(faults)
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	r.store.SetFaults(memkv.Faults{})
}

// variant makes a faulty ledger; nil stands for the real one.
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
		ctx, heal := context.WithCancel(context.Background())
		healed := make(chan struct{})
		go func() {
			r.inject(ctx)
			close(healed)
		}()
		var calls sync.WaitGroup
		for number, made := range plan.calls {
			calls.Go(func() {
				r.attempt(made, ident.AttemptID(fmt.Sprintf("a%d", number)))
			})
		}
		calls.Wait()
		for _, f := range plan.faults {
			time.Sleep(f.to - time.Since(r.start))
		}
		heal()
		<-healed
		r.stray.Wait()
		r.settle(t, faulty)
		for _, node := range r.nodes {
			node.kill()
			<-node.done
		}
		r.stray.Wait()
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

// attempt claims, dispatches and finishes one call as a host does.
func (r *run) attempt(made call, attempt ident.AttemptID) {
	time.Sleep(made.at)
	n := r.nodes[made.host]
	n.wait()
	if n.ctx.Err() != nil {
		return
	}
	if !r.claim(n, made, attempt) {
		return
	}
	if made.freeze > 0 {
		n.freeze(made.freeze)
	}
	n.wait()
	if n.ctx.Err() != nil {
		r.hold(made.identity)
		return
	}
	if made.end == releases {
		r.refuse(attempt)
		r.finish(n, made, attempt, claim.Released{})
		return
	}
	r.execute(made.identity, attempt)
	if made.end == dies {
		r.hold(made.identity)
		n.kill()
		return
	}
	time.Sleep(made.work)
	r.finish(n, made, attempt, claim.Done{
		Status: 200,
		Body:   []byte(outcomeOf(attempt)),
	})
}

// outcomeOf is large, so that a few outcomes fill a segment.
func outcomeOf(attempt ident.AttemptID) string {
	return string(attempt) + strings.Repeat(" ", 6000)
}

// claim reports whether the attempt was granted.
func (r *run) claim(n *node, made call, attempt ident.AttemptID) bool {
	ctx, cancel := context.WithTimeout(n.ctx, made.deadline)
	defer cancel()
	in := input{
		kind:     "claim",
		identity: made.identity,
		attempt:  attempt,
	}
	at := r.call()
	decision, err := n.ledger.Claim(ctx, identityNumber(made.identity), attempt)
	n.wait()
	out := output{
		kind: "refused",
	}
	switch {
	case errors.Is(err, claim.ErrStore):
	case err != nil:
		out.kind = "unknown"
		if n.ctx.Err() != nil {
			r.hold(made.identity)
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
	r.add(n.number, at, in, out)
	if out.kind == "unknown" {
		in.kind = "withdraw"
		r.add(n.number, r.call(), in, out)
	}
	if out.kind != "granted" {
		r.refuse(attempt)
	}
	return out.kind == "granted"
}

func (r *run) finish(n *node, made call, attempt ident.AttemptID, result claim.Result) {
	ctx, cancel := context.WithTimeout(n.ctx, made.deadline)
	defer cancel()
	in := input{
		kind:     "release",
		identity: made.identity,
		attempt:  attempt,
	}
	if _, ok := result.(claim.Done); ok {
		in.kind = "done"
		in.body = string(attempt)
	}
	at := r.call()
	err := n.ledger.Finish(ctx, identityNumber(made.identity), attempt, result)
	out := output{
		kind: "ok",
	}
	if err != nil {
		out.kind = "unknown"
		if n.ctx.Err() != nil {
			r.hold(made.identity)
		}
		if errors.Is(err, claim.ErrNotHolder) {
			out.kind = "not the holder"
		}
	}
	r.add(n.number, at, in, out)
}

// settle drains the hosts and claims each identity once more on a new host.
// An identity without an execution must be free unless a killed host may hold it.
func (r *run) settle(t *testing.T, faulty variant) {
	for _, n := range r.nodes {
		n.wait()
		if n.real == nil || n.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if left := n.real.Drain(ctx); left != 0 {
			t.Errorf("%d outcomes of host %d are not written a minute after the faults", left, n.number)
		}
		cancel()
	}
	for _, n := range r.nodes {
		if n.ctx.Err() != nil {
			// The outcomes that were pending on a killed host are lost.
			for identity := range identities {
				r.hold(identity)
			}
		}
	}
	probe := r.startNode(len(r.nodes), faulty)
	for identity := range identities {
		made := call{
			identity: identity,
			deadline: time.Minute,
		}
		granted := r.claim(probe, made, ident.AttemptID(fmt.Sprintf("probe%d", identity)))
		if !granted && len(r.executions[identity]) == 0 && !r.mayHold[identity] {
			r.leaked = append(r.leaked, identity)
		}
	}
	probe.kill()
	<-probe.done
}
