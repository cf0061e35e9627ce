package pipeline

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// Job is one request that has been admitted.
type Job struct {
	Request      ident.RequestID
	Service      *document.Service
	Route        *document.Route
	Organisation ident.OrganisationID
	Suspect      bool // runs alone on an upstream
	Guard        Guard
	Prompt       string
	MaxTokens    int
	Stream       bool
	Method       string
	Path         string
	Headers      []Header
	Body         []byte
	Priority     int
	Deadline     time.Time
	Budget       *Budget    // of the service
	Estimates    *Estimates // of the service
	Refused      func()     // called at most once, when the job starts to wait for overloaded upstreams; may be nil
}

// Sink receives the tokens of a streamed answer in order.
type Sink interface {
	Token(text string) error
}

// Selector chooses upstreams and learns how their attempts ended.
type Selector interface {
	Choose(now time.Time, query upstream.Query) (upstream.Lease, error)
	Done(lease upstream.Lease, report upstream.Report)
}

// Guard isolates one request if it crashes upstreams.
type Guard interface {
	// Lost learns that the connection to an upstream broke while it ran the
	// request, and reports whether the upstream crashed. A crash is recorded
	// before Lost returns, so before any answer to the caller or second try.
	Lost(ctx context.Context, at upstream.Lease) (crashed bool)
	// Again reports whether a request that crashed an upstream may be tried once more, alone.
	Again(ctx context.Context) bool
}

// Use is what one attempt consumed.
type Use struct {
	Service ident.ServiceName
	Stage   ident.StageName
	Time    time.Duration
	Price   float64 // time × the stage's cost, plus the price of crossing
	Crossed bool    // ran in another failure domain
	Wasted  bool    // its result was not used
}

// Meter adds up what attempts consumed.
type Meter interface {
	Add(use Use)
}
