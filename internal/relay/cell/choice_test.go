package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/peer"
)

// candidates returns the rows of hosts in the order of their names.
func candidates(names ...ident.HostID) []peer.Row {
	var rows []peer.Row
	for _, name := range names {
		rows = append(rows, peer.Row{
			Host:  name,
			State: peer.Alive,
		})
	}
	return rows
}

// Guards against two hosts that schedule beside each other, against jobs that are given
// to a second coordinator while the first one is only busy, and against jobs that wait
// although they are late.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	lost := func(ms int) duty.Evidence { return duty.Evidence{LostAt: ago(ms)} }
	answered := func(ms int) duty.Evidence { return duty.Evidence{Heard: ago(ms), Answered: ago(ms)} }
	to := func(host ident.HostID, within time.Duration) decision {
		return submission{to: peer.Row{Host: host, State: peer.Alive}, within: within}
	}
	all := []ident.HostID{"a", "b", "c", "d", "e"}
	allLost := map[ident.HostID]duty.Evidence{"a": lost(20), "b": lost(20), "c": lost(20), "d": lost(20)}
	tests := map[string]struct {
		self      ident.HostID
		hosts     []ident.HostID
		up        time.Duration // since the start of this host
		confirmed bool
		joined    bool
		evidence  map[ident.HostID]duty.Evidence
		silence   time.Duration
		slack     time.Duration
		noWork    bool
		losses    map[ident.HostID]int
		deadline  time.Duration // 5 s if 0
		want      decision
	}{
		"coordinator responds":              {evidence: map[ident.HostID]duty.Evidence{"a": answered(100)}, slack: 240 * time.Millisecond, want: to("a", 500*time.Millisecond)},
		"coordinator is quiet":              {evidence: map[ident.HostID]duty.Evidence{"a": answered(5000)}, slack: 240 * time.Millisecond, want: to("a", acceptTimeout)},
		"late job, coordinator responds":    {evidence: map[ident.HostID]duty.Evidence{"a": answered(100)}, slack: -time.Second, want: to("a", 500*time.Millisecond)},
		"deadline is near":                  {slack: -time.Second, deadline: 50 * time.Millisecond, want: to("a", 50*time.Millisecond)},
		"deadline has passed":               {slack: -time.Second, deadline: -time.Millisecond, want: refusal{}},
		"deadline has passed, no work":      {slack: -time.Second, deadline: -time.Millisecond, noWork: true, want: local{reason: reasonNoWork}},
		"coordinator is lost":               {evidence: map[ident.HostID]duty.Evidence{"a": lost(100)}, slack: 240 * time.Millisecond, want: to("b", acceptTimeout)},
		"late job, coordinator is lost":     {evidence: map[ident.HostID]duty.Evidence{"a": lost(100)}, slack: -time.Second, want: to("b", acceptTimeout)},
		"job lost, coordinator is busy":     {evidence: map[ident.HostID]duty.Evidence{"a": answered(100)}, losses: map[ident.HostID]int{"a": 1}, slack: -time.Second, want: refusal{}},
		"start, heard of no other":          {up: 100 * time.Millisecond, slack: 240 * time.Millisecond, want: pause{length: retryPause}},
		"start, heard of others":            {up: 100 * time.Millisecond, joined: true, slack: 240 * time.Millisecond, want: to("a", 240*time.Millisecond)},
		"start, first dial":                 {up: 300 * time.Millisecond, slack: 240 * time.Millisecond, want: to("a", 240*time.Millisecond)},
		"start, refused just now":           {up: 300 * time.Millisecond, evidence: map[ident.HostID]duty.Evidence{"a": lost(10)}, slack: 240 * time.Millisecond, want: pause{length: 20 * time.Millisecond}},
		"start, refused a while ago":        {up: 300 * time.Millisecond, evidence: map[ident.HostID]duty.Evidence{"a": lost(60)}, slack: 240 * time.Millisecond, want: to("a", 240*time.Millisecond)},
		"start, refused, late":              {up: 300 * time.Millisecond, evidence: map[ident.HostID]duty.Evidence{"a": lost(60)}, want: refusal{}},
		"start, no work":                    {up: 300 * time.Millisecond, evidence: map[ident.HostID]duty.Evidence{"a": lost(60)}, slack: time.Second, noWork: true, want: local{reason: reasonNoWork}},
		"start, first one stays lost":       {up: 850 * time.Millisecond, evidence: map[ident.HostID]duty.Evidence{"a": lost(60)}, slack: time.Second, want: to("b", acceptTimeout)},
		"start, this host is the second":    {self: "b", up: 300 * time.Millisecond, evidence: map[ident.HostID]duty.Evidence{"a": lost(60)}, slack: 240 * time.Millisecond, want: to("a", 240*time.Millisecond)},
		"start, this host is the first":     {self: "a", up: 100 * time.Millisecond, slack: 240 * time.Millisecond, want: pause{length: retryPause}},
		"start, first, late":                {self: "a", up: 100 * time.Millisecond, want: local{reason: reasonCandidate}},
		"start, first, heard of others":     {self: "a", up: 100 * time.Millisecond, joined: true, slack: 240 * time.Millisecond, want: local{reason: reasonCandidate}},
		"this host is the coordinator":      {self: "a", confirmed: true, slack: 240 * time.Millisecond, want: local{reason: reasonCandidate}},
		"this host substitutes":             {self: "b", evidence: map[ident.HostID]duty.Evidence{"a": lost(60)}, slack: 240 * time.Millisecond, want: local{reason: reasonCandidate}},
		"no candidate responds":             {evidence: allLost, silence: time.Second, slack: 240 * time.Millisecond, want: pause{length: 10 * time.Millisecond}},
		"no candidate responds, late":       {evidence: allLost, silence: time.Second, want: refusal{}},
		"two do not respond, no work":       {losses: map[ident.HostID]int{"a": 1, "b": 1}, noWork: true, want: local{reason: reasonNoWork}},
		"no candidate responds, no work":    {evidence: allLost, silence: time.Second, noWork: true, want: local{reason: reasonNoWork}},
		"partitioned":                       {evidence: allLost, silence: partitionPeriod, slack: 240 * time.Millisecond, want: local{reason: reasonPartitioned}},
		"partitioned, one is due for a job": {evidence: map[ident.HostID]duty.Evidence{"a": lost(20), "b": lost(1000)}, silence: partitionPeriod, want: to("b", minTimeout)},
		"no other host":                     {hosts: []ident.HostID{"self"}, want: local{reason: reasonAlone}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := situation{
				now:        now,
				started:    now.Add(-time.Minute),
				self:       "self",
				candidates: candidates(all...),
				confirmed:  test.confirmed,
				joined:     test.joined,
				evidence:   func(host ident.HostID) duty.Evidence { return test.evidence[host] },
				silence:    test.silence,
				job: pending{
					latest:   now.Add(test.slack),
					deadline: now.Add(5 * time.Second),
					hasWork:  !test.noWork,
					losses:   test.losses,
				},
			}
			if test.up > 0 {
				s.started = now.Add(-test.up)
			}
			if test.self != "" {
				s.self = test.self
			}
			if test.hosts != nil {
				s.candidates = candidates(test.hosts...)
			}
			if test.deadline != 0 {
				s.job.deadline = now.Add(test.deadline)
			}
			qt.Assert(t, s.decide(), qt.Equals, test.want)
		})
	}
}

