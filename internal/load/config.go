package load

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	defaultDeadline = 12 * time.Second
	// defaultMaxInFlight limits memory and sockets at a deadline of 12 s. Arrivals
	// beyond it are reported as unsent rather than as failures, because the limit
	// is the generator's, not that of the system under test.
	defaultMaxInFlight = 4096
	maxResponseBytes   = 8 << 20
)

// Burst multiplies the request rate by Factor for a limited time.
type Burst struct {
	Start    time.Duration // from the start of the run
	Duration time.Duration
	Factor   float64
}

// Share is the weight of one organisation, relative to the sum of all weights.
type Share struct {
	Organisation ident.OrganisationID
	Weight       float64
}

// Header is one header field of a request.
type Header struct {
	Name  string
	Value string
}

// Request is one request to an entry host. The generator sets Number and
// Organisation.
type Request struct {
	Number       int // unique within a run, from 0
	Organisation ident.OrganisationID
	Method       string
	Path         string // including the query
	Headers      []Header
	Body         []byte
	Stream       bool // whether to expect a stream of server-sent events
}

// Response is the complete response to a Request.
type Response struct {
	Status int
	Body   []byte // empty for a stream
	Text   string // concatenated tokens of a stream
}

// Config holds the settings of a Generator. Targets, Build and Check are required.
type Config struct {
	Targets       []ident.Address // entry hosts; each request goes to a random one
	Rate          float64         // requests per second outside bursts
	Duration      time.Duration   // period in which requests arrive
	Bursts        []Burst
	Seed          uint64        // determines arrivals, organisations and targets
	Organisations []Share       // see SkewedShares for a common case
	Deadline      time.Duration // longest latency of an attained request; default 12 s
	MaxInFlight   int           // maximum number of concurrent requests; default 4096

	// Build returns the request with the given number; its content must be unique.
	// It is called from one goroutine.
	Build func(number int, organisation ident.OrganisationID) Request
	// Check returns an error if a response with a 2xx status does not belong to
	// the request. It must be safe for concurrent use.
	Check func(request Request, response Response) error
}

// SkewedShares returns shares in which the organisation large sends the given
// fraction of all requests and the others send the rest in equal parts.
func SkewedShares(fraction float64, large ident.OrganisationID, others ...ident.OrganisationID) []Share {
	shares := []Share{{
		Organisation: large,
		Weight:       fraction,
	}}
	for _, other := range others {
		shares = append(shares, Share{
			Organisation: other,
			Weight:       (1 - fraction) / float64(len(others)),
		})
	}
	return shares
}
