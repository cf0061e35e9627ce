package grpcrelay

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// reconnectTimeout is how long a call waits for a connection that has failed before. It
// allows for the handshake with a host that has just started.
const reconnectTimeout = 30 * time.Millisecond

// Client calls the Relay service of other hosts. It is safe for concurrent use if connect
// and now are.
type Client struct {
	connect func(to ident.Address) (grpc.ClientConnInterface, error)
	now     func() time.Time
}

// NewClient returns a client that calls hosts over the connections that connect returns.
func NewClient(connect func(to ident.Address) (grpc.ClientConnInterface, error), now func() time.Time) *Client {
	return &Client{
		connect: connect,
		now:     now,
	}
}

// stub returns the stub of a host. Its error wraps cell.ErrUnreachable.
func (c *Client) stub(to ident.Address) (RelayClient, error) {
	connection, err := c.connect(to)
	if err != nil {
		return nil, errors.Annotatef(cell.ErrUnreachable, "%v", err)
	}
	return NewRelayClient(connection), nil
}

// Submit implements cell.Remote.
func (c *Client) Submit(ctx context.Context, to ident.Address, id cell.ID, job coordinator.Job, within time.Duration) (cell.Ticket, error) {
	connection, err := c.connect(to)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(cell.ErrUnreachable, "%v", err), cell.ErrUnsent)
	}
	if r, ok := connection.(reconnecter); ok {
		reconnect(ctx, r, within)
	}
	submitCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(within, cancel)
	ticket, err := c.submit(submitCtx, NewRelayClient(connection), id, job)
	expired := !timer.Stop()
	if err != nil || expired {
		cancel()
	}
	if expired && ctx.Err() == nil {
		silent := errors.Annotatef(cell.ErrSilent, "accept job within %s", within)
		if errors.Is(err, cell.ErrUnsent) {
			silent = errors.WithType(silent, cell.ErrUnsent)
		}
		return nil, silent
	}
	if err != nil {
		return nil, err
	}
	ticket.cancel = cancel
	return ticket, nil
}

// reconnecter is a connection that can be established before its backoff ends.
type reconnecter interface {
	GetState() connectivity.State
	ResetConnectBackoff()
	WaitForStateChange(ctx context.Context, from connectivity.State) bool
}

// reconnect establishes a connection that has failed, if the host accepts it now. Calls
// would otherwise fail with the error of an earlier attempt until the backoff ends, which
// is up to a second after a host that was down has started.
func reconnect(ctx context.Context, connection reconnecter, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, min(reconnectTimeout, within))
	defer cancel()
	state := connection.GetState()
	if state == connectivity.TransientFailure {
		connection.ResetConnectBackoff()
	}
	for ctx.Err() == nil && (state == connectivity.TransientFailure || state == connectivity.Connecting) {
		connection.WaitForStateChange(ctx, state)
		state = connection.GetState()
	}
}

func (c *Client) submit(ctx context.Context, stub RelayClient, id cell.ID, job coordinator.Job) (*ticket, error) {
	stream, err := stub.Prepare(ctx)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(cell.ErrUnreachable, "open stream: %v", err), cell.ErrUnsent)
	}
	if err := stream.Send(encodeJob(c.now(), id, job)); err != nil {
		return nil, errors.Annotatef(cell.ErrUnreachable, "send job: %v", err)
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, errors.Annotatef(cell.ErrUnreachable, "receive acceptance of job: %v", err)
	}
	switch kind := reply.GetKind().(type) {
	case *JobReply_Accepted:
		return &ticket{
			stream: stream,
		}, nil
	case *JobReply_Failed:
		return nil, decodeFailed(kind.Failed)
	default:
		return nil, errors.Annotatef(cell.ErrUnreachable, "first reply to job has unexpected type %T", kind)
	}
}

// ticket implements cell.Ticket.
type ticket struct {
	stream grpc.BidiStreamingClient[Job, JobReply]
	cancel context.CancelFunc
}

// Wait implements cell.Ticket.
func (t *ticket) Wait() (coordinator.Prepared, error) {
	reply, err := t.stream.Recv()
	if err != nil {
		t.cancel()
		return coordinator.Prepared{}, errors.Annotatef(cell.ErrUnreachable, "receive results: %v", err)
	}
	switch kind := reply.GetKind().(type) {
	case *JobReply_Prepared:
		prepared := coordinator.Prepared{
			Domain:   ident.FailureDomain(kind.Prepared.GetDomain()),
			Bytes:    kind.Prepared.GetBytes(),
			Upstream: ident.UpstreamID(kind.Prepared.GetUpstream()),
			Cache:    ident.UpstreamID(kind.Prepared.GetCache()),
			Release:  t.cancel,
		}
		for _, input := range kind.Prepared.GetInputs() {
			prepared.Inputs = append(prepared.Inputs, wire.Handle(input))
		}
		return prepared, nil
	case *JobReply_Failed:
		t.cancel()
		return coordinator.Prepared{}, decodeFailed(kind.Failed)
	default:
		t.cancel()
		return coordinator.Prepared{}, errors.Annotatef(cell.ErrUnreachable, "second reply to job has unexpected type %T", kind)
	}
}

// Cancel implements cell.Ticket.
func (t *ticket) Cancel() {
	t.cancel()
}
