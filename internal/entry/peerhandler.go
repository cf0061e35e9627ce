package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/quarantine"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// peerPart is the Part of timeline events that record work for other hosts.
const peerPart = "peer"

// peerHandler handles the RPCs of other hosts.
type peerHandler struct {
	peers *peers
}

var _ grpcpeer.Handler = (*peerHandler)(nil)

// Exchange implements grpcpeer.Handler.
func (h *peerHandler) Exchange(message peer.Message) peer.Message {
	return h.peers.gossip.Receive(time.Now(), message)
}

// Claim implements grpcpeer.Handler. This host owns the partitions of the claims.
func (h *peerHandler) Claim(ctx context.Context, from ident.HostID, claims []grpcpeer.ClaimItem) ([][]byte, error) {
	replies := make([][]byte, 0, len(claims))
	for _, item := range claims {
		reply, err := h.handleClaim(ctx, from, item)
		if err != nil {
			return nil, err
		}
		encoded, err := encodeClaimMessage(reply)
		if err != nil {
			return nil, err
		}
		replies = append(replies, encoded)
	}
	return replies, nil
}

func (h *peerHandler) handleClaim(ctx context.Context, from ident.HostID, item grpcpeer.ClaimItem) (claimMessage, error) {
	call, err := decodeClaimMessage(item.Payload)
	if err != nil {
		return claimMessage{}, err
	}
	h.record(item, "forwarded "+call.Kind, timeline.NewField("from", string(from)))
	switch call.Kind {
	case claimCall:
		reply, err := decisionReply(h.peers.ledger.Accept(ctx, from, item.Identity, item.Attempt))
		h.record(item, "claim decided", timeline.NewField("decision", reply.Kind))
		return reply, err
	case doneCall, releasedCall:
		if err := h.peers.ledger.AcceptFinish(ctx, from, item.Identity, item.Attempt, call.result()); err != nil {
			return errorReply(err)
		}
		return claimMessage{
			Kind: finishedReply,
		}, nil
	default:
		return claimMessage{}, errors.Errorf("call of unknown kind %q", call.Kind)
	}
}

// record records an event of a request that another host has accepted from a caller.
func (h *peerHandler) record(item grpcpeer.ClaimItem, name string, fields ...timeline.Field) {
	h.peers.recorder.Record(timeline.Event{
		Request: claimRequestID(item.Attempt),
		Attempt: item.Attempt,
		Part:    peerPart,
		Name:    name,
		Fields:  fields,
	})
}

// Documents implements grpcpeer.Handler.
func (h *peerHandler) Documents(names []ident.ServiceName, known map[ident.ServiceName]ident.Revision, limit int) []document.Versioned {
	return h.peers.registry.Snapshot().Select(names, known, limit)
}

// Strike implements grpcpeer.Handler.
func (h *peerHandler) Strike(_ context.Context, _ ident.HostID, payload []byte) error {
	var rumour quarantine.Rumour
	if err := json.Unmarshal(payload, &rumour); err != nil {
		return errors.Annotate(err, "decode strike")
	}
	h.peers.keeper.Observe(rumour)
	return nil
}
