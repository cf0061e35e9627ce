package grpcpeer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	rpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// Errors of a Client, possibly annotated.
const (
	// ErrUnreachable means that no reply arrived in time or the call was cancelled;
	// the peer may have acted on the call.
	ErrUnreachable = errors.ConstError("peer did not reply")
	// ErrNotSent means that there was no connection on which to send the claims, so
	// the peer has not acted on them. Only Claim returns it.
	ErrNotSent = errors.ConstError("peer not connected")
	// ErrRejected means that the peer replied with an error.
	ErrRejected = errors.ConstError("peer rejected the call")
	// ErrMalformed means that the reply is invalid, or that the peer found the call
	// invalid or does not implement it.
	ErrMalformed = errors.ConstError("malformed peer message")
)

// Timeouts of the calls. An earlier deadline of the context takes precedence.
const (
	ExchangeTimeout  = 500 * time.Millisecond
	ClaimTimeout     = time.Second
	DocumentsTimeout = 2 * time.Second
	StrikeTimeout    = 300 * time.Millisecond
)

const (
	maxMessageBytes = 4 << 20
	// Among 360 hosts, a host calls each peer once in 72 s on average. Reconnecting
	// that often costs less than the memory of idle connections.
	idleTimeout = 30 * time.Second
	bufferBytes = 4 << 10 // size of the read and the write buffer of a connection
)

// ClaimItem is one forwarded call of a claim ledger: a claim, or the end of an
// attempt that was granted one.
type ClaimItem struct {
	Identity [16]byte
	Attempt  ident.AttemptID
	Payload  []byte // call of the claim ledger, opaque to this package
}

// Client calls other entry hosts. It is safe for concurrent use.
type Client struct {
	host    ident.HostID
	stamper stamper

	mu          sync.Mutex
	connections map[ident.Address]*grpc.ClientConn
}

// NewClient returns a client that makes calls in the name of host. Requests are
// stamped by clock, and now returns the wall time.
func NewClient(host ident.HostID, clock *timeline.Clock, now func() time.Time) *Client {
	return &Client{
		host: host,
		stamper: stamper{
			clock: clock,
			now:   now,
		},
		connections: make(map[ident.Address]*grpc.ClientConn),
	}
}

// Exchange sends a gossip message and returns the reply.
func (c *Client) Exchange(ctx context.Context, to ident.Address, message peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	stub, err := c.stub(to)
	if err != nil {
		return peer.Message{}, err
	}
	request := encodeMessage(message)
	request.Stamp = c.stamper.stamp()
	reply, err := stub.Exchange(ctx, request)
	if err != nil {
		return peer.Message{}, translate(err, "exchange with", to)
	}
	decoded, err := decodeMessage(reply)
	if err != nil {
		return peer.Message{}, errors.Annotatef(ErrMalformed, "exchange with %s: %v", to, err)
	}
	c.stamper.observe(reply.GetStamp())
	return decoded, nil
}

// Claim forwards claims and returns one encoded decision for each, in order.
// ErrNotSent means that the peer has received none of them.
func (c *Client) Claim(ctx context.Context, to ident.Address, claims []ClaimItem) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	stub, err := c.stub(to)
	if err != nil {
		return nil, err
	}
	request := &ClaimBatch{
		Stamp: c.stamper.stamp(),
		From:  string(c.host),
	}
	for _, claim := range claims {
		request.Claims = append(request.Claims, &Claim{
			Identity: claim.Identity[:],
			Attempt:  string(claim.Attempt),
			Payload:  claim.Payload,
		})
	}
	// gRPC leaves Addr nil if the call was not assigned to a connection.
	var remote rpcpeer.Peer
	reply, err := stub.Claim(ctx, request, grpc.Peer(&remote))
	if err != nil && remote.Addr == nil {
		return nil, errors.Annotatef(ErrNotSent, "forward claims to %s: %v", to, err)
	}
	if err != nil {
		return nil, translate(err, "forward claims to", to)
	}
	if len(reply.GetDecisions()) != len(claims) {
		return nil, errors.Annotatef(ErrMalformed, "forward claims to %s: %d decisions for %d claims", to, len(reply.GetDecisions()), len(claims))
	}
	c.stamper.observe(reply.GetStamp())
	decisions := make([][]byte, 0, len(claims))
	for _, decision := range reply.GetDecisions() {
		decisions = append(decisions, decision.GetPayload())
	}
	return decisions, nil
}

