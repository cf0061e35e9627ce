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

// ledger is the interface that the simulation uses. claim.Ledger and the faulty
// variants implement it.
type ledger interface {
	Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (claim.Decision, error)
	Finish(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, result claim.Result) error
}

// ending is what an attempt does after it was granted.
type ending int

const (
	finishes ending = iota // records its outcome
	releases               // is not dispatched
	crashes                // its host is killed after dispatch
)

// call is one attempt of a scenario.
type call struct {
	at       time.Duration // start, since the start of the run
	host     int
	identity int
	deadline time.Duration // of the claim
	freeze   time.Duration // how long the host is frozen between claim and dispatch
	work     time.Duration // execution time
	end      ending
}

type faultKind int

const (
	storeDown        faultKind = iota
	storeSlow                  // every call takes 1 s
	storeVerySlow              // every call takes longer than the ledger's timeout for the store
	responsesLost              // every write takes effect, but its response is lost
	writesDelayed              // every write returns kv.ErrUncertain and takes effect 4 s later
	forwardFails               // nothing is sent
	forwardReplyLost           // the owner processes the call, but its reply is lost
	forwardDelayed             // the owner processes the call after the sender's timeout
	numFaultKinds
)

// fault is active in the interval [from, to), measured since the start of the run.
type fault struct {
	kind     faultKind
	from, to time.Duration
}

type scenario struct {
	hosts  int
	calls  []call
	faults []fault
}

const numIdentities = 3

func testIdentity(n int) claim.Identity {
	return claim.NewIdentity("awards-ledger", "dairy", fmt.Sprint(n))
}

// input is the call of an operation in a history.
type input struct {
	kind     string // claim, done, release or withdraw
	identity int
	attempt  ident.AttemptID
	body     string
}

// output is the result of an operation in a history.
type output struct {
	kind string // granted, held, completed, refused, ok, unknown or not the holder
	body string
}

// history collects the operations and executions of a run.
type history struct {
	mu         sync.Mutex
	clock      int64 // logical time of the last event
	operations []porcupine.Operation
	executions map[int][]ident.AttemptID // attempts that ran, by identity
	notRun     []ident.AttemptID         // attempts that were reported as not run
	mayHold    map[int]bool              // a killed host may have left a claim on the identity
	leaked     []int                     // identities that are held although no attempt ran and no killed host may hold them
	outputs    map[string]int            // number of operations by kinds of input and output
}

// tick advances the logical clock and returns its time.
func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) record(client int, callTime int64, in input, out output) {
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
		Call:     callTime,
		Output:   out,
		Return:   end,
	})
}

func (h *history) recordExecution(identity int, attempt ident.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[identity] = append(h.executions[identity], attempt)
}

func (h *history) markNotRun(attempt ident.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notRun = append(h.notRun, attempt)
}

func (h *history) markMayHold(identity int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mayHold[identity] = true
}

// identityState is the state of one identity in the sequential model. It is a
// comparable type, as porcupine compares states by ==.
type identityState struct {
	holder   ident.AttemptID
	done     bool
	body     string
	released string // attempts that can never claim, separated by spaces
}

func (e identityState) wasReleased(attempt ident.AttemptID) bool {
	return slices.Contains(strings.Fields(e.released), string(attempt))
}

func (e identityState) release(attempt ident.AttemptID) identityState {
	if e.holder == attempt && !e.done {
		e.holder = ""
	}
	if !e.wasReleased(attempt) {
		// Sorted, so that states that differ only in the order of releases are equal.
		all := append(strings.Fields(e.released), string(attempt))
		slices.Sort(all)
		e.released = strings.Join(all, " ") + " "
	}
	return e
}

// step returns whether an output is legal in a state, and the state that follows.
// An operation with an unknown output is recorded as never returning, so if it had
// no effect, the checker can order it after all others.
func step(state, in, out any) (legal bool, next any) {
	e, op, got := state.(identityState), in.(input), out.(output)
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
	switch got.kind {
	case "granted", "ok":
		legal = effect
	case "held":
		legal = e.holder != "" && e.holder != op.attempt && !e.done
	case "completed":
		legal = e.done && e.body == got.body
	case "refused":
		legal = true
	case "unknown":
		return true, after
	}
	if effect && (got.kind == "granted" || got.kind == "ok") {
		return legal, after
	}
	return legal, e
}

// check returns an error that describes the first violation found in a run.
func (h *history) check() error {
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, numIdentities)
			for _, op := range all {
				n := op.Input.(input).identity
				parts[n] = append(parts[n], op)
			}
			return parts
		},
		Init: func() any { return identityState{} },
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

// hostStore is the store as seen by one host. Its Get and Put block while the host is
// frozen, and Put applies writesDelayed.
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
	if s.run.active(writesDelayed) && ctx.Err() == nil {
		s.run.delayed.Go(func() {
			time.Sleep(4 * time.Second)
			_, _ = s.Store.Put(context.Background(), put)
		})
		return 0, errors.Annotate(kv.ErrUncertain, "write is delayed")
	}
	return s.Store.Put(ctx, put)
}

// forwarder sends calls of one host to the owner of the partition, subject to the
// forwarding faults of the run.
type forwarder struct {
	run  *run
	node *node
}

func (f *forwarder) send(ctx context.Context, identity claim.Identity, call func(context.Context, *claim.Ledger) error) error {
	owner := f.run.nodes[int(identity.Partition())%len(f.run.nodes)]
	if owner == f.node || f.run.active(forwardFails) {
		return errors.Trace(claim.ErrNotForwarded)
	}
	if f.run.active(forwardDelayed) {
		f.run.delayed.Go(func() {
			time.Sleep(5 * time.Second)
			late, cancel := context.WithTimeout(owner.ctx, 5*time.Second)
			defer cancel()
			_ = call(late, owner.real)
		})
		return errors.New("owner does not reply")
	}
	if owner.ctx.Err() != nil {
		<-ctx.Done()
		return errors.New("owner does not reply")
	}
	err := call(ctx, owner.real)
	if f.run.active(forwardReplyLost) {
		return errors.New("reply of the owner is lost")
	}
	return err
}

func (f *forwarder) Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (decision claim.Decision, err error) {
	// A delayed call must not write to the result variables of this function, which
	// has returned by then.
	result := make(chan claim.Decision, 1)
	err = f.send(ctx, identity, func(ctx context.Context, owner *claim.Ledger) error {
		d, err := owner.Accept(ctx, hostName(f.node.number), identity, attempt)
		result <- d
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
