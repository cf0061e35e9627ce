package grpcrelay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// syncTimeout limits a transfer. The entries of 3,000 upstreams take two seconds on a
	// link of 1 Mbit/s.
	syncTimeout = 2 * time.Second
	// maxFullTransfers limits the concurrent transfers of all entries, since they share
	// the link of the host. A host that is refused asks the next one that is
	// ahead of it.
	maxFullTransfers = 4
)

// Sync returns the changes that a replica complete up to the cursor after lacks, from
// another host. The base is an entry of that replica whose later value may be sent as a
// patch; its version is 0 if there is none. All errors wrap cell.ErrUnreachable.
func (c *Client) Sync(ctx context.Context, from ident.Address, after kv.Cursor, base kv.Entry) (discovery.Delta, error) {
	delta, err := c.sync(ctx, from, after, base)
	if errors.Is(err, errPatch) {
		delta, err = c.sync(ctx, from, after, kv.Entry{})
	}
	return delta, err
}

func (c *Client) sync(ctx context.Context, from ident.Address, after kv.Cursor, base kv.Entry) (discovery.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	stub, err := c.stub(from)
	if err != nil {
		return discovery.Delta{}, err
	}
	reply, err := stub.Sync(ctx, &SyncRequest{
		After:   uint64(after),
		Key:     string(base.Key),
		Version: uint64(base.Version),
	})
	if err != nil {
		return discovery.Delta{}, errors.Annotatef(cell.ErrUnreachable, "sync with %s: %v", from, err)
	}
	changes := reply.GetChanges()
	if len(reply.GetPacked()) > 0 {
		if changes, err = unpack(reply.GetPacked()); err != nil {
			return discovery.Delta{}, errors.Annotatef(cell.ErrUnreachable, "sync with %s: %v", from, err)
		}
	}
	delta := discovery.Delta{
		After:          kv.Cursor(reply.GetAfter()),
		Cursor:         kv.Cursor(reply.GetCursor()),
		Age:            time.Duration(max(0, reply.GetAge())) * time.Millisecond,
		UnconfirmedFor: time.Duration(max(0, reply.GetDoubt())) * time.Millisecond,
		Bytes:          proto.Size(reply),
	}
	for _, change := range changes {
		value, err := changedValue(change, base)
		if err != nil {
			return discovery.Delta{}, errors.Annotatef(err, "sync with %s", from)
		}
		delta.Changes = append(delta.Changes, kv.Change{
			Entry: kv.Entry{
				Key:     kv.Key(change.GetKey()),
				Value:   value,
				Version: kv.Version(change.GetVersion()),
			},
			Deleted: change.GetDeleted(),
		})
	}
	return delta, nil
}

// fullTransfers limits the concurrent transfers of all entries, and caches the latest one
// for hosts that start at the same time.
type fullTransfers struct {
	slots chan struct{} // holds an element for each transfer in progress

	mu     sync.Mutex
	cursor kv.Cursor // cursor of packed; 0 if nothing is cached
	packed []byte    // all entries, compressed
}

func newFullTransfers() *fullTransfers {
	return &fullTransfers{
		slots: make(chan struct{}, maxFullTransfers),
	}
}

// Sync implements RelayServer.
func (s *Server) Sync(_ context.Context, request *SyncRequest) (*SyncReply, error) {
	after := kv.Cursor(request.GetAfter())
	if after == 0 || !s.replica.HasHistory(after) {
		select {
		case s.transfers.slots <- struct{}{}:
			defer func() { <-s.transfers.slots }()
		default:
			return nil, status.Error(codes.ResourceExhausted, "other hosts are being served")
		}
		if reply, ok := s.transfers.cachedReply(s.replica.Delta(s.replica.Cursor())); ok {
			return reply, nil
		}
	}
	delta := s.replica.Delta(after)
	reply := newReply(delta)
	reply.After = uint64(delta.After)
	for _, change := range delta.Changes {
		encoded := &Change{
			Key:     string(change.Entry.Key),
			Version: uint64(change.Entry.Version),
			Value:   change.Entry.Value,
			Deleted: change.Deleted,
		}
		if delta.After != 0 { // a transfer of all entries is cached for hosts with other bases
			if err := s.patches.encode(encoded, request, s.replica); err != nil {
				return nil, status.Error(codes.Internal, err.Error())
			}
		}
		reply.Changes = append(reply.Changes, encoded)
	}
	if proto.Size(reply) < minPackedBytes {
		return reply, nil
	}
	packed, err := pack(reply.Changes)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	reply.Changes = nil
	reply.Packed = packed
	if delta.After == 0 {
		s.transfers.cache(delta.Cursor, packed)
	}
	return reply, nil
}

// newReply returns a reply without changes.
func newReply(delta discovery.Delta) *SyncReply {
	return &SyncReply{
		Cursor: uint64(delta.Cursor),
		Age:    delta.Age.Milliseconds(),
		Doubt:  delta.UnconfirmedFor.Milliseconds(),
	}
}

// cachedReply returns a reply with all entries if they are cached for the cursor of
// current.
func (t *fullTransfers) cachedReply(current discovery.Delta) (*SyncReply, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cursor == 0 || t.cursor != current.Cursor {
		return nil, false
	}
	reply := newReply(current)
	reply.Packed = t.packed
	return reply, true
}

func (t *fullTransfers) cache(cursor kv.Cursor, packed []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cursor, t.packed = cursor, packed
}
