package claimhistory

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// ledger is what the checker needs of a ledger; the faulty variants implement it too.
type ledger interface {
	Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (claim.Decision, error)
	Finish(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, result claim.Result) error
}

type ending int

const (
	finishes ending = iota // records its outcome
	releases               // is not dispatched
	dies                   // its host is killed after dispatch
)

// call is one attempt of a generated run.
type call struct {
	at       time.Duration
	host     int
	identity int
	deadline time.Duration // of the claim
	freeze   time.Duration // the host stops between claim and dispatch
	work     time.Duration
	end      ending
}

type faultKind int

const (
	storeDown     faultKind = iota
	storeSlow               // every call takes 1 s
	storeVerySlow           // every call takes longer than the ledger waits
	answersLost             // every write takes effect without an answer
	writesLate              // every write is unanswered and takes effect 4 s later
	forwardFails            // nothing is sent
	forwardLost             // the owner acts, its answer is lost
	forwardLate             // the owner acts after the sender has given up
	faultKinds
)

type fault struct {
	kind     faultKind
	from, to time.Duration
}

type scenario struct {
	hosts  int
	calls  []call
	faults []fault
}

const identities = 3

func identityNumber(n int) claim.Identity {
	return claim.NewIdentity("awards-ledger", "dairy", fmt.Sprint(n))
}

// input and output are one operation of a history.
type input struct {
	kind     string // claim, done, release or withdraw
	identity int
	attempt  ident.AttemptID
	body     string
}

type output struct {
	kind string // granted, held, completed, refused, ok or unknown
	body string
}

// history collects the operations and executions of a run.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
	executions map[int][]ident.AttemptID
	notRun     []ident.AttemptID
	mayHold    map[int]bool // a killed host may have left a claim on the identity
	leaked     []int        // identities that stayed held without a reason
	outputs    map[string]int
}

func (h *history) call() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(client int, at int64, in input, out output) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	end := h.clock
	if out.kind == "unknown" {
		end = math.MaxInt64
	}
	h.outputs[in.kind+" "+out.kind]++
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     at,
		Output:   out,
		Return:   end,
	})
}

func (h *history) execute(identity int, attempt ident.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[identity] = append(h.executions[identity], attempt)
}

func (h *history) refuse(attempt ident.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notRun = append(h.notRun, attempt)
}

func (h *history) hold(identity int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mayHold[identity] = true
}

// entry is the sequential model's state of one identity. A state is comparable.
type entry struct {
	holder   ident.AttemptID
	done     bool
	body     string
	released string // attempts that can never claim, separated by spaces
}

func (e entry) wasReleased(attempt ident.AttemptID) bool {
	return slices.Contains(strings.Fields(e.released), string(attempt))
}

func (e entry) release(attempt ident.AttemptID) entry {
	if e.holder == attempt && !e.done {
		e.holder = ""
	}
	if !e.wasReleased(attempt) {
		// Sorted, so that states that differ in the order of releases only are equal.
		all := append(strings.Fields(e.released), string(attempt))
		slices.Sort(all)
		e.released = strings.Join(all, " ") + " "
	}
	return e
}

// step returns whether an output is legal, and the state that follows. An
// operation with an unknown output never returns, so one without an effect can
// take its place after all others.
func step(state, in, out any) (legal bool, next any) {
	e, op, result := state.(entry), in.(input), out.(output)
	after := e
	effect := false
	switch op.kind {
	case "claim":
		if e.holder == "" && !e.wasReleased(op.attempt) {
			after.holder, effect = op.attempt, true
		}
	case "done":
		if e.holder == op.attempt && !e.done {
			after.done, after.body, effect = true, op.body, true
		}
	case "release", "withdraw":
		if op.kind == "withdraw" || e.holder == op.attempt && !e.done {
			after, effect = e.release(op.attempt), true
		}
	}
	switch result.kind {
	case "granted", "ok":
		legal = effect
	case "held":
		legal = e.holder != "" && e.holder != op.attempt && !e.done
	case "completed":
		legal = e.done && e.body == result.body
	case "refused":
		legal = true
	case "unknown":
		return true, after
	}
	if effect && (result.kind == "granted" || result.kind == "ok") {
		return legal, after
	}
	return legal, e
}

