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

// heavy reports every duty but "light" as a heavy one.
func heavy(name duty.Name) bool { return name != "light" }

// newLeaders returns the leaders of a host without messages of other hosts.
func newLeaders() *duty.Leaders { return duty.New(heavy, duty.NewResponses(time.Now)) }

// members is the membership as known to one host.
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

// Guards against hosts that do not agree on the coordinator although they know the
// same members, and against a small host that leads although there are large ones.
func TestCandidates(t *testing.T) {
	c := qt.New(t)
	all := []peer.Row{row("a", 0.4), row("b", 0.4), row("c", 0.4), row("big", 0.8)}
	var first []ident.HostID
	for _, self := range []ident.HostID{"a", "b", "c"} {
		leaders := newLeaders()
		order := names(leaders.Candidates("", newMembers(self, all...).table.Snapshot()))
		c.Check(order[0], qt.Equals, ident.HostID("big"))
		c.Check(order, qt.HasLen, 4)
		if first == nil {
			first = order
		}
		c.Check(order, qt.DeepEquals, first)
	}
}

// Guards against a coordinator that changes when an earlier one rejoins, or does not
// change when it leaves.
func TestLeaderStays(t *testing.T) {
	c := qt.New(t)
	leaders := newLeaders()
	all := []peer.Row{row("a", 0.4), row("b", 0.4), row("c", 0.4)}
	m := newMembers("small", all...)
	order := leaders.Candidates("", m.table.Snapshot())
	before, second := order[0].Host, order[1].Host
	m.leave(before)
	after := leaders.Candidates("", m.table.Snapshot())[0].Host
	c.Assert(after, qt.Equals, second)
	c.Assert(leaders.Candidates("", newMembers("small", all...).table.Snapshot())[0].Host, qt.Equals, after)
}

// Guards against hosts that adopt an outdated coordinator from a host that has just
// started or was suspended, and against a coordinator that is not alive.
func TestMerge(t *testing.T) {
	order := names(newLeaders().Candidates("", newMembers("self", row("a", 0.4), row("b", 0.4), row("c", 0.4)).table.Snapshot()))
	tests := map[string]struct {
		own      peer.Leader
		received peer.Leader
		leave    bool // the received leader has left
		adopted  bool
	}{
		"later term":                {own: peer.Leader{Host: order[0], Term: 3}, received: peer.Leader{Host: order[1], Term: 4}, adopted: true},
		"earlier term":              {own: peer.Leader{Host: order[1], Term: 3}, received: peer.Leader{Host: order[0], Term: 2}},
		"same term, better rank":    {own: peer.Leader{Host: order[1], Term: 3}, received: peer.Leader{Host: order[0], Term: 3}, adopted: true},
		"same term, worse rank":     {own: peer.Leader{Host: order[0], Term: 3}, received: peer.Leader{Host: order[1], Term: 3}},
		"later term, host has left": {own: peer.Leader{Host: order[0], Term: 3}, received: peer.Leader{Host: order[1], Term: 4}, leave: true},
		"later term, unknown host":  {own: peer.Leader{Host: order[0], Term: 3}, received: peer.Leader{Host: "z", Term: 4}},
		"later term, another duty":  {own: peer.Leader{Host: order[0], Term: 3}, received: peer.Leader{Duty: "other", Host: order[1], Term: 4}},
		"same leader, later term":   {own: peer.Leader{Host: order[0], Term: 3}, received: peer.Leader{Host: order[0], Term: 5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			leaders := newLeaders()
			m := newMembers("self", row("a", 0.4), row("b", 0.4), row("c", 0.4))
			leaders.Merge([]peer.Leader{test.own}, m.table.Snapshot())
			if test.leave {
				m.leave(test.received.Host)
			}
			leaders.Merge([]peer.Leader{test.received}, m.table.Snapshot())
			want := test.own.Host
			if test.adopted {
				want = test.received.Host
			}
			c.Assert(leaders.Candidates("", m.table.Snapshot())[0].Host, qt.Equals, want)
		})
	}
}

