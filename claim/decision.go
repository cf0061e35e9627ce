package claim

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Errors of the ledger, possibly annotated.
const (
	// ErrStore states that the claim is not written and will not be; the request did not run.
	ErrStore = errors.ConstError("claim not written")
	// ErrUndecided states that the claim may be written. The request must not run;
	// the ledger releases the claim in the background if it was written.
	ErrUndecided = errors.ConstError("claim may have been written")
	// ErrReleased states that the attempt has been released and cannot claim again.
	ErrReleased = errors.ConstError("attempt was released")
	// ErrNotHolder states that the attempt does not hold the identity.
	ErrNotHolder = errors.ConstError("attempt does not hold the identity")
	// ErrPending states that a result is not written yet; the ledger keeps trying to.
	ErrPending = errors.ConstError("outcome not yet written")
	// ErrNotForwarded is the error of a Forwarder that has sent nothing, because
	// this host is the owner or no connection to the owner exists.
	ErrNotForwarded = errors.ConstError("not forwarded")
)

// Decision is the sealed set of answers to a claim.
//
//sumtype:decl
type Decision interface{ decision() }

// Granted states that the attempt holds the identity and may be dispatched.
type Granted struct{}

// InProgress states that another attempt holds the identity and has recorded no outcome.
type InProgress struct {
	Since time.Time // time of that attempt's claim, in seconds
	Stale bool      // read from the cache because the store did not answer; may have been released since
}

// Completed states that another attempt completed the request.
type Completed struct {
	Status int
	Type   string // content type
	Body   []byte
	Kept   bool // false: Body is missing because it was larger than MaxBodyBytes or is past retention
}

func (Granted) decision()    {}
func (InProgress) decision() {}
func (Completed) decision()  {}

// Result is the sealed set of ends of a claim.
//
//sumtype:decl
type Result interface{ result() }

// Done records the outcome of a request that was dispatched.
type Done struct {
	Status int
	Type   string // content type
	Body   []byte
}

// Released states that the attempt was not dispatched; another attempt may claim the identity.
type Released struct{}

func (Done) result()     {}
func (Released) result() {}

// Forwarder sends calls to the host that batches the writes of a partition.
//
// The receiving host passes them to Ledger.Accept and Ledger.AcceptFinish and
// returns their errors. An error other than ErrNotForwarded and those of the
// ledger means that the call may take effect, even later.
type Forwarder interface {
	Claim(ctx context.Context, identity Identity, attempt ident.AttemptID) (Decision, error)
	Finish(ctx context.Context, identity Identity, attempt ident.AttemptID, result Result) error
}
