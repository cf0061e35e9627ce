package document

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Kind says what a service runs for a request.
type Kind string

// The kinds of service.
const (
	Pipeline Kind = "pipeline" // a chain of stages
	Plain    Kind = "plain"    // one call to a plain upstream
)

// StageKind says which protocol a stage speaks to its upstreams.
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
	Path    string        // path at the upstream; the kind's own path if empty
	Timeout time.Duration // longest single attempt; 0 leaves it to the deadline
	Cost    float64       // price of one second at this stage
}

// Route matches requests of callers.
type Route struct {
	Name               string
	Method             string
	Path               string // path below "/<service>", exact
	Repeatable         bool   // false: runs at most once
	IdentityHeader     string // where callers send their idempotency key
	IdentityField      string // JSON field of the body with the idempotency key
	OrganisationHeader string
	OrganisationField  string
	Pool               PoolRef // the plain upstreams of a plain service
	MaxBody            int64   // bytes
}

// Service is the checked content of one service document.
type Service struct {
	Name             ident.ServiceName
	Team             ident.TeamName
	Kind             Kind
	Deadline         time.Duration
	AttainmentWeight float64 // 0 prefers low cost, 1 prefers attainment
	CrossCost        float64 // price of one attempt in another failure domain
	Model            ident.ModelName
	MaxTokens        int
	Shares           map[ident.OrganisationID]float64 // if not empty, others are served only with a share for ident.OthersID
	Stages           []Stage                          // in order; empty for a plain service
	Routes           []Route
}

// Versioned is an accepted document with its place in the sequence of changes.
type Versioned struct {
	Revision ident.Revision
	Change   ident.ChangeID
	Base     ident.Revision // revision that the change was based on
	Owner    ident.TeamName // team that may make the next change
	Team     ident.TeamName // team that made this change
	Author   string
	Time     time.Time
	Text     []byte
	Service  *Service // parsed Text; read-only, nil in a history
}
