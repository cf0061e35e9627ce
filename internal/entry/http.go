package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

// idleTimeout is how long unused connections of callers, and of this host's own
// clients, are kept open.
const idleTimeout = 60 * time.Second

// maxResponseHeader is the largest header of a response that this host accepts, in
// bytes.
const maxResponseHeader = 64 << 10

const (
	megabyte = 1 << 20
	// messageShare is the part of the memory of a host that requests may take. About as
	// much is garbage that has not been collected yet.
	messageShare = 0.25
	// operatorConnections is the number of connections to the port for operators.
	operatorConnections = 64
	// writeTimeout is the time in which a caller has to read a response, beyond the longest
	// deadline of a service.
	writeTimeout = document.MaxDeadline + 10*time.Second
)

// callerLimits returns the limits of the port for callers.
func (h *Host) callerLimits() callerhttp.Limits {
	return callerhttp.Limits{
		Connections: callerhttp.MaxConnections(h.settings.Memory*megabyte, float64(h.settings.Descriptors)),
		Memory:      h.memory,
		Counts:      &h.connections,
	}
}

// listen opens a TCP listener.
func listen(ctx context.Context, address ident.Address) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", string(address))
	return listener, errors.Annotatef(err, "listen at %s", address)
}

func newHTTPServer(handler http.Handler, s *settings.Settings, log zerolog.Logger) *http.Server {
	return callerhttp.New(callerhttp.Config{
		Handler:        handler,
		HeaderTimeout:  s.HeaderTimeout,
		ReceiveTimeout: s.ReceiveTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		Log:            log,
	})
}

// serveHTTP serves until ctx is done.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler, s *settings.Settings, log zerolog.Logger) error {
	server := newHTTPServer(handler, s, log)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	limited := callerhttp.Listen(listener, callerhttp.Limits{
		Connections: operatorConnections,
	})
	if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serve")
	}
	return nil
}

// newClient returns a client with its own connection pool.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost:    16,
			MaxResponseHeaderBytes: maxResponseHeader,
			IdleConnTimeout:        idleTimeout,
		},
	}
}