// check returns what is wrong with a run.
func (h *history) check() error {
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, identities)
			for _, op := range all {
				n := op.Input.(input).identity
				parts[n] = append(parts[n], op)
			}
			return parts
		},
		Init: func() any { return entry{} },
		Step: step,
	}
	for identity, attempts := range h.executions {
		if len(attempts) > 1 {
			return errors.Errorf("identity %d ran %d times: %v", identity, len(attempts), attempts)
		}
	}
	for _, attempt := range h.notRun {
		for _, attempts := range h.executions {
			for _, ran := range attempts {
				if ran == attempt {
					return errors.Errorf("attempt %s was reported as not run and ran", attempt)
				}
			}
		}
	}
	if len(h.leaked) > 0 {
		return errors.Errorf("identities %v are held by attempts that ended", h.leaked)
	}
	if result := porcupine.CheckOperationsTimeout(model, h.operations, 20*time.Second); result != porcupine.Ok {
		return errors.Errorf("history is not linearizable: %s\n%s", result, h)
	}
	return nil
}

func (h *history) String() string {
	var text strings.Builder
	for _, op := range h.operations {
		fmt.Fprintf(&text, "%d..%d host %d: %+v -> %+v\n", op.Call, op.Return, op.ClientId, op.Input, op.Output)
	}
	return text.String()
}

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

// hostStore is the store as one host reaches it.
type hostStore struct {
	kv.Store
	run  *run
	node *node
}

func (s *hostStore) Get(ctx context.Context, key kv.Key) (kv.Entry, error) {
	s.node.wait()
	defer s.node.wait()
	return s.Store.Get(ctx, key)
}

func (s *hostStore) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	s.node.wait()
	defer s.node.wait()
	if s.run.active(writesLate) && ctx.Err() == nil {
		s.run.stray.Go(func() {
			time.Sleep(4 * time.Second)
			_, _ = s.Store.Put(context.Background(), put)
		})
		return 0, errors.Annotate(kv.ErrUncertain, "write is late")
	}
	return s.Store.Put(ctx, put)
}

// forwarder sends calls of one host to the owner of the partition.
type forwarder struct {
	run  *run
	node *node
}

func (f *forwarder) send(ctx context.Context, identity claim.Identity, act func(context.Context, *claim.Ledger) error) error {
	owner := f.run.nodes[int(identity.Partition())%len(f.run.nodes)]
	if owner == f.node || f.run.active(forwardFails) {
		return errors.Trace(claim.ErrNotForwarded)
	}
	if f.run.active(forwardLate) {
		f.run.stray.Go(func() {
			time.Sleep(5 * time.Second)
			late, cancel := context.WithTimeout(owner.ctx, 5*time.Second)
			defer cancel()
			_ = act(late, owner.real)
		})
		return errors.New("owner does not answer")
	}
	if owner.ctx.Err() != nil {
		<-ctx.Done()
		return errors.New("owner does not answer")
	}
	err := act(ctx, owner.real)
	if f.run.active(forwardLost) {
		return errors.New("answer of the owner is lost")
	}
	return err
}

func (f *forwarder) Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (decision claim.Decision, err error) {
	// A late call must not write to the variables that this call returns.
	result := make(chan claim.Decision, 1)
	err = f.send(ctx, identity, func(ctx context.Context, owner *claim.Ledger) error {
		made, err := owner.Accept(ctx, hostName(f.node.number), identity, attempt)
		result <- made
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-result, nil
}

func (f *forwarder) Finish(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, result claim.Result) error {
	return f.send(ctx, identity, func(ctx context.Context, owner *claim.Ledger) error {
		return owner.AcceptFinish(ctx, hostName(f.node.number), identity, attempt, result)
	})
}

func hostName(number int) ident.HostID {
	return ident.HostID(fmt.Sprintf("host-%d", number))
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
