package grpcpeer

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

const (
	callTimeout         = 5 * time.Second        // for callers that set a later deadline or none
	documentsReplyBytes = 1 << 20                // limit of the document texts in one reply
	stopTimeout         = 300 * time.Millisecond // for calls to complete when the server stops
	maxStrikeBytes      = 16 << 10
)

// Handler serves the calls of other entry hosts. Its methods are called
// concurrently. The caller receives an error as ErrRejected, or as ErrUnreachable if
// the context of the call has ended.
type Handler interface {
	// Exchange applies a gossip message and returns the reply.
	Exchange(message peer.Message) peer.Message
	// Claim returns one encoded decision for each claim, in order.
	Claim(ctx context.Context, from ident.HostID, claims []ClaimItem) ([][]byte, error)
	// Documents returns the documents with the given names, or all of them if names
	// is empty, whose revisions are higher than those in known. Their texts must
	// not exceed limit bytes in total, unless there is only one.
	Documents(names []ident.ServiceName, known map[ident.ServiceName]ident.Revision, limit int) []document.Versioned
	// Strike applies a rumour of the quarantine.
	Strike(ctx context.Context, from ident.HostID, payload []byte) error
}

// Server serves the peer port of an entry host.
type Server struct {
	UnimplementedPeerServer
	handler  Handler
	services []Service
	stamper  stamper
}

// Service registers a gRPC service with the server of the peer port.
type Service func(registrar grpc.ServiceRegistrar)

// NewServer returns a server that passes valid calls to handler and also serves the
// given services. Replies are stamped by clock, and now returns the wall time.
func NewServer(handler Handler, clock *timeline.Clock, now func() time.Time, services ...Service) *Server {
	return &Server{
		handler:  handler,
		services: services,
		stamper: stamper{
			clock: clock,
			now:   now,
		},
	}
}

// Serve serves listener until ctx ends, and then waits up to 300 ms for running calls
// to complete. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(256),
		grpc.MaxHeaderListSize(16<<10),
		grpc.ConnectionTimeout(5*time.Second),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: 5 * time.Second,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: 2 * idleTimeout,
		}),
		grpc.UnaryInterceptor(timeoutInterceptor),
	)
	RegisterPeerServer(server, s)
	for _, register := range s.services {
		register(server)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return errors.Annotate(err, "serve peer port")
	case <-ctx.Done():
	}
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		server.Stop()
		<-stopped
	}
	if err := <-done; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return errors.Annotate(err, "stop peer port")
	}
	return nil
}

// Exchange implements PeerServer.
func (s *Server) Exchange(_ context.Context, request *Gossip) (*Gossip, error) {
	message, err := decodeMessage(request)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.stamper.observe(request.GetStamp())
	reply := encodeMessage(s.handler.Exchange(message))
	reply.Stamp = s.stamper.stamp()
	return reply, nil
}

// Claim implements PeerServer.
func (s *Server) Claim(ctx context.Context, request *ClaimBatch) (*ClaimDecisions, error) {
	if err := validateIDs(request.GetFrom()); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if len(request.GetClaims()) > maxClaims {
		return nil, status.Errorf(codes.InvalidArgument, "%d claims", len(request.GetClaims()))
	}
	claims := make([]ClaimItem, 0, len(request.GetClaims()))
	for _, claim := range request.GetClaims() {
		item := ClaimItem{
			Attempt: ident.AttemptID(claim.GetAttempt()),
			Payload: claim.GetPayload(),
		}
		if len(claim.GetIdentity()) != len(item.Identity) {
			return nil, status.Errorf(codes.InvalidArgument, "identity of %d bytes", len(claim.GetIdentity()))
		}
		if err := validateIDs(claim.GetAttempt()); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		copy(item.Identity[:], claim.GetIdentity())
		claims = append(claims, item)
	}
	s.stamper.observe(request.GetStamp())
	decisions, err := s.handler.Claim(ctx, ident.HostID(request.GetFrom()), claims)
	if err != nil {
		return nil, handlerStatus(ctx, err)
	}
	reply := &ClaimDecisions{
		Stamp: s.stamper.stamp(),
	}
	for _, decision := range decisions {
		reply.Decisions = append(reply.Decisions, &ClaimDecision{
			Payload: decision,
		})
	}
	return reply, nil
}

// Documents implements PeerServer.
func (s *Server) Documents(_ context.Context, request *DocumentsRequest) (*DocumentsReply, error) {
	if len(request.GetNames()) > maxNames || len(request.GetKnown()) > maxNames {
		return nil, status.Error(codes.InvalidArgument, "too many names")
	}
	var names []ident.ServiceName
	for _, name := range request.GetNames() {
		names = append(names, ident.ServiceName(name))
	}
	known := make(map[ident.ServiceName]ident.Revision)
	for _, d := range request.GetKnown() {
		known[ident.ServiceName(d.GetService())] = ident.Revision(d.GetRevision())
	}
	s.stamper.observe(request.GetStamp())
	texts, err := encodeDocuments(s.handler.Documents(names, known, documentsReplyBytes))
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &DocumentsReply{
		Stamp:     s.stamper.stamp(),
		Documents: texts,
	}, nil
}

// Strike implements PeerServer.
func (s *Server) Strike(ctx context.Context, request *StrikeRequest) (*StrikeReply, error) {
	if err := validateIDs(request.GetFrom()); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if size := len(request.GetPayload()); size == 0 || size > maxStrikeBytes {
		return nil, status.Errorf(codes.InvalidArgument, "strike of %d bytes", size)
	}
	s.stamper.observe(request.GetStamp())
	if err := s.handler.Strike(ctx, ident.HostID(request.GetFrom()), request.GetPayload()); err != nil {
		return nil, handlerStatus(ctx, err)
	}
	return &StrikeReply{
		Stamp: s.stamper.stamp(),
	}, nil
}

// handlerStatus returns the gRPC status for an error of the handler. Once ctx has ended
// it is the status of ctx, because an interrupted call must not look like a rejected
// one to the caller.
func handlerStatus(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// timeoutInterceptor limits the duration of a call to callTimeout.
func timeoutInterceptor(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return handle(ctx, request)
}
