package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	probeTimeout = 100 * time.Millisecond
	// probePause separates two probes: a dying process may close its connections
	// before its listener.
	probePause = 50 * time.Millisecond
)

// crashed reports whether a process that lost a connection has ended: its host
// refuses new connections. A connection that a link or the upstream itself
// broke says nothing about the request, which must not be blamed for it.
func crashed(ctx context.Context, at ident.Address) bool {
	if refused(ctx, at) {
		return true
	}
	select {
	case <-time.After(probePause):
	case <-ctx.Done():
	}
	return refused(ctx, at)
}

func refused(ctx context.Context, at ident.Address) bool {
	dialer := net.Dialer{
		Timeout: probeTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", string(at))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
