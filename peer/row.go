package peer

import (
	"github.com/nutmegshift/nutmegshift/ident"
)

// State is the state of a host in a Table.
type State uint8

// The states of a host, in the order in which one incarnation passes through them.
const (
	Alive   State = iota + 1
	Suspect       // did not respond, but may still refute the suspicion
	Leaving       // has announced that it is about to stop
	Down          // has stopped or did not refute a suspicion in time
)

// String returns the name of the state in lower case.
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

// MaxIncarnation is the exclusive upper bound of the incarnations that a host
// accepts, so that a damaged message cannot raise an incarnation to a number that
// its host cannot exceed.
const MaxIncarnation ident.Incarnation = 1 << 62

// Row is the membership of one entry host.
type Row struct {
	Host        ident.HostID
	Address     ident.Address // of its peer port
	Domain      ident.FailureDomain
	Region      ident.Region
	Incarnation ident.Incarnation
	State       State
	Capacity    float32 // in cores; 0 if unknown
}

// Live reports whether the host may own keys and receive messages.
func (r Row) Live() bool {
	return r.State == Alive || r.State == Suspect
}
