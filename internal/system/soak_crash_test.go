package system

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	soakDeadlyPart = "dead"
	// deadlyTime is how long callers send prompts with the deadly part, in addition to
	// the duration of the step.
	deadlyTime = 10 * time.Second
	// soakContact is the time limit for the hosts to learn which prompts crash engines.
	soakContact = 3 * time.Second
	// maxCrashes is the number of crashes after which the limit begins, maxLateRuns that
	// of runs of such prompts that are allowed after it.
	maxCrashes  = 5
	maxLateRuns = 3
	// crashDowntime is how long an engine is down after such a prompt.
	crashDowntime = 600 * time.Millisecond
)

// parts returns the parts of the prompt. The first is that of all prompts, the
// last one its own.
func (r sentRequest) parts() string {
	deadly := ""
	if r.deadly {
		deadly = soakDeadlyPart + ":10,"
	}
	return fmt.Sprintf("aa:50,bb%d:20,%s%s:30", len(r.id)%3, deadly, r.id)
}

// sendDeadlyPart makes callers send prompts with the deadly part for some time.
func (c *soakCluster) sendDeadlyPart(s step) {
	c.deadlyShare.Store(10 + int64(30*s.Share))
	time.Sleep(s.For + deadlyTime)
	c.deadlyShare.Store(0)
}

// crashByPrompt crashes an engine in a slot, once, unless it is down or is being replaced.
func (c *soakCluster) crashByPrompt(slot *upstreamSlot, engine *standin.Upstream) {
	if !slot.mu.TryLock() {
		return
	}
	first := slot.upstream == engine && slot.crashed != engine
	if first {
		slot.crashed = engine
	}
	slot.mu.Unlock()
	if !first {
		return
	}
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	go c.crashUpstream(slot, crashDowntime)
}

// checkDeadlyPart checks that prompts with the deadly part no longer reach engines some
// time after several crashes, and that hosts serve other prompts meanwhile.
func (c *checker) checkDeadlyPart() {
	c.cluster.t.Logf("%d crashes of engines by prompts", len(c.cluster.crashes))
	crashes := slices.SortedFunc(slices.Values(c.cluster.crashes), time.Time.Compare)
	if len(crashes) < 3 {
		return
	}
	last := crashes[min(len(crashes), maxCrashes)-1]
	lateRuns, sent, served := 0, 0, 0
	for _, r := range c.requests {
		if r.route != "chat" || !c.onlyDeadlyPart(crashes[0], r.ended) {
			continue
		}
		switch {
		case r.deadly:
			for _, run := range c.runs[r.id] {
				if run.At.After(last.Add(soakContact)) {
					lateRuns++
				}
			}
		case r.sent.After(last.Add(2 * soakContact)):
			sent++
			if r.status == http.StatusOK && !r.truncated {
				served++
			}
		}
	}
	if lateRuns > maxLateRuns {
		c.cluster.fail("%d prompts with the deadly part ran %s after the crash at %s or later", lateRuns, soakContact, last.Format("05.000"))
	}
	if 2*served < sent {
		c.cluster.fail("%d of %d other prompts were served while some crash engines", served, sent)
	}
}

// onlyDeadlyPart reports whether no unplanned step but those that send deadly parts was in
// progress between the two times, or shortly before them.
func (c *checker) onlyDeadlyPart(from, to time.Time) bool {
	for _, s := range c.steps {
		if s.Action != deadlyPart && !s.Action.planned() && s.start.Before(to) && s.end.Add(faultEffectTime).After(from) {
			return false
		}
	}
	return true
}
