package duty

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Name identifies a duty.
type Name string

// leadership is the leader of a duty, and the term, as known to this host. The term is 0
// until the leader has sent a message to a host that follows it.
type leadership struct {
	host ident.HostID
	term uint64
}

// Leaders keeps the leader of each duty as known to this host. It is safe for
// concurrent use.
type Leaders struct {
	heavy     func(name Name) bool // reports whether a duty needs a host with much capacity
	responses *Responses

	mu     sync.Mutex
	byDuty map[Name]leadership
}

// New returns a Leaders without any leader. Duties for which heavy returns true go to
// hosts with much capacity.
func New(heavy func(name Name) bool, responses *Responses) *Leaders {
	return &Leaders{
		heavy:     heavy,
		responses: responses,
		byDuty:    make(map[Name]leadership),
	}
}

// Candidates returns the hosts that may perform a duty, the leader first and then by
// rank. If the leader is not known or no longer eligible, the host that ranks first
// becomes the leader.
//
// A suspected leader stays while it is not known to be lost: a caller that follows it
// records in the Responses whether it responds.
func (l *Leaders) Candidates(name Name, view *peer.View) []peer.Row {
	return l.candidates(name, view, l.follows)
}

// candidates returns the candidates for a duty whose leader stays while keep returns true
// for it.
func (l *Leaders) candidates(name Name, view *peer.View, keep func(row peer.Row) bool) []peer.Row {
	ranked := l.rank(name, view)
	if len(ranked) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.confirm(name)
	if i := rankOf(ranked, current.host); i >= 0 && keep(ranked[i]) && l.hasCapacity(name, ranked[i], ranked[0]) {
		leader := ranked[i]
		return slices.Insert(slices.Delete(ranked, i, i+1), 0, leader)
	}
	l.byDuty[name] = leadership{
		host: ranked[0].Host,
		term: successorTerm(current),
	}
	return ranked
}

// successorTerm returns the term of the successor of a leader. A leader that has never
// sent a message has not been lost: hosts that start together before it does would
// otherwise replace it one after the other, each with a higher term.
func successorTerm(current leadership) uint64 {
	if current.term == 0 {
		return 0
	}
	return current.term + 1
}

// confirm returns the leader of a duty, with term 1 if this host is the first one that has
// a message of it. The caller holds the mutex.
func (l *Leaders) confirm(name Name) leadership {
	current := l.byDuty[name]
	if current.host != "" && current.term == 0 && !l.responses.Evidence(current.host).Heard.IsZero() {
		current.term = 1
		l.byDuty[name] = current
	}
	return current
}

// Confirmed reports whether a host that follows the leader of a duty has a message of it.
func (l *Leaders) Confirmed(name Name) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirm(name).term > 0
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
	for _, row := range l.candidates(name, view, l.present) {
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
		if row.Host == from || !l.present(row) || !l.hasCapacity(name, row, ranked[0]) {
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

// present reports whether a host performs its duties as far as is known: it is alive, or
// is suspected although this host has a recent message of it.
func (l *Leaders) present(row peer.Row) bool {
	return row.State == peer.Alive || row.State == peer.Suspect && l.responses.Standing(row.Host) == Recent
}

// follows reports whether a host stays the leader of a duty for which this host sends jobs
// to it. The rumour of a suspicion replaces no leader that has responded to the latest
// job: the next job shows whether it still does.
func (l *Leaders) follows(row peer.Row) bool {
	if row.State != peer.Suspect {
		return row.State == peer.Alive
	}
	standing := l.responses.Standing(row.Host)
	return standing == Recent || standing == Quiet
}

// hasCapacity reports whether a host may lead a duty although another one ranks first: for
// a heavy duty, it has nearly as much capacity.
func (l *Leaders) hasCapacity(name Name, host, first peer.Row) bool {
	return !l.heavy(name) || host.Capacity >= minCapacityShare*first.Capacity
}

// Report returns the known leaders, for the gossip.
func (l *Leaders) Report() []peer.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []peer.Leader
	for name := range l.byDuty {
		current := l.confirm(name)
		report = append(report, peer.Leader{
			Duty: string(name),
			Host: current.host,
			Term: current.term,
		})
	}
	return report
}

// Merge updates the leaders from the report of another host. Leaders that are neither
// alive in view nor have responded recently are ignored.
func (l *Leaders) Merge(report []peer.Leader, view *peer.View) {
	if len(report) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, received := range report {
		name := Name(received.Duty)
		_, ok := l.byDuty[name]
		current := l.confirm(name)
		if ok && (received.Term < current.term || received.Host == current.host && received.Term == current.term) {
			continue
		}
		ranked := l.rank(name, view)
		i := rankOf(ranked, received.Host)
		if i < 0 || !l.present(ranked[i]) {
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
