package routes

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Version is the version of a published table; later tables have higher versions.
type Version uint64

// Key is a secret that authenticates an organisation's callers.
type Key string

// Kind says whether the requests of a route may be retried, and whether their responses
// are streams.
type Kind uint8

// The kinds of routes.
const (
	// Safe requests are idempotent and may run any number of times.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests have a stream of events as their response; they run at most once
	// unless the route is resumable.
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

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service ident.ServiceName
	Weight  float64 // relative to the other shares of the route
}

// Stage is work that upstreams of another service do before a request runs.
type Stage struct {
	Service ident.ServiceName
	After   []int // indices of the stages whose results this stage needs
	Bytes   int64 // approximate size of one result
}

// Route says how requests to a host name whose path has a prefix are handled.
type Route struct {
	Name      string
	Host      string // host name of the request, without a port
	Prefix    string // of the path
	Kind      Kind
	Shares    []Share
	Stages    []Stage
	Timeout   time.Duration  // maximum duration of a request
	Objective time.Duration  // target for the time to the response or, in a stream, to its first event
	MaxPause  time.Duration  // target for the time between events of a stream
	Attempts  int            // maximum number of upstreams that may run one request
	Priority  int            // 0 is the most urgent
	Public    bool           // requests need no key
	Resumable bool           // a stream may be resumed at another upstream
	Homes     []ident.Region // regions in which requests may run; empty means all
	Generates bool           // requests describe a prompt for a model
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes a model engine of a service.
type Engine struct {
	Slots      int // requests that run concurrently
	CacheSize  int // capacity of the KV cache, in tokens
	TokenBytes int // bytes per token in the KV cache
	Stride     int // tokens per event of a stream
}

// Batch describes an upstream of a service that runs stages in batches.
type Batch struct {
	Slots     int           // calls that run concurrently
	Queue     int           // calls that may wait for a slot
	Items     int           // maximum number of items in a call
	CallTime  time.Duration // fixed duration of a call
	ItemTime  time.Duration // approximate duration added by each item
	Capacity  int64         // bytes available for results
	Retention time.Duration // time after which an unreleased result expires
}

// CallDuration returns the duration of a call with a number of items.
func (b *Batch) CallDuration(items int) time.Duration {
	return b.CallTime + time.Duration(items)*b.ItemTime
}

// Service describes the upstreams of one service.
type Service struct {
	Name        ident.ServiceName
	HealthPath  string
	Connections int     // maximum number of connections from all hosts to one upstream; 0 means no limit
	ColdRate    float64 // requests per second from all hosts that a cold upstream bears; 0 means no limit
	Engine      *Engine // nil unless the upstreams are model engines
	Batch       *Batch  // nil unless the upstreams run stages
}

// Organisation is a party whose callers the system serves.
type Organisation struct {
	Name        ident.OrganisationID
	Keys        []Key
	Priority    int            // 0 is the most urgent
	HasPriority bool           // if false, Priority is ignored
	Homes       []ident.Region // regions in which its requests may run; empty means all
}

// Limits are the limits on callers' connections and requests.
type Limits struct {
	Header        int64         // maximum size of a request header in bytes
	Body          int64         // maximum size of a request body in bytes
	HeaderTimeout time.Duration // maximum time to receive a request header
	IdleTimeout   time.Duration // maximum time between two requests on a connection
}
