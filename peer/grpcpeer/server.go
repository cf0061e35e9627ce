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
	callTimeout = 5 * time.Second // for callers that set a later deadline or none
	replyBytes  = 1 << 20         // of document texts in one reply
	stopTimeout = 300 * time.Millisecond
	maxStrike   = 16 << 10 // bytes
)

// Handler acts on the calls of other entry hosts. The caller sees an error as
// ErrRefused, or as ErrUnreachable once the call's context has ended.
type Handler interface {
	Exchange(message peer.Message) peer.Message
	Claim(ctx context.Context, from ident.HostID, claims []ClaimItem) ([][]byte, error)
	Documents(names []ident.ServiceName, known map[ident.ServiceName]ident.Revision, limit int) []document.Versioned
	Strike(ctx context.Context, from ident.HostID, payload []byte) error
}

// Server serves the peer port.
type Server struct {
	UnimplementedPeerServer
	handler Handler
	others  []Service
	stamper stamper
}

// Service adds a gRPC service to the peer port.
type Service func(registrar grpc.ServiceRegistrar)

// NewServer returns a server that passes sound calls to the handler and serves
// the other services beside.
func NewServer(handler Handler, clock *timeline.Clock, now func() time.Time, others ...Service) *Server {
	return &Server{
		handler: handler,
		others:  others,
		stamper: stamper{
			clock: clock,
			now:   now,
		},
	}
}

// Serve serves a listener until the context ends, then lets calls complete for
// a fraction of a second. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
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
		grpc.UnaryInterceptor(limit),
	)
	RegisterPeerServer(server, s)
	for _, add := range s.others {
		add(server)
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
	if err := names(request.GetFrom()); err != nil {
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
		if err := names(claim.GetAttempt()); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		copy(item.Identity[:], claim.GetIdentity())
		claims = append(claims, item)
	}
	s.stamper.observe(request.GetStamp())
	decisions, err := s.handler.Claim(ctx, ident.HostID(request.GetFrom()), claims)
	if err != nil {
		return nil, refusal(ctx, err)
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
	var wanted []ident.ServiceName
	for _, name := range request.GetNames() {
		wanted = append(wanted, ident.ServiceName(name))
	}
	known := make(map[ident.ServiceName]ident.Revision)
	for _, d := range request.GetKnown() {
		known[ident.ServiceName(d.GetService())] = ident.Revision(d.GetRevision())
	}
	s.stamper.observe(request.GetStamp())
	texts, err := encodeDocuments(s.handler.Documents(wanted, known, replyBytes))
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
	if err := names(request.GetFrom()); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if size := len(request.GetPayload()); size == 0 || size > maxStrike {
		return nil, status.Errorf(codes.InvalidArgument, "strike of %d bytes", size)
	}
	s.stamper.observe(request.GetStamp())
	if err := s.handler.Strike(ctx, ident.HostID(request.GetFrom()), request.GetPayload()); err != nil {
		return nil, refusal(ctx, err)
	}
	return &StrikeReply{
		Stamp: s.stamper.stamp(),
	}, nil
}

// refusal returns the status of a handler's error. After the deadline it is that
// of the deadline: the caller must not take an interrupted call for a refusal.
func refusal(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// limit bounds the time of a call.
func limit(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return handle(ctx, request)
}
