package grpcrelay

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
)

// recordTimeout limits a call that records notes. The other host writes them within two
// tenths of a second if the store serves it.
const recordTimeout = 500 * time.Millisecond

// Record makes another host write a record of streams to the store. It returns once the store
// has that. All errors wrap cell.ErrUnreachable; the record may be written nevertheless.
func (c *Client) Record(ctx context.Context, to ident.Address, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	stub, err := c.stub(to)
	if err != nil {
		return err
	}
	_, err = stub.Record(ctx, &RecordRequest{
		Record: record,
	})
	if err != nil {
		return errors.Annotatef(cell.ErrUnreachable, "record at %s: %v", to, err)
	}
	return nil
}

// Record implements RelayServer.
func (s *Server) Record(ctx context.Context, request *RecordRequest) (*RecordReply, error) {
	err := s.record(ctx, request.GetRecord())
	switch {
	case errors.Is(err, errors.NotValid):
		return nil, status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &RecordReply{}, nil
}
