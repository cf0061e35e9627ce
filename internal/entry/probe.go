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
	// probeInterval is the time between two probes: an exiting process may close
	// its connections before its listener.
	probeInterval = 50 * time.Millisecond
)

// crashed reports whether the process at an address, to which a connection was
// lost, has ended: its host then refuses new connections. Otherwise the network
// or the upstream itself closed the connection, which must not count as a
// strike against the request.
func crashed(ctx context.Context, address ident.Address) bool {
	if connectionRefused(ctx, address) {
		return true
	}
	select {
	case <-time.After(probeInterval):
	case <-ctx.Done():
	}
	return connectionRefused(ctx, address)
}

func connectionRefused(ctx context.Context, address ident.Address) bool {
	dialer := net.Dialer{
		Timeout: probeTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
