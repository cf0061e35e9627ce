package upstream

import (
	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
)

// Member is one upstream as the host list reports it.
type Member struct {
	Pool        document.PoolRef
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	Address     ident.Address
	Domain      ident.FailureDomain
	Region      ident.Region
	Leaving     bool
}

// Mark identifies an incarnation of an upstream that is leaving.
type Mark struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
}

// State determines which work a row receives.
type State string

// The states of a row.
const (
	StateStarting State = "starting" // slow start: receives a growing share of work
	StateLive     State = "live"
	StateLeaving  State = "leaving" // no new work; final for the incarnation
	StateEjected  State = "ejected" // no new work except one trial at a time
	StateGone     State = "gone"    // no longer listed, or replaced by a higher incarnation; no new work
)
