package claimhistory

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
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
