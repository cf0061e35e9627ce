package duty_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/peer"
)

// suspect records enough failures of a host to make it a suspect.
func (m *members) suspect(host ident.HostID) {
	gossip := peer.NewGossip(peer.Config{
		Table: m.table,
	})
	for range peer.FailureThreshold {
		gossip.Failed(time.Now(), host)
	}
}

// Guards against a busy coordinator that is replaced because of a rumour, against a lost
// one that stays, and against terms that rise for a coordinator that nobody has lost.
func TestSuspectedLeader(t *testing.T) {
	tests := map[string]struct {
		responses func(r *duty.Responses, leader ident.HostID)
		later     time.Duration // time from the responses to the suspicion
		stays     bool
		term      uint64
	}{
		"never heard":            {responses: func(*duty.Responses, ident.HostID) {}, term: 0},
		"answered recently":      {responses: (*duty.Responses).Answered, later: 500 * time.Millisecond, stays: true, term: 1},
		"heard recently":         {responses: (*duty.Responses).Heard, later: 500 * time.Millisecond, stays: true, term: 1},
		"quiet, not yet asked":   {responses: (*duty.Responses).Answered, later: 5 * time.Second, stays: true, term: 1},
		"connection just closed": {responses: func(r *duty.Responses, host ident.HostID) { r.Answered(host); r.Lost(host) }, term: 2},
		"heard, but takes no job": {
			responses: func(r *duty.Responses, host ident.HostID) { r.Answered(host); r.Lost(host); r.Heard(host) }, term: 2,
		},
		"answered after a loss": {
			responses: func(r *duty.Responses, host ident.HostID) { r.Lost(host); r.Answered(host) }, stays: true, term: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(0, 0)
			responses := duty.NewResponses(func() time.Time { return now })
			leaders := duty.New(heavy, responses)
			m := newMembers("self", row("a", 0.8), row("b", 0.8), row("c", 0.8))
			order := names(leaders.Candidates("", m.table.Snapshot()))
			test.responses(responses, order[0])
			leaders.Report()
			now = now.Add(test.later)
			m.suspect(order[0])
			want := order[0]
			if !test.stays {
				want = order[1]
			}
			c.Check(leaders.Candidates("", m.table.Snapshot())[0].Host, qt.Equals, want)
			c.Check(leaders.Report(), qt.DeepEquals, []peer.Leader{{Host: want, Term: test.term}})
		})
	}
}

// Guards against hosts that start together, before the one that ranks first, and replace
// it one after the other with higher terms, so that they follow different hosts.
func TestTermsConvergeAfterRestart(t *testing.T) {
	c := qt.New(t)
	others := []peer.Row{row("a", 0.8), row("b", 0.8), row("c", 0.8)}
	early, late := newMembers("self", others...), newMembers("other", others...)
	earlyResponses, lateResponses := duty.NewResponses(time.Now), duty.NewResponses(time.Now)
	earlyLeaders, lateLeaders := duty.New(heavy, earlyResponses), duty.New(heavy, lateResponses)
	order := names(earlyLeaders.Candidates("", early.table.Snapshot()))
	early.suspect(order[0]) // it has not started yet
	c.Check(earlyLeaders.Candidates("", early.table.Snapshot())[0].Host, qt.Equals, order[1])
	earlyResponses.Heard(order[1])
	lateLeaders.Candidates("", late.table.Snapshot())
	lateResponses.Heard(order[0])
	lateLeaders.Merge(earlyLeaders.Report(), late.table.Snapshot())
	earlyResponses.Heard(order[0])
	earlyLeaders.Merge(lateLeaders.Report(), early.table.Snapshot())
	want := []peer.Leader{{Host: order[0], Term: 1}}
	c.Check(earlyLeaders.Report(), qt.DeepEquals, want)
	c.Check(lateLeaders.Report(), qt.DeepEquals, want)
}
