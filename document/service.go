package document

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Kind determines how a service processes a request.
type Kind string

// The kinds of service.
const (
	Pipeline Kind = "pipeline" // runs a sequence of stages
	Plain    Kind = "plain"    // makes one call to a plain upstream
)

// StageKind determines the protocol between a stage and its upstreams.
type StageKind string

// The kinds of stage.
const (
	Encode   StageKind = "encode"
	Retrieve StageKind = "retrieve"
	Rerank   StageKind = "rerank"
	Generate StageKind = "generate"
	Lookup   StageKind = "lookup" // an idempotent call to a plain upstream
)

// PoolRef names a pool of a service, written "service/pool" in a document.
type PoolRef struct {
	Service ident.ServiceName
	Pool    ident.PoolName
}

// Stage is one step of a pipeline.
type Stage struct {
	Name    ident.StageName
	Kind    StageKind
	Pool    PoolRef
	Path    string        // request path at the upstream; empty for the default path of the kind
	Timeout time.Duration // of a single attempt; 0 if only the deadline of the service applies
	Cost    float64       // price of one second of this stage
}

// Route describes the requests of callers that a service accepts at one method and
// path.
type Route struct {
	Name               string
	Method             string
	Path               string  // path below "/<service>", matched exactly
	Repeatable         bool    // false if a request must be executed at most once
	IdentityHeader     string  // header with the caller's idempotency key, or empty
	IdentityField      string  // JSON field of the body with the idempotency key, or empty
	OrganisationHeader string  // header with the organisation, or empty
	OrganisationField  string  // JSON field of the body with the organisation, or empty
	Pool               PoolRef // upstreams of a plain service; zero for a pipeline
	MaxBody            int64   // largest request body in bytes
}

// Service is the validated content of one service document.
type Service struct {
	Name             ident.ServiceName
	Team             ident.TeamName
	Kind             Kind
	Deadline         time.Duration
	AttainmentWeight float64 // from 0, which prefers low cost, to 1, which prefers attainment of the deadline
	CrossCost        float64 // price of one attempt in another failure domain
	Model            ident.ModelName
	MaxTokens        int
	Shares           map[ident.OrganisationID]float64 // if not empty, unlisted organisations are served only with a share for ident.OthersID
	Stages           []Stage                          // in order; empty for a plain service
	Routes           []Route
}

// Versioned is an accepted revision of a document.
type Versioned struct {
	Revision ident.Revision
	Change   ident.ChangeID
	Base     ident.Revision // revision that the change was based on
	Owner    ident.TeamName // team that may make the next change
	Team     ident.TeamName // team that made this change
	Author   string
	Time     time.Time
	Text     []byte
	Service  *Service // parsed Text, read-only; nil in a history
}
