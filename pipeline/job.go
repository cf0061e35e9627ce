package pipeline

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// Fingerprint identifies the content of a request without its ids.
type Fingerprint uint64

// Job is one request that has been admitted.
type Job struct {
	Request      ident.RequestID
	Service      *document.Service
	Route        *document.Route
	Organisation ident.OrganisationID
	Fingerprint  Fingerprint
	Suspect      bool // runs alone, and only under a trial of the Guard
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

// Guard isolates requests that crash upstreams.
type Guard interface {
	// Lost records that the upstream's connection broke while it ran the
	// content. It returns before any answer to the caller or second try, and
	// reports whether a second try is allowed.
	Lost(ctx context.Context, content Fingerprint, at upstream.Lease) bool
	// Done records that a second try ended without breaking its upstream.
	Done(ctx context.Context, content Fingerprint)
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