// Documents returns the peer's documents with the given names, or all of them if
// names is empty, whose revisions are higher than those in known. The peer limits
// the size of the reply, which may therefore be incomplete.
func (c *Client) Documents(ctx context.Context, to ident.Address, names []ident.ServiceName, known map[ident.ServiceName]ident.Revision) ([]document.Versioned, error) {
	ctx, cancel := context.WithTimeout(ctx, DocumentsTimeout)
	defer cancel()
	stub, err := c.stub(to)
	if err != nil {
		return nil, err
	}
	request := &DocumentsRequest{
		Stamp: c.stamper.stamp(),
		From:  string(c.host),
	}
	for _, name := range names {
		request.Names = append(request.Names, string(name))
	}
	for name, revision := range known {
		request.Known = append(request.Known, &Document{
			Service:  string(name),
			Revision: uint64(revision),
		})
	}
	reply, err := stub.Documents(ctx, request)
	if err != nil {
		return nil, translate(err, "get documents from", to)
	}
	c.stamper.observe(reply.GetStamp())
	return decodeDocuments(reply.GetDocuments()), nil
}

// Strike sends a peer a rumour of the quarantine. The payload is opaque to this
// package.
func (c *Client) Strike(ctx context.Context, to ident.Address, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, StrikeTimeout)
	defer cancel()
	stub, err := c.stub(to)
	if err != nil {
		return err
	}
	reply, err := stub.Strike(ctx, &StrikeRequest{
		Stamp:   c.stamper.stamp(),
		From:    string(c.host),
		Payload: payload,
	})
	if err != nil {
		return translate(err, "announce strike to", to)
	}
	c.stamper.observe(reply.GetStamp())
	return nil
}

// Retain closes the connections to all other addresses than the given ones. Calls
// that are in progress on them fail.
func (c *Client) Retain(addresses map[ident.Address]bool) {
	c.mu.Lock()
	var closing []*grpc.ClientConn
	for address, connection := range c.connections {
		if !addresses[address] {
			closing = append(closing, connection)
			delete(c.connections, address)
		}
	}
	c.mu.Unlock()
	for _, connection := range closing {
		_ = connection.Close() // fails only if already closed
	}
}

// Close closes all connections. Calls that are in progress fail.
func (c *Client) Close() {
	c.Retain(nil)
}

func (c *Client) stub(to ident.Address) (PeerClient, error) {
	connection, err := c.Connection(to)
	if err != nil {
		return nil, err
	}
	return NewPeerClient(connection), nil
}

// Connection returns the connection to a peer, on which services other than Peer
// may be called. It is established by the first call. The only error is
// ErrUnreachable, if the address is malformed.
func (c *Client) Connection(to ident.Address) (grpc.ClientConnInterface, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	connection, ok := c.connections[to]
	if !ok {
		var err error
		connection, err = grpc.NewClient("passthrough:///"+string(to),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithNoProxy(),
			grpc.WithDisableServiceConfig(),
			grpc.WithIdleTimeout(idleTimeout),
			grpc.WithReadBufferSize(bufferBytes),
			grpc.WithWriteBufferSize(bufferBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			// A restarted host has to be reachable within peer.SuspicionTime, so
			// the delay between attempts must not grow to the default of 120 s.
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff: backoff.Config{
					BaseDelay:  100 * time.Millisecond,
					Multiplier: 1.6,
					Jitter:     0.2,
					MaxDelay:   time.Second,
				},
				MinConnectTimeout: ExchangeTimeout,
			}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{
				Time:    10 * time.Second,
				Timeout: 2 * time.Second,
			}))
		if err != nil {
			return nil, errors.Annotatef(ErrUnreachable, "connect to %s: %v", to, err)
		}
		c.connections[to] = connection
	}
	return connection, nil
}

// translate returns the error of a Client for an error of a gRPC call.
func translate(err error, operation string, to ident.Address) error {
	kind := ErrRejected
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		kind = ErrUnreachable
	case codes.InvalidArgument, codes.Unimplemented:
		kind = ErrMalformed
	default:
	}
	return errors.Annotatef(kind, "%s %s: %v", operation, to, err)
}
