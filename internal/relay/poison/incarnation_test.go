package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
)

// restartTime is how long an upstream that has crashed is down.
const restartTime = 600 * time.Millisecond

// incarnation returns a process of upstream 0.
func incarnation(number ident.Incarnation) poison.Process {
	return poison.Process{
		Upstream:    "u0",
		Incarnation: number,
	}
}

// Guards against crashes that count against bystanders only: hosts read the registration
// of an upstream that is back at different times, so some send requests to it that they
// take for requests to the process that has crashed.
func TestCrashBeforeRegistrationIsRead(t *testing.T) {
	tests := map[string]func(h []*host){
		"by the host of the request at fault": func(h []*host) {
			h[1].crashAt(h[2], incarnation(1), incarnation(2))
		},
		"by the host of the request at fault, which has reported the crash before": func(h []*host) {
			h[0].crashAt(h[2], incarnation(1), incarnation(2))
		},
		"by the host of the bystander": func(h []*host) {
			h[1].crashAt(h[2], incarnation(2), incarnation(1))
		},
		"by no host": func(h []*host) {
			h[0].crashAt(h[1], incarnation(1), incarnation(1))
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hosts := newHosts(c, 3)
			hosts[0].crash(incarnation(1), prompt("system", "cause"))
			hosts[1].crash(process(1), prompt("system", "cause"))
			*hosts[0].now = hosts[0].now.Add(restartTime)
			play(hosts)
			for _, h := range hosts {
				c.Check(h.blocks(prompt("system")), qt.IsFalse)
				c.Check(h.blocks(prompt("system", "cause")), qt.IsTrue)
			}
		})
	}
}

// crashAt plays one crash that two hosts notice, this one with the request at fault and
// another one with a bystander. They name the processes that they know as registered.
func (h *host) crashAt(other *host, own, others poison.Process) {
	fault, bystander := h.Begin(own, prompt("system", "cause")), other.Begin(others, prompt("system"))
	*h.now = h.now.Add(20 * time.Millisecond)
	other.lose(bystander)
	*h.now = h.now.Add(5 * time.Millisecond)
	h.lose(fault)
	*h.now = h.now.Add(crashInterval)
}

// Guards against crashes that count against bystanders only: the request at fault lost its
// connection a moment before the address refused others, so its host did not notice.
func TestRequestLostBeforeCrashIsNoticed(t *testing.T) {
	tests := map[string]struct {
		early    time.Duration // from the loss to the crash
		late     time.Duration // from the crash to the arrival of its report
		reported bool
	}{
		"report at once":   {early: 5 * time.Millisecond, reported: true},
		"report late":      {early: 5 * time.Millisecond, late: time.Second, reported: true},
		"lost long before": {early: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			hosts := newHosts(c, 2)
			hosts[0].crash(process(0), prompt("system", "cause"))
			hosts[1].crash(process(1), prompt("system", "cause"))
			hosts[1].others = nil
			lost, bystander := hosts[0].Begin(process(2), prompt("system", "cause")), hosts[1].Begin(process(2), prompt("system"))
			lost.End(false)
			*hosts[0].now = hosts[0].now.Add(test.early)
			hosts[1].lose(bystander)
			*hosts[0].now = hosts[0].now.Add(test.late)
			hosts[0].Merge(hosts[1].reports[1])
			for _, h := range hosts {
				c.Check(h.blocks(prompt("system")), qt.Equals, !test.reported)
				c.Check(h.blocks(prompt("system", "cause")), qt.IsTrue)
			}
		})
	}
}
