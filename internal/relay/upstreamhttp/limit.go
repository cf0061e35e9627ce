package upstreamhttp

const (
	// minOpen is the number of connections that a host may open to an upstream even if
	// its share is smaller: requests arrive in bursts, and not at all hosts at once.
	minOpen = 2
	// burstReserve is the part of the connections of an upstream that is kept free for
	// hosts that open more than their share. No more can be in use than the upstream runs
	// and queues, a tenth of the connections that it accepts.
	burstReserve = 1.0 / 8
)

// Limit bounds the connections of a host to one upstream. The zero value means
// no limit.
type Limit struct {
	Open int // maximum number of connections, including idle ones
	Idle int // maximum number of idle connections
}

// Share returns the limit of one host for an upstream that accepts the given number
// of connections from all hosts; 0 connections mean no limit. Idle connections may
// be open at all hosts at the same time, so Idle never exceeds the equal share. If that
// is smaller than minOpen, idle connections leave a reserve for those in use.
func Share(connections, hosts int) Limit {
	if connections <= 0 {
		return Limit{}
	}
	hosts = max(1, hosts)
	share := connections / hosts
	if share >= minOpen {
		return Limit{
			Open: share,
			Idle: share,
		}
	}
	return Limit{
		Open: minOpen,
		Idle: int((1-burstReserve)*float64(connections)) / hosts,
	}
}

// reached reports whether no further connection may be opened.
func (l Limit) reached(open int) bool {
	return l.Open > 0 && open >= l.Open
}

// exceededIdle reports whether there are more idle connections than allowed.
func (l Limit) exceededIdle(idle int) bool {
	return l.Open > 0 && idle > l.Idle
}