// Guards against groups of hosts that never converge on one coordinator, whichever
// leaders they followed before.
func TestLeadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*duty.Leaders, rapid.IntRange(2, 8).Draw(t, "hosts"))
		var rows []peer.Row
		for i := range hosts {
			rows = append(rows, row(ident.HostID(fmt.Sprint("h", i)), 0.4))
		}
		view := newMembers(rows[0].Host, rows[1:]...).table.Snapshot()
		for i := range hosts {
			hosts[i] = newLeaders()
			if rapid.Bool().Draw(t, "knows a leader") {
				hosts[i].Merge([]peer.Leader{{
					Host: rows[rapid.IntRange(0, len(rows)-1).Draw(t, "leader")].Host,
					Term: rapid.Uint64Range(1, 3).Draw(t, "term"),
				}}, view)
			}
			hosts[i].Candidates("", view)
		}
		if resigning := rapid.IntRange(0, len(hosts)).Draw(t, "resigning"); resigning < len(hosts) {
			hosts[resigning].HandOver("", hosts[resigning].Candidates("", view)[0].Host, view)
		}
		for range len(hosts) {
			for i := range hosts {
				// Each host merges the report of its neighbour, so updates take as many rounds
				// as there are hosts.
				hosts[i].Merge(hosts[(i+1)%len(hosts)].Report(), view)
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

// Guards against a duty that stays with a host that cannot perform it, and against
// other hosts that keep following that host.
func TestHandOver(t *testing.T) {
	tests := map[string]struct {
		duty        duty.Name
		others      []peer.Row
		left        []ident.HostID
		handovers   int
		leader      int // index in the ranking of the leader in the end
		noSuccessor bool
	}{
		"one handover":                {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, handovers: 1, leader: 1},
		"two handovers":               {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, handovers: 2, leader: 2},
		"around":                      {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, handovers: 3, leader: 0},
		"one has left":                {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, left: []ident.HostID{"a"}, handovers: 1, leader: 1},
		"all others have left":        {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, left: []ident.HostID{"a", "b"}, handovers: 1, noSuccessor: true},
		"no other host":               {handovers: 1, noSuccessor: true},
		"heavy, others are small":     {others: []peer.Row{row("a", 0.2), row("b", 0.2)}, handovers: 1, noSuccessor: true},
		"light, others are small":     {duty: "light", others: []peer.Row{row("a", 0.2), row("b", 0.2)}, handovers: 1, leader: 1},
		"light, down to the smallest": {duty: "light", others: []peer.Row{row("a", 0.2), row("b", 0.1)}, handovers: 2, leader: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newMembers("self", test.others...)
			leaders := newLeaders()
			for _, host := range test.left {
				m.leave(host)
			}
			order := names(leaders.Candidates(test.duty, m.table.Snapshot()))
			follower := newLeaders()
			follower.Candidates(test.duty, m.table.Snapshot())
			current := order[0]
			for range test.handovers {
				next, ok := leaders.HandOver(test.duty, current, m.table.Snapshot())
				c.Assert(ok, qt.Equals, !test.noSuccessor)
				if ok {
					current = next.Host
				}
			}
			c.Check(current, qt.Equals, order[test.leader])
			c.Check(leaders.Candidates(test.duty, m.table.Snapshot())[0].Host, qt.Equals, current)
			follower.Merge(leaders.Report(), m.table.Snapshot())
			c.Check(follower.Candidates(test.duty, m.table.Snapshot())[0].Host, qt.Equals, current)
		})
	}
}

// Guards against one host that performs two duties that belong on different hosts.
func TestLeaderExcept(t *testing.T) {
	tests := map[string]struct {
		others   []peer.Row
		excluded int // index in the ranking; -1 for none
		leader   int // index in the ranking; -1 for none
	}{
		"none is excluded":         {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, excluded: -1, leader: 0},
		"leader is excluded":       {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, excluded: 0, leader: 1},
		"another host is excluded": {others: []peer.Row{row("a", 0.4), row("b", 0.4)}, excluded: 1, leader: 0},
		"only host is excluded":    {excluded: 0, leader: -1},
	}
	for name, test := range tests {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader known before: %v", name, known), func(t *testing.T) {
				c := qt.New(t)
				view := newMembers("self", test.others...).table.Snapshot()
				order := names(newLeaders().Candidates("light", view))
				leaders := newLeaders()
				if known {
					leaders.Candidates("light", view)
				}
				excluded := ident.HostID("")
				if test.excluded >= 0 {
					excluded = order[test.excluded]
				}
				leader, ok := leaders.LeaderExcept("light", view, excluded)
				c.Assert(ok, qt.Equals, test.leader >= 0)
				if ok {
					c.Assert(leader, qt.Equals, order[test.leader])
				}
			})
		}
	}
}
