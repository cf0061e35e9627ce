package routes

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Version numbers the published tables; a later table has a higher one.
type Version uint64

// Key is the secret by which an organisation's callers identify themselves.
type Key string

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Safe requests are idempotent and may run any number of times.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by events; they run at most once unless the
	// route is resumable.
	Stream
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Share is a service's part of a route's requests.
type Share struct {
	Service ident.ServiceName
	Weight  float64
}

// Stage is work that upstreams of another service do before a request runs.
type Stage struct {
	Service ident.ServiceName
	After   []int // indices of the stages whose results it needs
	Bytes   int64 // approximate size of one result
}

// Route says how the requests under a prefix of a host name are handled.
type Route struct {
	Name      string
	Host      string // of the request, without a port
	Prefix    string
	Kind      Kind
	Shares    []Share
	Stages    []Stage
	Timeout   time.Duration // longest time that a request may take
	Objective time.Duration // longest time to an answer, or to the first event, that is on time
	Pause     time.Duration // longest pause between events that is on time
	Attempts  int           // upstreams that may run one request
	Priority  int           // 0 is the most urgent
	Public    bool          // needs no key
	Resumable bool          // a stream may go on at another upstream
	Generates bool          // requests describe a prompt to a model
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int // requests that run at the same time
	CacheSize  int // tokens
	TokenBytes int // of the KV cache of one token
	Stride     int // tokens in one event of a stream
}

// Batch describes the upstreams of a service that run stages in batches.
type Batch struct {
	Slots    int           // calls in progress
	Queue    int           // calls that may wait
	Items    int           // largest batch
	CallTime time.Duration // fixed part of a call
	ItemTime time.Duration // approximate time that each item adds
	Room     int64         // bytes for results
	Retain   time.Duration // time after which a result is dropped
}

// Service describes the upstreams of one service.
type Service struct {
	Name        ident.ServiceName
	HealthPath  string
	Connections int     // from all hosts to one upstream
	Engine      *Engine // nil unless the upstreams are model engines
	Batch       *Batch  // nil unless the upstreams run stages
}

// Organisation is a party whose callers the system serves.
type Organisation struct {
	Name     ident.OrganisationID
	Keys     []Key
	Priority int // 0 is the most urgent
	Ranked   bool
}

// Limits bound what a caller may send.
type Limits struct {
	Header        int64 // bytes
	Body          int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // between two requests of a connection
}
