package grpcrelay

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
)

// Server implements the Relay service. It is safe for concurrent use.
type Server struct {
	UnimplementedRelayServer
	coordinators func(id cell.ID) *coordinator.Coordinator
	replica      *discovery.Replica
	record       func(ctx context.Context, record []byte) error
	transfers    *fullTransfers
	patches      *patches
	now          func() time.Time
}

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	// Coordinators returns the coordinator of a cell, nil while the host cannot coordinate.
	Coordinators func(id cell.ID) *coordinator.Coordinator
	Replica      *discovery.Replica // whose entries are sent to other hosts
	// Record returns nil once the store has a record of another host's streams. Its error is a
	// NotValid one if the record is damaged.
	Record func(ctx context.Context, record []byte) error
	Now    func() time.Time
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{
		coordinators: config.Coordinators,
		replica:      config.Replica,
		record:       config.Record,
		transfers:    newFullTransfers(),
		patches:      newPatches(),
		now:          config.Now,
	}
}

// Register adds the Relay service to a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	RegisterRelayServer(registrar, s)
}

// Prepare implements RelayServer.
func (s *Server) Prepare(stream grpc.BidiStreamingServer[Job, JobReply]) error {
	encoded, err := stream.Recv()
	if err != nil {
		return err
	}
	id, job, err := decodeJob(s.now(), encoded)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	cellCoordinator := s.coordinators(id)
	if cellCoordinator == nil {
		return status.Error(codes.Unavailable, "host does not know the upstreams yet")
	}
	ticket, err := cellCoordinator.Submit(job)
	if errors.Is(err, coordinator.ErrStopped) {
		return status.Error(codes.Unavailable, err.Error())
	}
	if err != nil {
		return stream.Send(encodeFailed(err))
	}
	accepted := &JobReply{
		Kind: &JobReply_Accepted{
			Accepted: &Accepted{},
		},
	}
	if err := stream.Send(accepted); err != nil {
		ticket.Cancel()
		return err
	}
	prepared, err := ticket.Wait(stream.Context())
	if errors.Is(err, coordinator.ErrStopped) {
		return status.Error(codes.Unavailable, err.Error())
	}
	if err != nil {
		return stream.Send(encodeFailed(err))
	}
	defer prepared.Release()
	reply := &Prepared{
		Domain:   string(prepared.Domain),
		Bytes:    prepared.Bytes,
		Upstream: string(prepared.Upstream),
		Cache:    string(prepared.Cache),
	}
	for _, input := range prepared.Inputs {
		reply.Inputs = append(reply.Inputs, string(input))
	}
	err = stream.Send(&JobReply{
		Kind: &JobReply_Prepared{
			Prepared: reply,
		},
	})
	if err != nil {
		return err
	}
	<-stream.Context().Done() // the caller no longer needs the results
	return nil
}
