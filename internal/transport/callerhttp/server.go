package callerhttp

import (
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Config holds the dependencies and limits of the server that New returns.
type Config struct {
	Handler        http.Handler
	HeaderTimeout  time.Duration // longest time to receive the header of a request
	ReceiveTimeout time.Duration // longest time to receive a whole request; 0 means no limit
	WriteTimeout   time.Duration // longest time to write a response, unless the handler sets another; 0 means no limit
	IdleTimeout    time.Duration // longest time between two requests on a connection
	Log            zerolog.Logger
}

const (
	// discardTimeout limits the time in which the rest of a body is read that the handler
	// has left.
	discardTimeout = 500 * time.Millisecond
	// retryAfterSeconds is the Retry-After field of messages for which there is no memory.
	retryAfterSeconds = "1"
)

// New returns a server that rejects messages which could be read in two ways, if its
// listener comes from Listen. The server logs these, and the errors of its connections and
// handlers. Listener.Drain stops it gracefully.
func New(config Config) *http.Server {
	return &http.Server{
		Handler: rejecter{
			handler: config.Handler,
			log:     config.Log,
		},
		ReadHeaderTimeout: config.HeaderTimeout,
		ReadTimeout:       config.ReceiveTimeout,
		WriteTimeout:      config.WriteTimeout,
		IdleTimeout:       config.IdleTimeout,
		MaxHeaderBytes:    MaxHeader,
		ConnContext:       withConnection,
		ConnState:         trackState,
		ErrorLog: log.New(errorLog{
			log: config.Log,
		}, "", 0),
	}
}

// errorLog writes the error messages of net/http to the log.
type errorLog struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (l errorLog) Write(p []byte) (int, error) {
	l.log.Error().Str("error", strings.TrimSpace(string(p))).Msg("caller: connection or handler failed")
	return len(p), nil
}
