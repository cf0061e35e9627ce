package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
)

// The kinds of forwarded calls and of their answers.
const (
	claimCall     = "claim"
	doneCall      = "done"
	releasedCall  = "released"
	grantedReply  = "granted"
	progressReply = "progress"
	completeReply = "completed"
	finishedReply = "finished"
	storeReply    = "store"
	holderReply   = "holder"
)

// claimMessage is a forwarded call of the claim ledger, or its answer.
type claimMessage struct {
	Kind   string    `json:"kind"`
	Status int       `json:"status,omitempty"`
	Type   string    `json:"type,omitempty"`
	Body   []byte    `json:"body,omitempty"`
	Kept   bool      `json:"kept,omitempty"`
	Since  time.Time `json:"since,omitzero"`
	Stale  bool      `json:"stale,omitempty"`
	Detail string    `json:"detail,omitempty"` // of an error
}

// claimSuffix ends the attempt id of a claim; what precedes it is the request id.
const claimSuffix = "/claim"

// claimAttempt returns the attempt id of a request's claim, by which the owner
// of the partition records its part under the same request.
func claimAttempt(request ident.RequestID) ident.AttemptID {
	return ident.AttemptID(request) + claimSuffix
}

// requestOf returns the request of a claim's attempt id.
func requestOf(attempt ident.AttemptID) ident.RequestID {
	return ident.RequestID(strings.TrimSuffix(string(attempt), claimSuffix))
}

func encodeCall(message claimMessage) ([]byte, error) {
	encoded, err := json.Marshal(message)
	return encoded, errors.Annotate(err, "encode forwarded claim")
}

func decodeCall(payload []byte) (claimMessage, error) {
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

// result returns the result that a finish call forwards.
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

// decisionReply returns the answer to a claim call. Errors that the sender must
// be able to tell apart have a kind of their own.
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
			Kind:  progressReply,
			Since: d.Since,
			Stale: d.Stale,
		}, nil
	case claim.Completed:
		return claimMessage{
			Kind:   completeReply,
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
		reply.Kind = storeReply
	case errors.Is(err, claim.ErrNotHolder):
		reply.Kind = holderReply
	default:
		return claimMessage{}, err // uncertain: the sender writes itself
	}
	return reply, nil
}

// decision returns what a reply to a claim call says.
func (m claimMessage) decision() (claim.Decision, error) {
	switch m.Kind {
	case grantedReply:
		return claim.Granted{}, nil
	case progressReply:
		return claim.InProgress{
			Since: m.Since,
			Stale: m.Stale,
		}, nil
	case completeReply:
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

// err returns the error that a reply carries, nil for a finished call.
func (m claimMessage) err() error {
	switch m.Kind {
	case finishedReply:
		return nil
	case storeReply:
		return errors.Annotate(claim.ErrStore, m.Detail)
	case holderReply:
		return errors.Annotate(claim.ErrNotHolder, m.Detail)
	default:
		return errors.Errorf("reply of unknown kind %q", m.Kind)
	}
}
