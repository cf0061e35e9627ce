package duty

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Name identifies a duty.
type Name string

// leadership is the leader of a duty, and the term, as known to this host.
type leadership struct {
	host ident.HostID
	term uint64
}

// Leaders keeps the leader of each duty as known to this host. It is safe for
// concurrent use.
type Leaders struct {
	heavy func(name Name) bool // reports whether a duty needs a host with much capacity

	mu     sync.Mutex
	byDuty map[Name]leadership
}

// New returns a Leaders without any leader. Duties for which heavy returns true go to
// hosts with much capacity.
func New(heavy func(name Name) bool) *Leaders {
	return &Leaders{
		heavy:  heavy,
		byDuty: make(map[Name]leadership),
	}
}

// Candidates returns the hosts that may perform a duty, the leader first and then by
// rank. If the leader is not known or no longer eligible, the host that ranks first
// becomes the leader.
func (l *Leaders) Candidates(name Name, view *peer.View) []peer.Row {
	ranked := l.rank(name, view)
	if len(ranked) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.byDuty[name]
	if i := rankOf(ranked, current.host); i >= 0 && l.eligible(name, ranked[i], ranked[0]) {
		leader := ranked[i]
		return slices.Insert(slices.Delete(ranked, i, i+1), 0, leader)
	}
	l.byDuty[name] = leadership{
		host: ranked[0].Host,
		term: current.term + 1,
	}
	return ranked
}

// LeaderExcept returns the leader of a duty or, if that is the excluded host, the next
// candidate. It reports false if there is none.
func (l *Leaders) LeaderExcept(name Name, view *peer.View, excluded ident.HostID) (ident.HostID, bool) {
	l.mu.Lock()
	current := l.byDuty[name].host
	l.mu.Unlock()
	// Nearly always the known leader will do, which saves the ranking.
	if row, ok := view.Row(current); ok && row.State == peer.Alive && current != excluded && !l.heavy(name) {
		return current, true
	}
	for _, row := range l.Candidates(name, view) {
		if row.Host != excluded {
			return row.Host, true
		}
	}
	return "", false
}

// HandOver makes the next eligible host after from in the ranking the leader of a duty
// that from cannot perform. It reports false if there is none.
func (l *Leaders) HandOver(name Name, from ident.HostID, view *peer.View) (next peer.Row, ok bool) {
	ranked := l.rank(name, view)
	i := rankOf(ranked, from)
	for offset := range len(ranked) {
		row := ranked[(i+1+offset)%len(ranked)]
		if row.Host == from || !l.eligible(name, row, ranked[0]) {
			continue
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.byDuty[name] = leadership{
			host: row.Host,
			term: l.byDuty[name].term + 1,
		}
		return row, true
	}
	return peer.Row{}, false
}

// rankOf returns the index of a host in a ranking, or -1 if it is not there.
func rankOf(ranked []peer.Row, host ident.HostID) int {
	return slices.IndexFunc(ranked, func(row peer.Row) bool { return row.Host == host })
}

// eligible reports whether a host may lead a duty although another one ranks first: it
// is alive and, for a heavy duty, has nearly as much capacity.
func (l *Leaders) eligible(name Name, host, first peer.Row) bool {
	return host.State == peer.Alive && (!l.heavy(name) || host.Capacity >= minCapacityShare*first.Capacity)
}

// Report returns the known leaders, for the gossip.
func (l *Leaders) Report() []peer.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []peer.Leader
	for name, current := range l.byDuty {
		report = append(report, peer.Leader{
			Duty: string(name),
			Host: current.host,
			Term: current.term,
		})
	}
	return report
}

// Merge updates the leaders from the report of another host. Leaders that are not
// alive in view are ignored.
func (l *Leaders) Merge(report []peer.Leader, view *peer.View) {
	if len(report) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, received := range report {
		name := Name(received.Duty)
		current, ok := l.byDuty[name]
		if ok && (received.Term < current.term || received.Host == current.host && received.Term == current.term) {
			continue
		}
		ranked := l.rank(name, view)
		i := rankOf(ranked, received.Host)
		if i < 0 || ranked[i].State != peer.Alive {
			continue
		}
		if j := rankOf(ranked, current.host); ok && received.Term == current.term && j >= 0 && j < i {
			continue
		}
		l.byDuty[name] = leadership{
			host: received.Host,
			term: received.Term,
		}
	}
}
