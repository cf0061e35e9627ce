package upstreamhttp

// leastOpen is how many connections a host may open to an upstream even if its
// share is smaller: requests come in bunches, and not at all hosts at once.
const leastOpen = 2

// Limit bounds the connections of a host to one upstream. The zero Limit is none.
type Limit struct {
	Open int // idle ones included
	Idle int
}

// Share returns the limit of one of several hosts for an upstream that accepts a
// number of connections in all; 0 connections are no limit. Idle connections are
// open at all hosts at the same time, so they stay within the share.
func Share(connections, hosts int) Limit {
	if connections <= 0 {
		return Limit{}
	}
	share := connections / max(1, hosts)
	return Limit{
		Open: max(share, leastOpen),
		Idle: share,
	}
}

// full reports whether no further connection may be opened.
func (l Limit) full(open int) bool {
	return l.Open > 0 && open >= l.Open
}

// spare reports whether one of the idle connections has to be closed.
func (l Limit) spare(idle int) bool {
	return l.Open > 0 && idle > l.Idle
}
