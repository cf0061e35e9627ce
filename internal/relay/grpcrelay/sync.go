package grpcrelay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// syncTimeout bounds a transfer; another host is asked after it.
const syncTimeout = 500 * time.Millisecond

// Sync returns what a replica that is complete up to a cursor lacks. It fails
// with cell.ErrUnreachable.
func (c *Client) Sync(ctx context.Context, from ident.Address, after kv.Cursor) (discovery.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	connection, err := c.connect(from)
	if err != nil {
		return discovery.Delta{}, errors.Annotatef(cell.ErrUnreachable, "%v", err)
	}
	reply, err := NewRelayClient(connection).Sync(ctx, &SyncRequest{
		After: uint64(after),
	})
	if err != nil {
		return discovery.Delta{}, errors.Annotatef(cell.ErrUnreachable, "sync with %s: %v", from, err)
	}
	delta := discovery.Delta{
		After:  kv.Cursor(reply.GetAfter()),
		Cursor: kv.Cursor(reply.GetCursor()),
		Age:    time.Duration(max(0, reply.GetAge())) * time.Millisecond,
		Doubt:  time.Duration(max(0, reply.GetDoubt())) * time.Millisecond,
	}
	for _, change := range reply.GetChanges() {
		delta.Changes = append(delta.Changes, kv.Change{
			Entry: kv.Entry{
				Key:     kv.Key(change.GetKey()),
				Value:   change.GetValue(),
				Version: kv.Version(change.GetVersion()),
			},
			Deleted: change.GetDeleted(),
		})
	}
	return delta, nil
}

// Sync implements RelayServer.
func (s *Server) Sync(_ context.Context, request *SyncRequest) (*SyncReply, error) {
	delta := s.replica.Delta(kv.Cursor(request.GetAfter()))
	reply := &SyncReply{
		After:  uint64(delta.After),
		Cursor: uint64(delta.Cursor),
		Age:    delta.Age.Milliseconds(),
		Doubt:  delta.Doubt.Milliseconds(),
	}
	for _, change := range delta.Changes {
		reply.Changes = append(reply.Changes, &Change{
			Key:     string(change.Entry.Key),
			Version: uint64(change.Entry.Version),
			Value:   change.Entry.Value,
			Deleted: change.Deleted,
		})
	}
	return reply, nil
}
