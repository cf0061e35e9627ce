package duty_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/peer"
)

// heavy makes every duty a heavy one but "light".
func heavy(name duty.Name) bool { return name != "light" }

// members is the membership that a host sees.
type members struct {
	table *peer.Table
}

func newMembers(self ident.HostID, others ...peer.Row) *members {
	m := &members{
		table: peer.NewTable(peer.Row{
			Host:     self,
			Address:  ident.Address(self),
			Capacity: 0.4,
		}),
	}
	m.table.Merge(time.Now(), others)
	return m
}

func row(host ident.HostID, capacity float32) peer.Row {
	return peer.Row{
		Host:        host,
		Address:     ident.Address(host),
		Incarnation: 1,
		Capacity:    capacity,
		State:       peer.Alive,
	}
}

func (m *members) leave(host ident.HostID) {
	m.table.Merge(time.Now(), []peer.Row{{
		Host:        host,
		Incarnation: 1,
		State:       peer.Leaving,
	}})
}

func names(rows []peer.Row) []ident.HostID {
	var list []ident.HostID
	for _, row := range rows {
		list = append(list, row.Host)
	}
	return list
}

// Guards against hosts that do not agree on the coordinator although they see
// the same members, and against a small host that coordinates beside large ones.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	all := []peer.Row{row("a", 0.4), row("b", 0.4), row("c", 0.4), row("big", 0.8)}
	var first []ident.HostID
	for _, self := range []ident.HostID{"a", "b", "c"} {
		leaders := duty.New(heavy)
		order := names(leaders.Order("", newMembers(self, all...).table.Snapshot()))
		c.Check(order[0], qt.Equals, ident.HostID("big"))
		c.Check(order, qt.HasLen, 4)
		if first == nil {
			first = order
		}
		c.Check(order, qt.DeepEquals, first)
	}
}

// Guards against a coordinator that changes when a host comes back, or does not
// change when it leaves.
func TestLeaderStays(t *testing.T) {
	c := qt.New(t)
	leaders := duty.New(heavy)
	all := []peer.Row{row("a", 0.4), row("b", 0.4), row("c", 0.4)}
	m := newMembers("small", all...)
	order := leaders.Order("", m.table.Snapshot())
	before, second := order[0].Host, order[1].Host
	m.leave(before)
	after := leaders.Order("", m.table.Snapshot())[0].Host
	c.Assert(after, qt.Equals, second)
	c.Assert(leaders.Order("", newMembers("small", all...).table.Snapshot())[0].Host, qt.Equals, after)
}

// Guards against a coordinator that everybody takes from a host that has just
// started or has stood still, and against one that is not alive.
func TestHear(t *testing.T) {
	order := names(duty.New(heavy).Order("", newMembers("self", row("a", 0.4), row("b", 0.4), row("c", 0.4)).table.Snapshot()))
	tests := map[string]struct {
		own   peer.Leader
		told  peer.Leader
		leave bool // the told host is not alive
		moves bool
	}{
		"later term":                  {own: peer.Leader{Host: order[0], Term: 3}, told: peer.Leader{Host: order[1], Term: 4}, moves: true},
		"earlier term":                {own: peer.Leader{Host: order[1], Term: 3}, told: peer.Leader{Host: order[0], Term: 2}},
		"same term, better rank":      {own: peer.Leader{Host: order[1], Term: 3}, told: peer.Leader{Host: order[0], Term: 3}, moves: true},
		"same term, worse rank":       {own: peer.Leader{Host: order[0], Term: 3}, told: peer.Leader{Host: order[1], Term: 3}},
		"later term, host has left":   {own: peer.Leader{Host: order[0], Term: 3}, told: peer.Leader{Host: order[1], Term: 4}, leave: true},
		"later term, unknown host":    {own: peer.Leader{Host: order[0], Term: 3}, told: peer.Leader{Host: "z", Term: 4}},
		"later term, another cell":    {own: peer.Leader{Host: order[0], Term: 3}, told: peer.Leader{Duty: "other", Host: order[1], Term: 4}},
		"same leader, at a later one": {own: peer.Leader{Host: order[0], Term: 3}, told: peer.Leader{Host: order[0], Term: 5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			leaders := duty.New(heavy)
			m := newMembers("self", row("a", 0.4), row("b", 0.4), row("c", 0.4))
			leaders.Hear([]peer.Leader{test.own}, m.table.Snapshot())
			if test.leave {
				m.leave(test.told.Host)
			}
			leaders.Hear([]peer.Leader{test.told}, m.table.Snapshot())
			want := test.own.Host
			if test.moves {
				want = test.told.Host
			}
			c.Assert(leaders.Order("", m.table.Snapshot())[0].Host, qt.Equals, want)
		})
	}
}

