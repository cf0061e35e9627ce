package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

// connection checks the messages that are read from it.
type connection struct {
	net.Conn
	reader   *framingReader
	rejected atomic.Pointer[rejection] // of the last message
}

// Read implements io.Reader.
func (c *connection) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// listener wraps the connections that it accepts in connection.
type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{
		Conn: accepted,
	}
	c.reader = newFramingReader(accepted, c.rejected.Store)
	return c, nil
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// rejecter responds to the placeholders of rejected messages, and passes other requests to
// a handler.
type rejecter struct {
	handler http.Handler
	log     zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (h rejecter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok || r.Method != placeholderMethod || conn.rejected.Load() == nil {
		h.handler.ServeHTTP(w, r)
		return
	}
	rejected := conn.rejected.Load()
	h.log.Info().Str("from", r.RemoteAddr).Int("status", rejected.status).Str("reason", rejected.reason).Msg("caller: message rejected")
	w.Header().Set("Connection", "close")
	http.Error(w, rejected.reason, rejected.status)
}
