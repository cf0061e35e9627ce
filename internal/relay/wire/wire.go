package wire

import (
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/kv"
)

// PartID identifies a part of a prompt that requests may share.
type PartID string

// Part is a contiguous part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt describes a request to a model.
type Prompt struct {
	Model          ident.ModelName
	Parts          []Part // in order; the last one is specific to the request or its session
	Input          int    // tokens
	Output         int    // maximum number of tokens
	OutputEstimate int    // the caller's estimate of the output tokens; 0 if not stated
}

// Shared returns the parts that other requests may share: all but the last one.
func (p Prompt) Shared() []Part {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// EventID numbers the events of a stream from 1.
type EventID int

// Head is the content of a caller's request header.
type Head struct {
	Request   ident.RequestID
	Key       routes.Key
	Timeout   time.Duration // how long the caller waits; 0 if not stated
	LastEvent EventID       // last event that the caller has received; 0 means none
	// Origin is the request that received the first event of the stream that this one
	// takes up; empty if it takes none up.
	Origin   ident.RequestID
	Prompt   Prompt
	Pieces   []int  // number of pieces of each stage
	PieceKey string // identifies the content of the pieces of stages without inputs
}

// Dispatch holds the header fields that the system sets on a request to an upstream.
type Dispatch struct {
	Upstream     ident.UpstreamID // any other upstream rejects the request
	Organisation ident.OrganisationID
	Timeout      time.Duration // time after which the upstream stops
	Urgency      int           // 0 is the most urgent, 9 the least
	Inputs       []Handle      // results of the pipeline stages
	LastEvent    EventID       // the stream resumes after this event
	Cache        ident.Address // upstream that may have cached parts of the prompt; empty if none
}

// Pace is how long work takes at an upstream, as a multiple of the normal duration: 1 is
// normal, 2 means that work takes twice as long, and 0 that the upstream states no pace.
type Pace float64

// Load is the load that an upstream reports: requests that run, requests that wait,
// the maximum number of running requests, and the pace of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    Pace
}

// Reply is the content of the header of an upstream's response.
type Reply struct {
	Request    ident.RequestID // the request that the response belongs to
	Sealed     bool            // the response comes from an upstream
	NotRun     bool            // the request did not run
	Upstream   ident.UpstreamID
	Draining   bool          // the upstream is about to stop
	Pause      time.Duration // how long the upstream wants no requests from this host; 0 if not stated
	PauseError error         // why a stated pause is not valid; nil if it is
	Limit      *fleet.Rate   // requests that the upstream accepts from all hosts together; nil if not stated
	LimitError error         // why a stated limit is not valid; nil if it is
	// Misdirected means that the response comes from another upstream than the request
	// was for.
	Misdirected bool
	Load        *Load // nil if not stated
}

// Handle identifies a result of a stage at the upstream that holds it.
type Handle string

// Item is one piece of work of a stage.
type Item struct {
	Request ident.RequestID
	Stage   int
	Piece   int
	Timeout time.Duration
	Key     string   // for stages without inputs
	Inputs  []Handle // results of the preceding stages
}

// ItemStatus is the outcome of an item.
type ItemStatus uint8

// The outcomes of an item.
const (
	ItemDone       ItemStatus = iota + 1
	ItemLate                  // its timeout had expired before it was run
	ItemNoInput               // the upstream no longer holds an input
	ItemNoCapacity            // the upstream has no capacity for further results
	ItemRejected              // any other failure
)

// ItemResult is the outcome of one item, with the handle of its result.
type ItemResult struct {
	Status ItemStatus
	Handle Handle
}

// Message is the HTTP request of a call to an upstream.
type Message struct {
	Method string
	Path   string
	Body   []byte
}

// Codec translates between a platform's formats and the types of this package.
type Codec interface {
	// Head decodes the header of a caller's request. It returns an error if a
	// field is malformed.
	Head(header http.Header) (Head, error)
	// Forward returns the header to send to the upstream: the caller's header
	// without the hop-by-hop fields and those that only the system sets, plus
	// the fields of the dispatch.
	Forward(header http.Header, dispatch Dispatch) http.Header
	// Reply decodes the header of an upstream's response.
	Reply(status int, header http.Header) Reply
	// RetryAfter sets the time after which a caller may retry.
	RetryAfter(header http.Header, after time.Duration)
	// Echo sets the request that a response of the system belongs to.
	Echo(header http.Header, request ident.RequestID)

	// CallHeader returns the header of a call that the system itself makes to an
	// upstream; any other upstream rejects the call. With an empty upstream, any
	// upstream accepts it.
	CallHeader(upstream ident.UpstreamID) http.Header
	// Batch encodes the call that runs items at an upstream of a stage.
	Batch(items []Item) (Message, error)
	// Results decodes the response to a batch.
	Results(body []byte) ([]ItemResult, error)
	// Release encodes the call that drops results at an upstream.
	Release(handles []Handle) (Message, error)

	// Table decodes a published routing table.
	Table(value []byte) (*routes.Table, error)
	// Upstream decodes a registration. It returns an error if the registration
	// describes no usable upstream.
	Upstream(entry kv.Entry) (fleet.Upstream, error)
	// UpstreamID returns the ID of the upstream in the key of a registration.
	UpstreamID(key kv.Key) ident.UpstreamID
}

// Keys holds the store keys of the platform's entries.
type Keys struct {
	Table     kv.Key // the routing table
	Upstreams kv.Key // prefix of the registrations
	Evacuated kv.Key // prefix of the failure domains that operators have evacuated; their name follows
	// MaxRegistration is the size in bytes up to which a registration can be valid.
	MaxRegistration int
}
