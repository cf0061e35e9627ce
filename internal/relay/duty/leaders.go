package duty

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Name names a duty.
type Name string

// led is the leader of a duty as this host sees it.
type led struct {
	host ident.HostID
	term uint64
}

// Leaders remembers the host that does each duty.
type Leaders struct {
	heavy func(name Name) bool

	mu     sync.Mutex
	byDuty map[Name]led
}

// New returns leaders of no duty. Heavy duties go to hosts with much capacity.
func New(heavy func(name Name) bool) *Leaders {
	return &Leaders{
		heavy:  heavy,
		byDuty: make(map[Name]led),
	}
}

// Order returns the hosts that may do a duty, the leader first.
func (l *Leaders) Order(name Name, view *peer.View) []peer.Row {
	ranked := l.rank(name, view)
	if len(ranked) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.byDuty[name]
	if i := place(ranked, held.host); i >= 0 && l.usable(name, ranked[i], ranked[0]) {
		leader := ranked[i]
		return slices.Insert(slices.Delete(ranked, i, i+1), 0, leader)
	}
	l.byDuty[name] = led{
		host: ranked[0].Host,
		term: held.term + 1,
	}
	return ranked
}

// First returns the host that does a duty unless it is taken, and else the next
// one; there may be none.
func (l *Leaders) First(name Name, view *peer.View, taken ident.HostID) (ident.HostID, bool) {
	l.mu.Lock()
	held := l.byDuty[name].host
	l.mu.Unlock()
	// Without a ranking, as nearly always.
	if row, ok := view.Row(held); ok && row.State == peer.Alive && held != taken && !l.heavy(name) {
		return held, true
	}
	for _, row := range l.Order(name, view) {
		if row.Host != taken {
			return row.Host, true
		}
	}
	return "", false
}

// Pass hands a duty from a host that cannot do it to the next one in the ranking,
// and reports whether there is one.
func (l *Leaders) Pass(name Name, from ident.HostID, view *peer.View) (next peer.Row, ok bool) {
	ranked := l.rank(name, view)
	i := place(ranked, from)
	for offset := range len(ranked) {
		row := ranked[(i+1+offset)%len(ranked)]
		if row.Host == from || !l.usable(name, row, ranked[0]) {
			continue
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.byDuty[name] = led{
			host: row.Host,
			term: l.byDuty[name].term + 1,
		}
		return row, true
	}
	return peer.Row{}, false
}

// place returns the place of a host in a ranking, -1 if it is not there.
func place(ranked []peer.Row, host ident.HostID) int {
	return slices.IndexFunc(ranked, func(row peer.Row) bool { return row.Host == host })
}

// usable reports whether a leader may stay although another host ranks first.
func (l *Leaders) usable(name Name, leader, first peer.Row) bool {
	return leader.State == peer.Alive && (!l.heavy(name) || leader.Capacity >= capable*first.Capacity)
}

// Report returns the leaders for other hosts.
func (l *Leaders) Report() []peer.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []peer.Leader
	for name, held := range l.byDuty {
		report = append(report, peer.Leader{
			Duty: string(name),
			Host: held.host,
			Term: held.term,
		})
	}
	return report
}

// Hear takes the leaders that another host follows.
func (l *Leaders) Hear(report []peer.Leader, view *peer.View) {
	if len(report) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, told := range report {
		name := Name(told.Duty)
		held, ok := l.byDuty[name]
		if ok && (told.Term < held.term || told.Host == held.host && told.Term == held.term) {
			continue
		}
		ranked := l.rank(name, view)
		i := place(ranked, told.Host)
		if i < 0 || ranked[i].State != peer.Alive {
			continue
		}
		if j := place(ranked, held.host); ok && told.Term == held.term && j >= 0 && j < i {
			continue
		}
		l.byDuty[name] = led{
			host: told.Host,
			term: told.Term,
		}
	}
}
