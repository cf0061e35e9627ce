package peer

import (
	"github.com/nutmegshift/nutmegshift/ident"
)

// State is what a host is believed to be doing.
type State uint8

// The states of a host, in the order in which one incarnation passes through them.
const (
	Alive   State = iota + 1
	Suspect       // does not respond, but may refute that
	Leaving       // has announced its stop
	Down
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	default:
		return "unknown"
	}
}

// MaxIncarnation bounds the incarnations that are believed, so that a damaged
// message cannot bring a host to a number that it cannot exceed.
const MaxIncarnation ident.Incarnation = 1 << 62

// Row is one entry host.
type Row struct {
	Host        ident.HostID
	Address     ident.Address // peer port
	Domain      ident.FailureDomain
	Region      ident.Region
	Incarnation ident.Incarnation
	State       State
	Capacity    float32 // cores; 0 if not stated
}

// Live reports whether the host may own keys and receive messages.
func (r Row) Live() bool {
	return r.State == Alive || r.State == Suspect
}