// Guards against groups of hosts that follow different coordinators for good,
// whatever each of them has believed before.
func TestLeadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*duty.Leaders, rapid.IntRange(2, 8).Draw(t, "hosts"))
		var rows []peer.Row
		for i := range hosts {
			rows = append(rows, row(ident.HostID(fmt.Sprint("h", i)), 0.4))
		}
		view := newMembers(rows[0].Host, rows[1:]...).table.Snapshot()
		for i := range hosts {
			hosts[i] = duty.New(heavy)
			if rapid.Bool().Draw(t, "has one") {
				hosts[i].Hear([]peer.Leader{{
					Host: rows[rapid.IntRange(0, len(rows)-1).Draw(t, "leader")].Host,
					Term: rapid.Uint64Range(1, 3).Draw(t, "term"),
				}}, view)
			}
			hosts[i].Order("", view)
		}
		if passer := rapid.IntRange(0, len(hosts)).Draw(t, "passer"); passer < len(hosts) {
			hosts[passer].Pass("", hosts[passer].Order("", view)[0].Host, view)
		}
		for range len(hosts) {
			for i := range hosts {
				// Each hears its neighbour, so news take as many rounds as there are hosts.
				hosts[i].Hear(hosts[(i+1)%len(hosts)].Report(), view)
			}
		}
		want := hosts[0].Report()
		for _, other := range hosts {
			if got := other.Report(); got[0] != want[0] {
				t.Fatalf("one follows %v, another %v", want, got)
			}
		}
	})
}

// Guards against a duty that stays with a host that cannot do it, and against
// hosts that go on to follow that one.
func TestPass(t *testing.T) {
	tests := map[string]struct {
		duty   duty.Name
		others []peer.Row
		gone   []ident.HostID
		passes int
		next   int // place in the ranking of the one that does it in the end
		none   bool
	}{
		"to the next":               {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, passes: 1, next: 1},
		"on and on":                 {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, passes: 2, next: 2},
		"around":                    {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, passes: 3, next: 0},
		"one has left":              {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, gone: []ident.HostID{"a"}, passes: 1, next: 1},
		"all others have left":      {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, gone: []ident.HostID{"a", "b"}, passes: 1, none: true},
		"no other":                  {passes: 1, none: true},
		"heavy, others are small":   {others: []peer.Row{row("a", 0.2), row("b", 0.2)}, passes: 1, none: true},
		"light, others are small":   {duty: "light", others: []peer.Row{row("a", 0.2), row("b", 0.2)}, passes: 1, next: 1},
		"light, on to the smallest": {duty: "light", others: []peer.Row{row("a", 0.2), row("b", 0.1)}, passes: 2, next: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newMembers("self", test.others...)
			leaders := duty.New(heavy)
			for _, host := range test.gone {
				m.leave(host)
			}
			order := names(leaders.Order(test.duty, m.table.Snapshot()))
			follower := duty.New(heavy)
			follower.Order(test.duty, m.table.Snapshot())
			holder := order[0]
			for range test.passes {
				next, ok := leaders.Pass(test.duty, holder, m.table.Snapshot())
				c.Assert(ok, qt.Equals, !test.none)
				if ok {
					holder = next.Host
				}
			}
			c.Check(holder, qt.Equals, order[test.next])
			c.Check(leaders.Order(test.duty, m.table.Snapshot())[0].Host, qt.Equals, holder)
			follower.Hear(leaders.Report(), m.table.Snapshot())
			c.Check(follower.Order(test.duty, m.table.Snapshot())[0].Host, qt.Equals, holder)
		})
	}
}

// Guards against one host that does two duties which are to be done by two.
func TestFirst(t *testing.T) {
	tests := map[string]struct {
		others []peer.Row
		taken  int // place in the ranking; -1 is none
		first  int // place in the ranking; -1 is none
	}{
		"nobody is taken": {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, taken: -1, first: 0},
		"first is taken":  {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, taken: 0, first: 1},
		"other is taken":  {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, taken: 1, first: 0},
		"only one":        {taken: 0, first: -1},
	}
	for name, test := range tests {
		for _, held := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, known before %v", name, held), func(t *testing.T) {
				c := qt.New(t)
				view := newMembers("self", test.others...).table.Snapshot()
				order := names(duty.New(heavy).Order("light", view))
				leaders := duty.New(heavy)
				if held {
					leaders.Order("light", view)
				}
				taken := ident.HostID("")
				if test.taken >= 0 {
					taken = order[test.taken]
				}
				first, ok := leaders.First("light", view, taken)
				c.Assert(ok, qt.Equals, test.first >= 0)
				if ok {
					c.Assert(first, qt.Equals, order[test.first])
				}
			})
		}
	}
}