// arrival is a job of a replay.
type arrival struct {
	host  ident.HostID
	at    time.Time
	slack time.Duration
	next  time.Time // when the host decides again
	ended bool
}

// Replays a loss of power: 91 hosts start within 0.46 s of each other, the large ones last,
// and each gets jobs with little and with much slack. Guards against hosts that schedule
// beside each other then, and against jobs that are refused although a coordinator accepts
// them within their slack.
func TestRestartOfAllHosts(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	power := now
	at := func(seconds float64) time.Time { return power.Add(time.Duration(seconds * float64(time.Second))) }
	starts := map[ident.HostID]time.Time{"large-1": at(0.32), "large-2": at(0.40), "large-3": at(0.46), "large-4": at(0.44)}
	order := candidates("large-1", "large-2", "large-3", "large-4")
	responses := make(map[ident.HostID]*duty.Responses)
	var arrivals []*arrival
	for i := range 91 {
		name := ident.HostID(fmt.Sprint("small-", i))
		if i < len(order) {
			name = order[i].Host
		} else {
			order = append(order, candidates(name)...)
			starts[name] = at(0.44 * random.Float64())
		}
		responses[name] = duty.NewResponses(func() time.Time { return now })
		for j := range 8 {
			arrives := starts[name].Add(time.Duration(100*(j+1)) * time.Millisecond)
			arrivals = append(arrivals, &arrival{
				host:  name,
				at:    arrives,
				slack: []time.Duration{240 * time.Millisecond, 900 * time.Millisecond}[j%2],
				next:  arrives,
			})
		}
	}
	accepted := make(map[ident.HostID]int)
	for ; now.Before(at(3)); now = now.Add(time.Millisecond) {
		for _, a := range arrivals {
			if a.ended || now.Before(a.next) {
				continue
			}
			own := responses[a.host]
			s := situation{
				now:        now,
				started:    starts[a.host],
				self:       a.host,
				candidates: order,
				evidence:   own.Evidence,
				jitter:     random.Float64(),
				job: pending{
					latest:   a.at.Add(a.slack),
					deadline: a.at.Add(12 * time.Second),
					hasWork:  true,
				},
			}
			a.ended = true
			switch d := s.decide().(type) {
			case submission:
				if now.Before(starts[d.to.Host]) {
					own.Lost(d.to.Host) // it refuses the connection
					a.ended = false
					continue
				}
				own.Answered(d.to.Host)
				accepted[d.to.Host]++
			case pause:
				a.ended = false
				a.next = now.Add(d.length)
			case local:
				accepted[a.host]++
			case refusal:
				c.Check(now.Sub(a.at) <= a.slack+time.Millisecond, qt.IsTrue)
				c.Check(now.Before(starts["large-1"].Add(retryPause+retryJitter)), qt.IsTrue)
			}
		}
	}
	c.Check(accepted, qt.HasLen, 1, qt.Commentf("%v", accepted))
	c.Check(accepted["large-1"] > len(arrivals)*9/10, qt.IsTrue, qt.Commentf("%v", accepted))
}
