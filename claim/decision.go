package claim

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Errors of the ledger. They may be annotated; compare them with errors.Is.
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
	// ErrPending states that a result is not written yet; the ledger of the attempt's
	// host keeps retrying the write.
	ErrPending = errors.ConstError("outcome not yet written")
	// ErrNotForwarded is returned by a Forwarder that has sent nothing, because
	// this host owns the partition or has no connection to its owner.
	ErrNotForwarded = errors.ConstError("not forwarded")
)

// Decision is the reply to a claim: Granted, InProgress or Completed.
//
//sumtype:decl
type Decision interface{ decision() }

// Granted states that the attempt holds the identity and may be dispatched.
type Granted struct{}

// InProgress states that another attempt holds the identity and has recorded no outcome.
type InProgress struct {
	Since time.Time // time of that attempt's claim, to the second
	Stale bool      // read from the cache because a call to the store failed; may have been released since
}

// Completed states that another attempt completed the request.
type Completed struct {
	Status int    // HTTP status
	Type   string // content type
	Body   []byte
	Kept   bool // false: Body is missing because it was larger than MaxBodyBytes or is past retention
}

func (Granted) decision()    {}
func (InProgress) decision() {}
func (Completed) decision()  {}

// Result states how an attempt that was granted the identity ended: Done or Released.
//
//sumtype:decl
type Result interface{ result() }

// Done is the outcome of a request that was dispatched.
type Done struct {
	Status int    // HTTP status
	Type   string // content type
	Body   []byte
}

// Released states that the attempt was not dispatched; another attempt may claim the identity.
type Released struct{}

func (Done) result()     {}
func (Released) result() {}

// Forwarder sends calls to the owner of a partition, the host that batches its writes.
//
// The owner passes them to Ledger.Accept and Ledger.AcceptFinish and returns
// their errors. An error other than ErrNotForwarded and those of the ledger
// means that the call may take effect, possibly after the error was returned.
type Forwarder interface {
	Claim(ctx context.Context, identity Identity, attempt ident.AttemptID) (Decision, error)
	Finish(ctx context.Context, identity Identity, attempt ident.AttemptID, result Result) error
}
