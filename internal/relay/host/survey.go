package host

import (
	"context"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/peer"
)

// maxSurveyed is the largest number of hosts that are asked at once. In a larger fleet they are
// chosen at random: a change that a tenth of the hosts knows is missed once in thirty surveys.
const maxSurveyed = 32

// surveyRounds is how often a host is asked that does not respond: its connection may have been
// reset.
const surveyRounds = 2

// surveyAnswer is what a survey learns of one host.
type surveyAnswer struct {
	row      peer.Row
	answered bool
	ended    bool // its process has ended
	cursor   kv.Cursor
}

// survey asks the other hosts how far their replicas are. A reply that is ahead of this host's
// replica makes it fetch the changes.
func (h *Host) survey(ctx context.Context) discovery.Survey {
	rows := sample(h.peers.mayServe(), maxSurveyed)
	survey := discovery.Survey{
		Asked: len(rows),
	}
	for range surveyRounds {
		var silent []peer.Row
		for _, answer := range h.askAll(ctx, rows) {
			switch {
			case answer.answered:
				survey.Answered++
				survey.Latest = max(survey.Latest, answer.cursor)
			case answer.ended:
				survey.Ended++
			default:
				silent = append(silent, answer.row)
			}
		}
		if survey.Answered == 0 {
			break // this host is isolated
		}
		rows = silent
	}
	return survey
}

// askAll asks hosts at the same time how far their replicas are.
func (h *Host) askAll(ctx context.Context, rows []peer.Row) []surveyAnswer {
	received := make(chan surveyAnswer, len(rows))
	for _, row := range rows {
		go func(ctx context.Context) { received <- h.ask(ctx, row) }(ctx)
	}
	answers := make([]surveyAnswer, 0, len(rows))
	for range rows {
		answers = append(answers, <-received)
	}
	return answers
}

// ask asks one host how far its replica is.
func (h *Host) ask(ctx context.Context, row peer.Row) surveyAnswer {
	answer := surveyAnswer{
		row: row,
	}
	reply, err := h.peers.exchange(ctx, row.Address)
	switch {
	case err != nil:
		answer.ended = h.clients.requests.Refuses(ctx, row.Address)
	case reply.From.Host == row.Host:
		answer.answered = true
		answer.cursor = kv.Cursor(reply.Documents)
	}
	return answer
}

// mayServe returns the rows of the other hosts that may be serving callers: those that are not
// known to be down, and those in the list of hosts, since a host that is cut off takes the
// others for down.
func (p *peers) mayServe() []peer.Row {
	listed := make(map[ident.HostID]bool)
	if members := p.members.Load(); members != nil {
		listed = *members
	}
	var rows []peer.Row
	for _, row := range p.table.Snapshot().Rows() {
		if row.Host != p.self && row.Address != "" && (row.State != peer.Down || listed[row.Host]) {
			rows = append(rows, row)
		}
	}
	return rows
}
