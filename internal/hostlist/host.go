package hostlist

import "github.com/nutmegshift/nutmegshift/ident"

// Kind says what a listed host runs.
type Kind string

// The kinds of listed host.
const (
	EntryHost    Kind = "entry"
	UpstreamHost Kind = "upstream"
)

// State is the state of a host as the platform sees it.
type State string

// The states of a listed host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one row of the list. Entry hosts have Peer and Operator addresses,
// upstream hosts have Service, Pool and Address.
type Host struct {
	Name        string              `json:"name"`
	Kind        Kind                `json:"kind"`
	State       State               `json:"state"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	Domain      ident.FailureDomain `json:"domain"`
	Region      ident.Region        `json:"region"`
	Service     ident.ServiceName   `json:"service,omitempty"`
	Pool        ident.PoolName      `json:"pool,omitempty"`
	Address     ident.Address       `json:"address,omitempty"`
	Peer        ident.Address       `json:"peer,omitempty"`
	Operator    ident.Address       `json:"operator,omitempty"`
}

// List is one version of the host list.
type List struct {
	Version  uint64  `json:"version"`
	Hosts    []Host  `json:"hosts"`
	Rejected []error `json:"-"` // reasons why rows were left out of Hosts
}
