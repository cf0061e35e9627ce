package cell

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// led is the leader of a cell as this host sees it.
type led struct {
	host ident.HostID
	term uint64
}

// Leaders remembers the coordinator of each cell.
//
// A host follows a coordinator for as long as it is alive, although another host
// would rank before it: a host that starts again would otherwise take the work
// from the one that replaced it. A host that replaces its coordinator raises the
// term. Hosts tell each other whom they follow: the higher term prevails, and the
// better rank in the same term, so groups that have followed different leaders
// join.
type Leaders struct {
	mu     sync.Mutex
	byCell map[ID]led
}

// NewLeaders returns leaders of no cell.
func NewLeaders() *Leaders {
	return &Leaders{
		byCell: make(map[ID]led),
	}
}

// Order returns the hosts that may coordinate a cell, the leader first.
func (l *Leaders) Order(id ID, view *peer.View) []peer.Row {
	ranked := rank(id, view)
	if len(ranked) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.byCell[id]
	if i := place(ranked, held.host); i >= 0 && usable(ranked[i], ranked[0]) {
		leader := ranked[i]
		return slices.Insert(slices.Delete(ranked, i, i+1), 0, leader)
	}
	l.byCell[id] = led{
		host: ranked[0].Host,
		term: held.term + 1,
	}
	return ranked
}

// place returns the place of a host in a ranking, -1 if it is not there.
func place(ranked []peer.Row, host ident.HostID) int {
	return slices.IndexFunc(ranked, func(row peer.Row) bool { return row.Host == host })
}

// usable reports whether a leader may stay although another host ranks first.
func usable(leader, first peer.Row) bool {
	return leader.State == peer.Alive && leader.Capacity >= capable*first.Capacity
}

// Report returns the leaders for other hosts.
func (l *Leaders) Report() []peer.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []peer.Leader
	for id, held := range l.byCell {
		report = append(report, peer.Leader{
			Duty: string(id),
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
		id := ID(told.Duty)
		held, ok := l.byCell[id]
		if ok && (told.Term < held.term || told.Host == held.host && told.Term == held.term) {
			continue
		}
		ranked := rank(id, view)
		i := place(ranked, told.Host)
		if i < 0 || ranked[i].State != peer.Alive {
			continue
		}
		if j := place(ranked, held.host); ok && told.Term == held.term && j >= 0 && j < i {
			continue
		}
		l.byCell[id] = led{
			host: told.Host,
			term: told.Term,
		}
	}
}
