package wire

import (
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/kv"
)

// PartID names a part of a prompt that requests share.
type PartID string

// Part is a part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt describes what a model is asked for.
type Prompt struct {
	Model  ident.ModelName
	Parts  []Part // in order; the last one belongs to the request or its session
	Input  int    // tokens
	Output int    // largest number of tokens
	Likely int    // the caller's estimate of the number of output tokens; 0 if it gave none
}

// EventID numbers the events of a stream from 1.
type EventID int

// Head is what a caller's request states beside its method, path and body.
type Head struct {
	Request   ident.RequestID
	Key       routes.Key
	Patience  time.Duration // how long the caller waits; 0 if not stated
	LastEvent EventID       // last event that the caller has; 0 is none
	Prompt    Prompt
	Pieces    []int  // pieces of each stage
	PieceKey  string // names the content of the pieces of the first stages
}

// Dispatch is what the system states to the upstream that runs a request.
type Dispatch struct {
	Upstream     ident.UpstreamID // any other upstream refuses
	Organisation ident.OrganisationID
	Patience     time.Duration // time after which the upstream stops
	Urgency      int           // 0 is the most urgent, 9 the least
	Inputs       []Handle      // results of the stages
	LastEvent    EventID       // the stream goes on after it
	Cache        ident.Address // upstream that may have read parts of the prompt before; empty is none
}

// Load is what an upstream reports of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is what the head of an upstream's answer states.
type Reply struct {
	Request  ident.RequestID // of the request that it answers
	Sealed   bool            // it comes from an upstream
	NotRun   bool            // the request did not run
	Upstream ident.UpstreamID
	Load     *Load // nil if not stated
}

// Handle names a result of a stage at the upstream that holds it.
type Handle string

// Item is one piece of work of a stage.
type Item struct {
	Request  ident.RequestID
	Stage    int
	Piece    int
	Patience time.Duration
	Key      string   // for stages without inputs
	Inputs   []Handle // results of the stages before
}

// ItemStatus says how an item ended.
type ItemStatus uint8

// The ends of an item.
const (
	ItemDone     ItemStatus = iota + 1
	ItemLate                // its time was over at its turn
	ItemNoInput             // an input has been dropped
	ItemNoRoom              // the upstream holds too many results
	ItemRejected            // any other failure
)

// ItemResult is the end of one item.
type ItemResult struct {
	Status ItemStatus
	Handle Handle
}

// Message is an HTTP request of a call to an upstream.
type Message struct {
	Method string
	Path   string
	Body   []byte
}

// Codec translates between the wire and the types of the product.
type Codec interface {
	// Head reads the header of a caller's request. It returns an error if a
	// field is malformed.
	Head(header http.Header) (Head, error)
	// Forward returns the header that the upstream gets: that of the caller
	// without the fields that only the system sets or that concern one
	// connection, and the dispatch.
	Forward(header http.Header, dispatch Dispatch) http.Header
	// Reply reads the head of an upstream's answer.
	Reply(status int, header http.Header) Reply
	// RetryAfter states when a caller may return.
	RetryAfter(header http.Header, after time.Duration)
	// Echo states the request that an answer of the system belongs to.
	Echo(header http.Header, request ident.RequestID)

	// CallHeader is the header of a call of the system itself to an upstream; any
	// other upstream refuses it. It expects none if the upstream is empty.
	CallHeader(upstream ident.UpstreamID) http.Header
	// Batch is the call that runs items at an upstream of a stage.
	Batch(items []Item) (Message, error)
	// Results reads the answer of a batch.
	Results(body []byte) ([]ItemResult, error)
	// Release is the call that drops results.
	Release(handles []Handle) (Message, error)

	// Table reads a published routing table.
	Table(value []byte) (*routes.Table, error)
	// Upstream reads a registration. It returns an error if it names no
	// upstream that can be used.
	Upstream(entry kv.Entry) (fleet.Upstream, error)
	// UpstreamID returns the upstream that a registration's key names.
	UpstreamID(key kv.Key) ident.UpstreamID
}

// Keys are the places of the platform's entries in the store.
type Keys struct {
	Table     kv.Key // the routing table
	Upstreams kv.Key // prefix of the registrations
}
