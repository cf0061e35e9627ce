package pipeline

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// Errors that every Transport returns, possibly annotated.
const (
	ErrNotSent    = errors.ConstError("no byte of the request was sent")
	ErrLost       = errors.ConstError("connection lost after the request was sent")
	ErrLeaving    = errors.ConstError("upstream is leaving and did not run the request")
	ErrOverloaded = errors.ConstError("upstream is overloaded and did not run the request")
	ErrMismatch   = errors.ConstError("answer belongs to another attempt")
)

// StatusError reports an answer whose status is not a success.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e StatusError) Error() string { return fmt.Sprintf("upstream answered with status %d", e.Status) }

// Header is one header field passed through to a plain upstream.
type Header struct {
	Name  string
	Value string
}

// Call is one attempt at a stage that answers with a single message.
type Call struct {
	Attempt  ident.AttemptID
	Method   string
	Path     string // with its query
	Headers  []Header
	Body     []byte
	Priority int
}

// Reply is the complete answer to a Call.
type Reply struct {
	Attempt ident.AttemptID
	Status  int
	Type    string // content type
	Body    []byte
	Load    *upstream.Load // nil if the upstream did not report
}

// Generation is one attempt at a stage that answers with a token stream.
type Generation struct {
	Attempt   ident.AttemptID
	Model     ident.ModelName
	Prompt    string
	Partial   string // text that the caller already has
	Offset    int    // tokens that the caller already has
	MaxTokens int
	Priority  int
}

// Token is one generated token and its position in the answer, from 0.
type Token struct {
	Offset int
	Text   string
}

// Tokens is the token stream of one Generation; its methods are for one goroutine.
type Tokens interface {
	// Next returns the next token, io.EOF after a complete answer, or ErrLost.
	Next() (Token, error)
	// Load returns the last load report of the engine, nil if there is none.
	Load() *upstream.Load
	// Close cancels the generation at the engine unless it is complete.
	Close() error
}

// Transport sends attempts to upstreams.
type Transport interface {
	// Call sends the call and waits for its complete answer.
	Call(ctx context.Context, to ident.Address, call Call) (Reply, error)
	// Generate starts a token stream at its offset.
	Generate(ctx context.Context, to ident.Address, generation Generation) (Tokens, error)
}
