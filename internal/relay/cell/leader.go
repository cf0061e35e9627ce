package cell

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// seniority is by how much longer another leader must have led for a host to
// follow it instead of its own: less is only the way of the news.
const seniority = 2 * time.Second

// led is the leader of a cell as this host sees it.
type led struct {
	host  ident.HostID
	since time.Time
}

// Leaders remembers the coordinator of each cell.
//
// A host follows a coordinator for as long as it is alive, although another host
// would rank before it: a host that starts again would otherwise take the work
// from the one that replaced it. Hosts tell each other whom they follow and for
// how long that one has led; the one that has led for longer prevails, so groups
// that have followed different leaders join.
type Leaders struct {
	now func() time.Time

	mu     sync.Mutex
	byCell map[ID]led
}

// NewLeaders returns leaders of no cell.
func NewLeaders(now func() time.Time) *Leaders {
	return &Leaders{
		now:    now,
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
	held, ok := l.byCell[id]
	if ok {
		for i, row := range ranked {
			if row.Host == held.host && row.State == peer.Alive && row.Capacity >= capable*ranked[0].Capacity {
				ordered := append([]peer.Row{row}, ranked[:i]...)
				return append(ordered, ranked[i+1:]...)
			}
		}
	}
	l.byCell[id] = led{
		host:  ranked[0].Host,
		since: l.now(),
	}
	return ranked
}

// Report returns the leaders for other hosts.
func (l *Leaders) Report() []peer.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var report []peer.Leader
	for id, held := range l.byCell {
		report = append(report, peer.Leader{
			Duty: string(id),
			Host: held.host,
			Age:  now.Sub(held.since),
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
	now := l.now()
	for _, told := range report {
		row, ok := view.Row(told.Host)
		if !ok || row.State != peer.Alive {
			continue
		}
		since := now.Add(-told.Age)
		held, ok := l.byCell[ID(told.Duty)]
		switch {
		case !ok:
		case held.host == told.Host:
			if !since.Before(held.since) {
				continue
			}
		case !since.Before(held.since.Add(-seniority)):
			continue
		}
		l.byCell[ID(told.Duty)] = led{
			host:  told.Host,
			since: since,
		}
	}
}
