package load

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	defaultDeadline = 12 * time.Second
	// At a deadline of 12 s this bounds memory and sockets; arrivals beyond it
	// are reported as unsent, because they say nothing about the system.
	defaultMaxInFlight = 4096
	maxReply           = 8 << 20
)

// Burst multiplies the rate for a time.
type Burst struct {
	At     time.Duration // from the start of the run
	For    time.Duration
	Factor float64
}

// Share is the weight of one organisation in the mix.
type Share struct {
	Organisation ident.OrganisationID
	Weight       float64
}

// Header is one header field of a request.
type Header struct {
	Name  string
	Value string
}

// Request is one request to an entry host.
type Request struct {
	Number       int // unique within a run, from 0
	Organisation ident.OrganisationID
	Method       string
	Path         string // with its query
	Headers      []Header
	Body         []byte
	Stream       bool // the answer is a stream of server-sent events
}

// Answer is the complete answer to a request.
type Answer struct {
	Status int
	Body   []byte // of an answer that is not a stream
	Text   string // tokens of a stream, joined
}

// Config holds the settings of a run.
type Config struct {
	Targets       []ident.Address // entry hosts; requests are spread evenly
	Rate          float64         // requests per second outside bursts
	Duration      time.Duration   // time in which requests arrive
	Bursts        []Burst
	Seed          uint64
	Organisations []Share       // OneLarge makes a common mix
	Deadline      time.Duration // default 12 s
	MaxInFlight   int           // default 4096

	// Build returns the request with the given number; its content must be unique.
	Build func(number int, organisation ident.OrganisationID) Request
	// Check returns an error if a 2xx answer does not belong to the request.
	Check func(request Request, answer Answer) error
}

// OneLarge returns a mix in which the first organisation has the given part of
// all requests and the others share the rest equally.
func OneLarge(part float64, large ident.OrganisationID, others ...ident.OrganisationID) []Share {
	shares := []Share{{
		Organisation: large,
		Weight:       part,
	}}
	for _, other := range others {
		shares = append(shares, Share{
			Organisation: other,
			Weight:       (1 - part) / float64(len(others)),
		})
	}
	return shares
}
