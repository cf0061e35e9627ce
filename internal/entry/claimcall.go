package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
)

// The kinds of forwarded calls and of their replies.
const (
	claimCall       = "claim"
	doneCall        = "done"
	releasedCall    = "released"
	grantedReply    = "granted"
	inProgressReply = "progress"
	completedReply  = "completed"
	finishedReply   = "finished"
	storeErrorReply = "store"
	notHolderReply  = "holder"
)

// claimMessage is a forwarded call of the claim ledger, or the reply to one. Which
// fields are set depends on Kind; they are those of the results and decisions of
// package claim.
type claimMessage struct {
	Kind   string    `json:"kind"`
	Status int       `json:"status,omitempty"`
	Type   string    `json:"type,omitempty"`
	Body   []byte    `json:"body,omitempty"`
	Kept   bool      `json:"kept,omitempty"`
	Since  time.Time `json:"since,omitzero"`
	Stale  bool      `json:"stale,omitempty"`
	Detail string    `json:"detail,omitempty"` // text of an error reply
}

// claimSuffix is appended to a request id to form the attempt id of its claim.
const claimSuffix = "/claim"

// claimAttemptID returns the attempt id of a request's claim. The owner of the
// partition derives the request id from it, to record its events under the same
// request.
func claimAttemptID(request ident.RequestID) ident.AttemptID {
	return ident.AttemptID(request) + claimSuffix
}

// claimRequestID returns the request id of a claim's attempt id.
func claimRequestID(attempt ident.AttemptID) ident.RequestID {
	return ident.RequestID(strings.TrimSuffix(string(attempt), claimSuffix))
}

func encodeClaimMessage(message claimMessage) ([]byte, error) {
	encoded, err := json.Marshal(message)
	return encoded, errors.Annotate(err, "encode forwarded claim")
}

func decodeClaimMessage(payload []byte) (claimMessage, error) {
	var message claimMessage
	if err := json.Unmarshal(payload, &message); err != nil {
		return claimMessage{}, errors.Annotate(err, "decode forwarded claim")
	}
	return message, nil
}

// finishCall returns the call that forwards a result.
func finishCall(result claim.Result) claimMessage {
	switch r := result.(type) {
	case claim.Done:
		return claimMessage{
			Kind:   doneCall,
			Status: r.Status,
			Type:   r.Type,
			Body:   r.Body,
		}
	case claim.Released:
		return claimMessage{
			Kind: releasedCall,
		}
	default:
		panic("claim: unknown result")
	}
}

// result returns the result that a done or released call carries.
func (m claimMessage) result() claim.Result {
	if m.Kind == releasedCall {
		return claim.Released{}
	}
	return claim.Done{
		Status: m.Status,
		Type:   m.Type,
		Body:   m.Body,
	}
}

// decisionReply returns the reply to a claim call. Errors that the sender must
// tell apart have their own kinds.
func decisionReply(decision claim.Decision, err error) (claimMessage, error) {
	if err != nil {
		return errorReply(err)
	}
	switch d := decision.(type) {
	case claim.Granted:
		return claimMessage{
			Kind: grantedReply,
		}, nil
	case claim.InProgress:
		return claimMessage{
			Kind:  inProgressReply,
			Since: d.Since,
			Stale: d.Stale,
		}, nil
	case claim.Completed:
		return claimMessage{
			Kind:   completedReply,
			Status: d.Status,
			Type:   d.Type,
			Body:   d.Body,
			Kept:   d.Kept,
		}, nil
	default:
		panic("claim: unknown decision")
	}
}

func errorReply(err error) (claimMessage, error) {
	reply := claimMessage{
		Detail: err.Error(),
	}
	switch {
	case errors.Is(err, claim.ErrStore):
		reply.Kind = storeErrorReply
	case errors.Is(err, claim.ErrNotHolder):
		reply.Kind = notHolderReply
	default:
		return claimMessage{}, err // unknown whether the claim was written: the sender writes it itself
	}
	return reply, nil
}

// decision returns the decision or the error that a reply to a claim call carries.
func (m claimMessage) decision() (claim.Decision, error) {
	switch m.Kind {
	case grantedReply:
		return claim.Granted{}, nil
	case inProgressReply:
		return claim.InProgress{
			Since: m.Since,
			Stale: m.Stale,
		}, nil
	case completedReply:
		return claim.Completed{
			Status: m.Status,
			Type:   m.Type,
			Body:   m.Body,
			Kept:   m.Kept,
		}, nil
	default:
		return nil, m.err()
	}
}

// err returns the error that a reply carries, nil for finishedReply.
func (m claimMessage) err() error {
	switch m.Kind {
	case finishedReply:
		return nil
	case storeErrorReply:
		return errors.Annotate(claim.ErrStore, m.Detail)
	case notHolderReply:
		return errors.Annotate(claim.ErrNotHolder, m.Detail)
	default:
		return errors.Errorf("reply of unknown kind %q", m.Kind)
	}
}
