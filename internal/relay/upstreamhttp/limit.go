package upstreamhttp

// minOpen is the number of connections that a host may open to an upstream even if
// its share is smaller: requests arrive in bursts, and not at all hosts at once.
const minOpen = 2

// Limit bounds the connections of a host to one upstream. The zero value means
// no limit.
type Limit struct {
	Open int // maximum number of connections, including idle ones
	Idle int // maximum number of idle connections
}

// Share returns the limit of one host for an upstream that accepts the given number
// of connections from all hosts; 0 connections mean no limit. Idle connections may
// be open at all hosts at the same time, so Idle never exceeds the equal share.
func Share(connections, hosts int) Limit {
	if connections <= 0 {
		return Limit{}
	}
	share := connections / max(1, hosts)
	return Limit{
		Open: max(share, minOpen),
		Idle: share,
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
