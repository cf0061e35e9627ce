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
	Suspect      bool // the request may have crashed an upstream: it shares no upstream with another suspect and is not hedged
	Guard        Guard
	Prompt       string     // input of the first stage of a pipeline
	MaxTokens    int        // limit of a generate stage
	Stream       bool       // send generated tokens to the Sink as they arrive
	Method       string     // of a plain call, as are Path, Headers and Body
	Path         string     // with the query
	Headers      []Header   // passed to the upstream
	Body         []byte     // passed to the upstream
	Priority     int        // passed to the upstream
	Deadline     time.Time  // of the whole job
	Budget       *Budget    // shared by the jobs of the service
	Estimates    *Estimates // shared by the jobs of the service; may be nil
	OnOverload   func()     // called at most once, when the job first waits because all upstreams are overloaded; may be nil
}

// Sink receives the tokens of a streamed response in order. An error of Token
// ends the job.
type Sink interface {
	Token(text string) error
}

// Selector chooses upstreams for attempts and receives a report on each attempt.
type Selector interface {
	Choose(now time.Time, query upstream.Query) (upstream.Lease, error)
	Done(lease upstream.Lease, report upstream.Report)
}

// Guard protects upstreams from one request that may crash them.
type Guard interface {
	// ConnectionLost is called after the connection to an upstream broke while
	// the request ran there, and reports whether the upstream crashed. It must
	// record a crash before it returns, so that the record precedes any retry
	// and any response to the caller.
	ConnectionLost(ctx context.Context, at upstream.Lease) (crashed bool)
	// AllowRetry reports whether a request that crashed an upstream may be
	// retried once, isolated from other suspects.
	AllowRetry(ctx context.Context) bool
}

// Use is the resource usage of one attempt.
type Use struct {
	Service ident.ServiceName
	Stage   ident.StageName
	Time    time.Duration // from the choice of the upstream to the end of the attempt
	Price   float64       // seconds × the stage's cost, plus the service's CrossCost for a cross-domain transfer
	Crossed bool          // ran in another failure domain than this host's
	Wasted  bool          // its result was not used
}

// Meter adds up the resource usage of attempts.
type Meter interface {
	Add(use Use)
}
